package keep

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/poison"
)

const (
	crashPrefix = "crashes/"
	ownPrefix   = crashPrefix + "by/"
	trialPrefix = crashPrefix + "trial/"
	// crashRowTTL is how long the row of a process that is gone is kept: no record lasts longer.
	crashRowTTL = poison.RecordTTL
	// firstTrialAfter is the time after a block began at which one request may run all the same, and
	// trialFactor that by which it grows with each further one: a request that crashes endpoints for
	// a day does so three times more.
	firstTrialAfter = 10 * time.Minute
	trialFactor     = 6
	// trialRowTTL is how long a trial is remembered after the last one.
	trialRowTTL = 48 * time.Hour
)

// Crashes keeps in one row of the process the crash records that it would miss most. At most
// poison.MaxKept records of 300 bytes are in a row, which is written when one of them changes. It is
// safe for concurrent use.
type Crashes struct {
	table store.TableService
	key   string
	log   *logrus.Entry
	wake  chan struct{}
}

// wireCrashes is the value of a row.
type wireCrashes struct {
	Records []wireCrash `json:"records"`
	stamp
}

type wireCrash struct {
	Fingerprint string         `json:"fingerprint"`
	Model       string         `json:"model,omitempty"`
	Crashes     []poison.Crash `json:"crashes"`
	RemainingMS int64          `json:"remaining_ms"`
	Confirmed   bool           `json:"confirmed,omitempty"`
}

// wireTrial is the value of the row of a fingerprint's trials.
type wireTrial struct {
	Count int `json:"count"`
	stamp
}

// NewCrashes returns the records of a process, which writes a row under its name.
func NewCrashes(table store.TableService, process string, log *logrus.Entry) *Crashes {
	return &Crashes{table: table, key: ownPrefix + process, log: log, wake: make(chan struct{}, 1)}
}

// Changed tells that the records to keep have changed.
func (c *Crashes) Changed() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes what source returns, at once after a change and at most once in an interval, until the
// context ends. The records that Load returned must be among them, so that none is written over.
func (c *Crashes) Run(ctx context.Context, source func(now time.Time) []poison.CrashRecord, interval func() time.Duration) {
	tick := time.NewTicker(retryDelay)
	defer tick.Stop()
	era, written, failures := storeTime(c.table).Era, false, 0
	for {
		select {
		case <-c.wake:
		case <-tick.C:
			// A store that was restored from a copy may lack the last write.
			if now := storeTime(c.table).Era; !written || now == era {
				continue
			}
		case <-ctx.Done():
			return
		}
		at := storeTime(c.table)
		if err := c.write(ctx, source(time.Now()), newStamp(at)); err != nil {
			c.log.WithError(err).Debug("the crash records were not written")
			c.Changed()
			failures++
			sleep(ctx, delayAfter(failures))
			continue
		}
		era, written, failures = at.Era, true, 0
		sleep(ctx, interval())
	}
}

func (c *Crashes) write(ctx context.Context, recs []poison.CrashRecord, at stamp) error {
	w, now := wireCrashes{stamp: at}, time.Now()
	for _, rec := range recs {
		w.Records = append(w.Records, wireCrash{rec.Fingerprint, rec.Model, rec.Crashes, rec.ExpiresAt.Sub(now).Milliseconds(), rec.Confirmed})
	}
	data, err := json.Marshal(w)
	if err == nil {
		_, err = c.table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: c.key, Value: data}}})
	}
	return err
}

// Load returns the records of all processes, and deletes the rows of processes that are gone.
func (c *Crashes) Load(ctx context.Context) ([]poison.CrashRecord, error) {
	snap, err := c.table.Read(ctx, crashPrefix)
	if err != nil {
		return nil, err
	}
	now, at := time.Now(), storeTime(c.table)
	var out []poison.CrashRecord
	var expired []store.Row
	for _, r := range snap.Rows {
		var w wireCrashes
		if err := json.Unmarshal(r.Value, &w); err != nil {
			c.log.WithError(err).WithField("row", r.Key).Warn("a row with crash records is not readable; it counts as empty")
			continue
		}
		age, ttl := w.age(at), crashRowTTL
		if strings.HasPrefix(r.Key, trialPrefix) {
			ttl = trialRowTTL
		}
		if age >= ttl && r.Key != c.key {
			expired = append(expired, r)
		}
		for _, rec := range w.Records {
			if left := time.Duration(rec.RemainingMS)*time.Millisecond - age; left > 0 {
				out = append(out, poison.CrashRecord{Fingerprint: rec.Fingerprint, Model: rec.Model, Crashes: rec.Crashes, ExpiresAt: now.Add(min(left, poison.RecordTTL)), Confirmed: rec.Confirmed})
			}
		}
	}
	if err := deleteRows(ctx, c.table, expired); err != nil {
		c.log.WithError(err).Debug("expired crash records were not deleted")
	}
	return out, nil
}

// ClaimTrial reports whether a blocked request may run once, so that one that is blocked by mistake
// doesn't stay so. Over all processes one may in a time that grows with each trial; the first call for
// a fingerprint begins it.
func (c *Crashes) ClaimTrial(ctx context.Context, fingerprint string) bool {
	key := trialPrefix + fingerprint
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return false
	}
	at := storeTime(c.table)
	var w wireTrial
	known := row.Version != 0 && json.Unmarshal(row.Value, &w) == nil && !at.IsZero()
	due := known && w.Era == at.Era
	if due {
		wait := firstTrialAfter
		for range min(w.Count, maxTrials) {
			wait *= trialFactor
		}
		if w.age(at) < wait {
			return false
		}
		w.Count++
	}
	// The time of a store that was restored can't be compared, and begins anew.
	w.stamp = newStamp(at)
	data, err := json.Marshal(w)
	if err != nil {
		return false
	}
	_, err = c.table.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: key, Version: row.Version}}, Writes: []store.Write{{Key: key, Value: data}}})
	return err == nil && due
}

// maxTrials bounds the growth of the time between trials, to 15 days.
const maxTrials = 4
