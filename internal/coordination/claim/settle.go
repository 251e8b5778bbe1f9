package claim

import (
	"context"
	"errors"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
)

const (
	// maxSettling bounds the settlements that wait for the table service. A claim beyond
	// it stays running, and its key answers unknown.
	maxSettling = 4096
	// lateWrite is how long a claim write whose reply was lost may still take effect.
	lateWrite = 30 * time.Second
	// objectTries bounds the tries to keep a large answer.
	objectTries = 5
)

// Settle ends a claim with the request's outcome: a request that did not run frees its
// key, any other outcome is recorded. It retries in the background until the table
// service has answered; the channel closes when it is done.
func (k *Manager) Settle(t *Handle, rec Record) <-chan struct{} {
	done := make(chan struct{})
	k.mu.Lock()
	full := k.settling >= maxSettling
	if !full {
		k.settling++
	}
	k.mu.Unlock()
	if full {
		k.log.WithField("claim", t.row.ID).Warn("too many claims wait for the table service; the key answers unknown")
		k.setActive(t.row.ID, false)
		close(done)
		return done
	}
	go func() {
		defer close(done)
		if rec.Outcome == fault.OutcomeNotRun {
			k.release(t)
		} else {
			k.finish(t, rec)
		}
		k.setActive(t.row.ID, false)
		k.mu.Lock()
		k.settling--
		k.ended.Broadcast()
		k.mu.Unlock()
	}()
	return done
}

// Close waits for settlements under way, up to the end of ctx, and gives up the others.
// Claims may still be settled meanwhile and afterwards; later ones are given up at once.
func (k *Manager) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, k.stop)
	defer stop()
	k.mu.Lock()
	for k.settling > 0 {
		k.ended.Wait()
	}
	k.mu.Unlock()
	k.stop()
}

// finish records an outcome.
func (k *Manager) finish(t *Handle, rec Record) {
	tries := 0
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		stored, err := k.keep(t.row.ID, rec, tries)
		tries++
		if err == nil {
			row := t.row
			row.State, row.Record = Done, &stored
			if _, err = k.commit(k.ctx, t.key, t.version, row); err == nil {
				return
			}
			if k.settled(t) {
				return
			}
		}
		if sleep(k.ctx, wait) != nil {
			return
		}
	}
}

// keep moves a large body into the object store, and drops it when that fails repeatedly.
func (k *Manager) keep(id string, rec Record, tries int) (Record, error) {
	if len(rec.Body) <= MaxInlineBytes {
		return rec, nil
	}
	body := rec.Body
	rec.Body = nil
	if len(body) > MaxBodyBytes || tries >= objectTries {
		rec.BodyOmitted = true
		return rec, nil
	}
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	rec.Object = claimPrefix + id
	return rec, k.objects.Put(ctx, rec.Object, body)
}

// settled reads a claim back and reports whether it is no longer running under this ticket.
func (k *Manager) settled(t *Handle) bool {
	row, err := k.get(k.ctx, t.key)
	if err != nil {
		return false
	}
	if row.Version == 0 {
		return true
	}
	cur, ferr := decode(row)
	if ferr != nil || cur.ID != t.row.ID || cur.State == Done {
		return true
	}
	t.version = row.Version
	return false
}

// release removes a claim whose request did not run. While a claim write without a
// reply may still take effect, it looks for the row again.
func (k *Manager) release(t *Handle) {
	began := time.Now()
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		gone := t.version != 0 && k.remove(t) == nil
		gone = gone || k.settled(t)
		if gone && (!t.unsure || time.Since(began) >= lateWrite) {
			return
		}
		if gone {
			t.version = 0
		}
		if sleep(k.ctx, wait) != nil {
			return
		}
	}
}

func (k *Manager) remove(t *Handle) error {
	ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
	defer cancel()
	_, err := k.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: t.key, Version: t.version}},
		Writes: []store.Write{{Key: t.key, Delete: true}, {Key: ageKey(t.key, t.row.AtMillis), Delete: true}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil // settled by an earlier write whose reply was lost, or swept
	}
	return err
}
