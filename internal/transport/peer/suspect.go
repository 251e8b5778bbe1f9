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
	suspectFanout   = 3
	suspectInterval = time.Second
	suspectTimeout  = 2 * time.Second
	// freshTime is how long a mark is repeated to a random process each interval. Twenty
	// rounds reach the processes that the first pushes missed.
	freshTime = 20 * time.Second
	// maxFresh bounds the marks in one message. A mark takes about 300 bytes, so repeats
	// cost a process less than 5 KB/s.
	maxFresh = 16
)

// PoisonTracker holds a process's book of suspects and spreads what it learns: first to the
// agents that hold the same model, then from process to process.
type PoisonTracker struct {
	mu    sync.Mutex
	book  *poison.Registry
	fresh map[string]time.Time
	pool  *Pool
	peers func() []string
	// holders returns the addresses of the agents that hold a model.
	holders func(model string) []string
	random  jitter.Random
}

// NewPoisonTracker returns an empty book that spreads nothing until it is joined.
func NewPoisonTracker(holders func(model string) []string, random jitter.Random) *PoisonTracker {
	return &PoisonTracker{book: poison.New(), fresh: map[string]time.Time{}, holders: holders, random: random, peers: func() []string { return nil }}
}

// EnableGossip lets the book spread what it learns to the addresses that peers returns.
func (s *PoisonTracker) EnableGossip(pool *Pool, peers func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool, s.peers = pool, peers
}

// Verdict returns the verdict on a fingerprint.
func (s *PoisonTracker) Verdict(fingerprint string) poison.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Verdict(fingerprint, time.Now())
}

// RecordCrash records that an engine crashed while it ran a request.
func (s *PoisonTracker) RecordCrash(fingerprint, model, id string, level poison.Level) {
	now := time.Now()
	m := poison.CrashRecord{Fingerprint: fingerprint, Model: model, ExpiresAt: now.Add(poison.RecordTTL), Crashes: []poison.Crash{{ID: id, Level: level}}}
	s.learn([]poison.CrashRecord{m}, true)
}

// RecordCompletion records that a suspect completed alone.
func (s *PoisonTracker) RecordCompletion(fingerprint string) {
	now := time.Now()
	s.mu.Lock()
	m, ok := s.book.Get(fingerprint, now)
	s.mu.Unlock()
	if ok {
		s.learn([]poison.CrashRecord{m.WithCrashesCleared(now.Add(poison.RecordTTL))}, true)
	}
}

// Lookup returns what is known of a fingerprint in its wire form.
func (s *PoisonTracker) Lookup(fingerprint string) []wire.CrashRecord {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.book.Get(fingerprint, now)
	if !ok {
		return nil
	}
	return []wire.CrashRecord{encodeMark(m, now)}
}

// Receive takes what another process knows and passes on what is new.
func (s *PoisonTracker) Receive(marks []wire.CrashRecord) {
	now := time.Now()
	out := make([]poison.CrashRecord, 0, len(marks))
	for _, m := range marks[:min(len(marks), maxFresh)] {
		life := min(time.Duration(m.TTLMillis)*time.Millisecond, poison.RecordTTL)
		out = append(out, poison.CrashRecord{Fingerprint: m.Fingerprint, Model: m.Model, Crashes: m.Crashes, ExpiresAt: now.Add(life)})
	}
	s.learn(out, false)
}

// learn merges marks into the book. What is new goes to random processes, and to the
// holders of its model first if it was learned here.
func (s *PoisonTracker) learn(marks []poison.CrashRecord, here bool) {
	now := time.Now()
	var news []poison.CrashRecord
	s.mu.Lock()
	for _, m := range marks {
		if !s.book.Add(m, now) {
			continue
		}
		m, _ = s.book.Get(m.Fingerprint, now)
		news = append(news, m)
		s.fresh[m.Fingerprint] = now
	}
	pool, peers := s.pool, s.peers
	s.mu.Unlock()
	if pool == nil || len(news) == 0 {
		return
	}
	if here {
		for _, m := range news {
			s.send(pool, s.holders(m.Model), []poison.CrashRecord{m}, now)
		}
	}
	s.send(pool, s.choose(peers(), suspectFanout), news, now)
}

func (s *PoisonTracker) choose(addrs []string, n int) []string {
	jitter.Shuffle(s.random, addrs)
	return addrs[:min(n, len(addrs))]
}

func (s *PoisonTracker) send(pool *Pool, addrs []string, marks []poison.CrashRecord, now time.Time) {
	msg := wire.CrashRecordList{Records: make([]wire.CrashRecord, 0, len(marks))}
	for _, m := range marks {
		msg.Records = append(msg.Records, encodeMark(m, now))
	}
	for _, addr := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
			defer cancel()
			if link, err := pool.Get(ctx, addr); err == nil {
				_ = link.Notify(ctx, wire.MethodSuspect, msg)
			}
		}()
	}
}

func encodeMark(m poison.CrashRecord, now time.Time) wire.CrashRecord {
	return wire.CrashRecord{Fingerprint: m.Fingerprint, Model: m.Model, Crashes: m.Crashes, TTLMillis: m.ExpiresAt.Sub(now).Milliseconds()}
}

// Run repeats fresh marks to random processes until the context ends.
func (s *PoisonTracker) Run(ctx context.Context) {
	tick := time.NewTicker(suspectInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.repeat()
		case <-ctx.Done():
			return
		}
	}
}

func (s *PoisonTracker) repeat() {
	now := time.Now()
	var marks []poison.CrashRecord
	s.mu.Lock()
	for fp, at := range s.fresh {
		m, ok := s.book.Get(fp, now)
		if !ok || now.Sub(at) > freshTime {
			delete(s.fresh, fp)
			continue
		}
		if len(marks) < maxFresh {
			marks = append(marks, m)
		}
	}
	pool, peers := s.pool, s.peers
	s.mu.Unlock()
	if pool != nil && len(marks) > 0 {
		s.send(pool, s.choose(peers(), 1), marks, now)
	}
}
