package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/jitter"
)

const (
	// acquireTimeout bounds how long a request waits for its claim.
	acquireTimeout = 2 * time.Second
	// callTimeout bounds a single call of the table service or the object store.
	callTimeout = time.Second
	// initialBackoff is the wait before the second try of a write; it doubles up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// retryAfter is the delay suggested to a caller whose request is still running.
	retryAfter = time.Second
)

// Settings configures a Manager.
type Settings struct {
	// Owner is this process.
	Owner Owner
	// OwnerAlive reports whether another owner's process still runs; it reports true if that is uncertain.
	OwnerAlive func(ctx context.Context, o Owner) bool
	// Retention is how long a claim is kept.
	Retention time.Duration
	// Random is the source of the jitter between sweeps.
	Random jitter.Random
}

// Manager acquires and settles the claims of one process.
type Manager struct {
	cfg     Settings
	table   store.TableService
	objects store.Objects
	log     *logrus.Entry
	// ctx ends when the process stops; claims not settled by then stay in state Running.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// active holds the ids of this process's claims that are not settled.
	active map[string]bool
	// settling counts the settlements in progress; settlementEnded signals the end of one. A
	// sync.WaitGroup doesn't allow a settlement that starts during Close.
	settling        int
	settlementEnded *sync.Cond
}

// New returns a manager for the claims of one process.
func New(cfg Settings, table store.TableService, objects store.Objects, log *logrus.Entry) *Manager {
	m := &Manager{cfg: cfg, table: table, objects: objects, log: log, active: map[string]bool{}}
	m.settlementEnded = sync.NewCond(&m.mu)
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m
}

// Request identifies the request that a claim is for; Fingerprint is that of its content.
type Request struct {
	Group       string
	Key         string
	Fingerprint string
}

// Handle is a claim that this process owns.
type Handle struct {
	key     string
	row     Row
	version uint64
	// writeUncertain is set when a write of the claim got no reply and may still take effect.
	writeUncertain bool
}

// Acquire claims a request. It returns a handle if the request may be dispatched, the recorded
// outcome if it has run before, or the error for its caller.
func (m *Manager) Acquire(ctx context.Context, req Request) (*Handle, *Record, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	h := &Handle{key: rowKey(req.Group, req.Key), row: Row{
		ID: ident.New("clm-"), Fingerprint: req.Fingerprint, State: Running, Owner: m.cfg.Owner, AtMillis: time.Now().UnixMilli(),
	}}
	m.setActive(h.row.ID, true)
	found, err := m.write(ctx, h)
	if err == nil && found == nil {
		return h, nil, nil
	}
	if err != nil {
		h.writeUncertain = true
		// The write may have taken effect or may do so late; release the key in either case.
		m.Settle(h, Record{Outcome: fault.OutcomeNotRun})
		return nil, nil, fault.Outage("table", err).WithOutcome(fault.OutcomeNotRun)
	}
	if h.writeUncertain {
		// A write of this claim could take effect once the earlier claim is removed.
		m.Settle(h, Record{Outcome: fault.OutcomeNotRun})
	} else {
		m.setActive(h.row.ID, false)
	}
	return m.existing(ctx, req, *found)
}

// write creates the claim's row. It returns the row of an earlier claim if there is one, or an
// error if it cannot find out whether the row was created.
func (m *Manager) write(ctx context.Context, h *Handle) (*Row, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		version, err := m.commit(ctx, h.key, 0, h.row)
		if err == nil {
			h.version = version
			return nil, nil
		}
		h.writeUncertain = h.writeUncertain || !errors.Is(err, store.ErrConflict)
		row, gerr := m.get(ctx, h.key)
		if gerr == nil && row.Version != 0 {
			cur, ferr := decode(row)
			if ferr != nil {
				return nil, ferr
			}
			if cur.ID == h.row.ID {
				h.version = row.Version
				return nil, nil
			}
			return &cur, nil
		}
		// The row is absent or unreadable. Writing it again under the same claim id is safe.
		if serr := sleep(ctx, backoff); serr != nil {
			return nil, err
		}
	}
}

// commit writes a claim's row, and for a new claim also the row that orders it by age.
func (m *Manager) commit(ctx context.Context, key string, version uint64, row Row) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := []store.Write{{Key: key, Value: encode(row)}}
	if version == 0 {
		writes = append(writes, store.Write{Key: ageKey(key, row.AtMillis), Value: []byte(row.ID)})
	}
	return m.table.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: key, Version: version}}, Writes: writes})
}

func (m *Manager) get(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return m.table.Get(ctx, key)
}

// existing returns the recorded outcome or the error for a request whose key was claimed before.
func (m *Manager) existing(ctx context.Context, req Request, row Row) (*Handle, *Record, *fault.Error) {
	if row.Fingerprint != req.Fingerprint {
		return nil, nil, fault.New(fault.Invalid, fault.CodeKeyReused, "the idempotency key was used for another request", "use a new key for a new request").
			WithParam("Idempotency-Key").WithOutcome(fault.OutcomeNotRun)
	}
	if row.State == Done {
		rec, ferr := m.loadBody(ctx, *row.Record)
		return nil, rec, ferr
	}
	if m.ownerRunning(ctx, row) {
		return nil, nil, inProgress()
	}
	// The claim may have been settled between the read of its row and the check of its owner.
	// Only if its row is still running has the owner ended without settling it.
	now, err := m.get(ctx, rowKey(req.Group, req.Key))
	if err != nil {
		return nil, nil, fault.Outage("table", err).WithOutcome(fault.OutcomeUnknown)
	}
	if now.Version == 0 {
		return nil, nil, inProgress() // the request did not run and released the key
	}
	cur, ferr := decode(now)
	switch {
	case ferr != nil:
		return nil, nil, ferr
	case cur.ID != row.ID:
		return nil, nil, inProgress()
	case cur.State == Done:
		rec, ferr := m.loadBody(ctx, *cur.Record)
		return nil, rec, ferr
	}
	return nil, nil, fault.New(fault.Upstream, "claim_holder_gone", "the process that claimed this idempotency key no longer runs; the request may have run",
		"find out whether the request took effect before you send it under a new key").WithOutcome(fault.OutcomeUnknown)
}

func inProgress() *fault.Error {
	return fault.New(fault.Conflict, "request_in_progress", "a request with this idempotency key is still running", "send it again later").
		WithRetryAfter(retryAfter).WithOutcome(fault.OutcomeUnknown)
}

func (m *Manager) ownerRunning(ctx context.Context, row Row) bool {
	if row.Owner != m.cfg.Owner {
		return m.cfg.OwnerAlive(ctx, row.Owner)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[row.ID]
}

// loadBody completes a record whose body is in the object store.
func (m *Manager) loadBody(ctx context.Context, rec Record) (*Record, *fault.Error) {
	if rec.Object == "" {
		return &rec, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := m.objects.Get(ctx, rec.Object)
	if errors.Is(err, store.ErrNotFound) {
		rec.BodyOmitted = true
		return &rec, nil
	}
	if err != nil {
		// The request ran, so the outcome of this resend can't be "not run".
		return nil, fault.Outage("object", err).WithOutcome(fault.OutcomeUnknown)
	}
	rec.Body = body
	return &rec, nil
}

func (m *Manager) setActive(id string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if on {
		m.active[id] = true
		return
	}
	delete(m.active, id)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
