package peer

import (
	"context"
	"sync"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/jitter"
	"chervilhead/internal/state/poison"
)

const (
	recordFanout   = 3
	recordInterval = time.Second
	recordTimeout  = 2 * time.Second
	// repeatPeriod is how long a new record is sent again, to one random process each
	// recordInterval. Twenty rounds reach the processes that the first messages missed.
	repeatPeriod = 20 * time.Second
	// maxRecords bounds the crash records in one message. A record takes about 300 bytes,
	// so the repeats cost a process less than 5 KB/s.
	maxRecords = 16
)

// PoisonTracker holds a process's crash records and gossips new ones. A record
// made by this process goes to the agents that hold its model first, then to random processes.
type PoisonTracker struct {
	mu       sync.Mutex
	registry *poison.Registry
	// suspects are the messages that may crash engines in whatever request.
	suspects *poison.Suspects
	// recent are the reports that are sent again, triedAt says when a blocked part was last tried.
	recent  []recentReport
	triedAt map[uint64]time.Time
	addedAt map[string]time.Time
	pool    *Pool
	peers   func() []string
	// holders returns the addresses of the agents that hold a model.
	holders func(model string) []string
	random  jitter.Random
}

// NewPoisonTracker returns a tracker without records that sends nothing until
// EnableGossip is called; holders returns the addresses of the agents that hold a model.
func NewPoisonTracker(holders func(model string) []string, random jitter.Random) *PoisonTracker {
	return &PoisonTracker{registry: poison.New(), suspects: poison.NewSuspects(), addedAt: map[string]time.Time{}, triedAt: map[uint64]time.Time{}, holders: holders, random: random, peers: func() []string { return nil }}
}

// EnableGossip makes the tracker send new records over pool to addresses that peers returns.
func (t *PoisonTracker) EnableGossip(pool *Pool, peers func() []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool, t.peers = pool, peers
}

// Verdict returns the current verdict on the request with a fingerprint.
func (t *PoisonTracker) Verdict(fingerprint string) poison.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Verdict(fingerprint, time.Now())
}

// RecordCrash records that an engine crashed while it ran a request.
func (t *PoisonTracker) RecordCrash(fingerprint, model, id string, level poison.Level) {
	now := time.Now()
	rec := poison.CrashRecord{Fingerprint: fingerprint, Model: model, ExpiresAt: now.Add(poison.RecordTTL), Crashes: []poison.Crash{{ID: id, Level: level}}}
	t.merge([]poison.CrashRecord{rec}, true)
}

// RecordCompletion records that a suspect request completed in an isolated run.
func (t *PoisonTracker) RecordCompletion(fingerprint string) {
	now := time.Now()
	t.mu.Lock()
	rec, ok := t.registry.Get(fingerprint, now)
	t.mu.Unlock()
	if ok {
		t.merge([]poison.CrashRecord{rec.WithCrashesCleared(now.Add(poison.RecordTTL))}, true)
	}
}

// Lookup returns the crash record of a fingerprint in its wire form, or nil.
func (t *PoisonTracker) Lookup(fingerprint string) []wire.CrashRecord {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, ok := t.registry.Get(fingerprint, now)
	if !ok {
		return nil
	}
	return []wire.CrashRecord{encodeRecord(rec, now)}
}

// Receive merges the records of another process and passes on those that are new. It
// ignores all after the first maxRecords.
func (t *PoisonTracker) Receive(records []wire.CrashRecord) {
	now := time.Now()
	out := make([]poison.CrashRecord, 0, len(records))
	for _, rec := range records[:min(len(records), maxRecords)] {
		ttl := min(time.Duration(rec.TTLMillis)*time.Millisecond, poison.RecordTTL)
		out = append(out, poison.CrashRecord{Fingerprint: rec.Fingerprint, Model: rec.Model, Crashes: rec.Crashes, ExpiresAt: now.Add(ttl)})
	}
	t.merge(out, false)
}

// merge adds records to the registry. Those that are new or changed go to random
// processes; local ones, made by this process, go to the agents that hold their model first.
func (t *PoisonTracker) merge(records []poison.CrashRecord, local bool) {
	now := time.Now()
	var added []poison.CrashRecord
	t.mu.Lock()
	for _, rec := range records {
		if !t.registry.Add(rec, now) {
			continue
		}
		rec, _ = t.registry.Get(rec.Fingerprint, now)
		added = append(added, rec)
		t.addedAt[rec.Fingerprint] = now
	}
	pool, peers := t.pool, t.peers
	t.mu.Unlock()
	if pool == nil || len(added) == 0 {
		return
	}
	if local {
		for _, rec := range added {
			t.send(pool, t.holders(rec.Model), encodeRecords([]poison.CrashRecord{rec}, now))
		}
	}
	t.send(pool, t.sample(peers(), recordFanout), encodeRecords(added, now))
}

func (t *PoisonTracker) sample(addrs []string, n int) []string {
	jitter.Shuffle(t.random, addrs)
	return addrs[:min(n, len(addrs))]
}

func encodeRecords(records []poison.CrashRecord, now time.Time) wire.CrashRecordList {
	msg := wire.CrashRecordList{Records: make([]wire.CrashRecord, 0, len(records))}
	for _, rec := range records {
		msg.Records = append(msg.Records, encodeRecord(rec, now))
	}
	return msg
}

func (t *PoisonTracker) send(pool *Pool, addrs []string, msg wire.CrashRecordList) {
	for _, addr := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
			defer cancel()
			if conn, err := pool.Get(ctx, addr); err == nil {
				_ = conn.Notify(ctx, wire.MethodSuspect, msg)
			}
		}()
	}
}

func encodeRecord(rec poison.CrashRecord, now time.Time) wire.CrashRecord {
	return wire.CrashRecord{Fingerprint: rec.Fingerprint, Model: rec.Model, Crashes: rec.Crashes, TTLMillis: rec.ExpiresAt.Sub(now).Milliseconds()}
}

// Run sends recent records again to random processes until the context ends.
func (t *PoisonTracker) Run(ctx context.Context) {
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			t.sendRecent()
		case <-ctx.Done():
			return
		}
	}
}

func (t *PoisonTracker) sendRecent() {
	now := time.Now()
	var records []poison.CrashRecord
	t.mu.Lock()
	for fp, at := range t.addedAt {
		rec, ok := t.registry.Get(fp, now)
		if !ok || now.Sub(at) > repeatPeriod {
			delete(t.addedAt, fp)
			continue
		}
		if len(records) < maxRecords {
			records = append(records, rec)
		}
	}
	reports := t.recentReports(now)
	pool, peers := t.pool, t.peers
	t.mu.Unlock()
	if pool != nil && len(records)+len(reports) > 0 {
		msg := encodeRecords(records, now)
		msg.Reports = encodeReports(reports)
		t.send(pool, t.sample(peers(), 1), msg)
	}
}
