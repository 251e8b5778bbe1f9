package keep

import (
	"context"
	"encoding/json"
	"strconv"
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
	// crashRowTTL is how long the row of a process that is gone, or that of a trial, is kept: no report
	// lasts longer.
	crashRowTTL = poison.RecordTTL
	// keyBase is the base in which keys stand in rows.
	keyBase = 36
)

// Crashes keeps in one row of the process the crash reports that it would miss most, which take
// poison.MaxKeptBytes and a third more. The row is written when one of them changes. It is safe for concurrent use.
type Crashes struct {
	table store.TableService
	key   string
	log   *logrus.Entry
	wake  chan struct{}
}

// wireCrashes is the value of a row.
type wireCrashes struct {
	Reports []wireReport `json:"reports"`
	stamp
}

// wireReport is a poison.CrashReport; the keys take eight bytes each.
type wireReport struct {
	Crash       string `json:"crash"`
	Trial       bool   `json:"trial,omitempty"`
	Keys        []byte `json:"keys"`
	RemainingMS int64  `json:"remaining_ms"`
}

// NewCrashes returns the reports of a process, which writes a row under its name.
func NewCrashes(table store.TableService, process string, log *logrus.Entry) *Crashes {
	return &Crashes{table: table, key: ownPrefix + process, log: log, wake: make(chan struct{}, 1)}
}

// Changed tells that the reports to keep have changed.
func (c *Crashes) Changed() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run writes what source returns, at once after a change and at most once in an interval, until the
// context ends. The reports that Load returned must be among them, so that none is written over.
func (c *Crashes) Run(ctx context.Context, source func(now time.Time) []poison.CrashReport, interval func() time.Duration) {
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
			c.log.WithError(err).Debug("the crash reports were not written")
			c.Changed()
			failures++
			sleep(ctx, delayAfter(failures))
			continue
		}
		era, written, failures = at.Era, true, 0
		sleep(ctx, interval())
	}
}

func (c *Crashes) write(ctx context.Context, reports []poison.CrashReport, at stamp) error {
	w := wireCrashes{stamp: at}
	for _, r := range reports {
		w.Reports = append(w.Reports, wireReport{strconv.FormatUint(r.Crash, keyBase), r.Trial, encodeKeys(r.Keys), r.Remaining.Milliseconds()})
	}
	data, err := json.Marshal(w)
	if err == nil {
		_, err = c.table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: c.key, Value: data}}})
	}
	return err
}

// Load returns the reports of all processes, and deletes the rows of processes that are gone.
func (c *Crashes) Load(ctx context.Context) ([]poison.CrashReport, error) {
	snap, err := c.table.Read(ctx, crashPrefix)
	if err != nil {
		return nil, err
	}
	at := storeTime(c.table)
	var out []poison.CrashReport
	var expired []store.Row
	for _, r := range snap.Rows {
		var w wireCrashes
		if err := json.Unmarshal(r.Value, &w); err != nil {
			c.log.WithError(err).WithField("row", r.Key).Warn("a row with crash reports is not readable; it counts as empty")
			continue
		}
		age, own := w.age(at), strings.HasPrefix(r.Key, ownPrefix)
		if own {
			out = append(out, w.decoded(age)...)
		}
		// Trials of a store that came back older begin anew.
		if age >= crashRowTTL && r.Key != c.key || !own && w.Era != at.Era && !at.IsZero() {
			expired = append(expired, r)
		}
	}
	if err := deleteRows(ctx, c.table, expired); err != nil {
		c.log.WithError(err).Debug("expired crash reports were not deleted")
	}
	return out, nil
}

// decoded returns the reports of a row of some age that have not expired.
func (w wireCrashes) decoded(age time.Duration) []poison.CrashReport {
	var out []poison.CrashReport
	for _, r := range w.Reports {
		id, err := strconv.ParseUint(r.Crash, keyBase, 64)
		if left := time.Duration(r.RemainingMS)*time.Millisecond - age; err == nil && left > 0 {
			out = append(out, poison.CrashReport{Crash: id, Trial: r.Trial, Keys: decodeKeys(r.Keys), Remaining: left})
		}
	}
	return out
}

// ClaimTrial claims, over all processes, that a request with a blocked key runs: once a pause has
// passed since the last claim, or at once if there was none. It returns the time until
// another claim may succeed.
func (c *Crashes) ClaimTrial(ctx context.Context, key uint64, pause time.Duration) (claimed bool, wait time.Duration) {
	name := trialPrefix + strconv.FormatUint(key, keyBase)
	row, err := c.table.Get(ctx, name)
	at := storeTime(c.table)
	if err != nil || at.IsZero() {
		return false, maxRetryDelay
	}
	var last stamp
	known := row.Version != 0 && json.Unmarshal(row.Value, &last) == nil
	// The time of a store that was restored can't be compared, and begins anew.
	begins := known && last.Era != at.Era
	if left := max(pause, minTrialPause) - last.age(at); known && !begins && left > 0 {
		return false, left
	}
	data, err := json.Marshal(newStamp(at))
	if err == nil {
		_, err = c.table.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: name, Version: row.Version}}, Writes: []store.Write{{Key: name, Value: data}}})
	}
	return err == nil && !begins, max(pause, minTrialPause)
}

// minTrialPause is the least time between two claims, in which a trial has its answer.
const minTrialPause = time.Second
