package claim

import (
	"context"
	"errors"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
)

const (
	// maxSettling bounds the settlements in progress. A claim whose settlement would exceed it
	// stays Running, and requests with its key get the outcome unknown.
	maxSettling = 4096
	// lateWriteWindow is how long the table service may still apply a write after the reply to
	// it was lost.
	lateWriteWindow = 30 * time.Second
	// maxObjectTries bounds the tries to store a large answer.
	maxObjectTries = 5
)

// Settle settles a claim with the request's outcome: if the request did not run, its key is
// released; any other outcome is recorded. It retries in the background until the table
// service has answered or the manager is closed; the returned channel is closed at the end.
func (m *Manager) Settle(h *Handle, rec Record) <-chan struct{} {
	done := make(chan struct{})
	m.mu.Lock()
	full := m.settling >= maxSettling
	if !full {
		m.settling++
	}
	m.mu.Unlock()
	if full {
		m.log.WithField("claim", h.row.ID).Warn("too many claims wait for the table service; requests with this claim's key get the outcome unknown")
		m.setActive(h.row.ID, false)
		close(done)
		return done
	}
	go func() {
		defer close(done)
		if rec.Outcome == fault.OutcomeNotRun {
			m.release(h)
		} else {
			m.recordOutcome(h, rec)
		}
		m.setActive(h.row.ID, false)
		m.mu.Lock()
		m.settling--
		m.settlementEnded.Broadcast()
		m.mu.Unlock()
	}()
	return done
}

// Close waits for the settlements in progress until ctx ends and then abandons the remaining
// ones. Settle may be called during and after Close; later settlements are abandoned at once.
func (m *Manager) Close(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.stop)
	defer stop()
	m.mu.Lock()
	for m.settling > 0 {
		m.settlementEnded.Wait()
	}
	m.mu.Unlock()
	m.stop()
}

// recordOutcome records a request's outcome in its claim.
func (m *Manager) recordOutcome(h *Handle, rec Record) {
	tries := 0
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		stored, err := m.storeBody(h.row.ID, rec, tries)
		tries++
		if err == nil {
			row := h.row
			row.State, row.Record = Done, &stored
			if _, err = m.commit(m.ctx, h.key, h.version, row); err == nil {
				return
			}
			if m.isSettled(h) {
				return
			}
		}
		if sleep(m.ctx, backoff) != nil {
			return
		}
	}
}

// storeBody moves a large body into the object store, and omits it if it is too large or storing it fails repeatedly.
func (m *Manager) storeBody(id string, rec Record, tries int) (Record, error) {
	if len(rec.Body) <= MaxInlineBytes {
		return rec, nil
	}
	body := rec.Body
	rec.Body = nil
	if len(body) > MaxBodyBytes || tries >= maxObjectTries {
		rec.BodyOmitted = true
		return rec, nil
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	rec.Object = claimPrefix + id
	return rec, m.objects.Put(ctx, rec.Object, body)
}

// isSettled reads a claim's row and reports whether it is no longer this handle's running claim.
func (m *Manager) isSettled(h *Handle) bool {
	row, err := m.get(m.ctx, h.key)
	if err != nil {
		return false
	}
	if row.Version == 0 {
		return true
	}
	cur, ferr := decode(row)
	if ferr != nil || cur.ID != h.row.ID || cur.State == Done {
		return true
	}
	h.version = row.Version
	return false
}

// release deletes a claim whose request did not run. If the reply to a write of the claim was
// lost, it looks for the row again until lateWriteWindow has passed.
func (m *Manager) release(h *Handle) {
	began := time.Now()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		gone := h.version != 0 && m.deleteRows(h) == nil
		gone = gone || m.isSettled(h)
		if gone && (!h.writeUncertain || time.Since(began) >= lateWriteWindow) {
			return
		}
		if gone {
			h.version = 0
		}
		if sleep(m.ctx, backoff) != nil {
			return
		}
	}
}

func (m *Manager) deleteRows(h *Handle) error {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	_, err := m.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: h.key, Version: h.version}},
		Writes: []store.Write{{Key: h.key, Delete: true}, {Key: ageKey(h.key, h.row.AtMillis), Delete: true}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil // deleted by an earlier write whose reply was lost, or by a sweep
	}
	return err
}
