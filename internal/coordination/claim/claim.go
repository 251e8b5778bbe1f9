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
	// takeTimeout bounds how long a request waits for its claim.
	takeTimeout = 2 * time.Second
	callTimeout = time.Second
	firstWait   = 50 * time.Millisecond
	maxWait     = time.Second
	retryAfter  = time.Second
)

// Settings shape a keeper.
type Settings struct {
	Owner Owner
	// OwnerAlive reports whether another owner's process still runs; in doubt it reports true.
	OwnerAlive func(ctx context.Context, o Owner) bool
	// Retention is how long a claim is kept.
	Retention time.Duration
	// Random is the source of the times between sweeps.
	Random jitter.Random
}

// Manager makes and settles the claims of one process.
type Manager struct {
	cfg     Settings
	table   store.TableService
	objects store.Objects
	log     *logrus.Entry
	// ctx ends when the process stops; claims not settled by then stay running.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// active holds the ids of claims made here and not yet settled.
	active map[string]bool
	// settling counts the claims whose settlement is under way, and ended tells that
	// one has ended. A sync.WaitGroup doesn't allow a settlement that starts during Close.
	settling int
	ended    *sync.Cond
}

// New returns a keeper for one process.
func New(cfg Settings, table store.TableService, objects store.Objects, log *logrus.Entry) *Manager {
	k := &Manager{cfg: cfg, table: table, objects: objects, log: log, active: map[string]bool{}}
	k.ended = sync.NewCond(&k.mu)
	k.ctx, k.stop = context.WithCancel(context.Background())
	return k
}

// Request is what a claim is made for.
type Request struct {
	Group       string
	Key         string
	Fingerprint string
}

// Handle is a claim held by this process.
type Handle struct {
	key     string
	row     Row
	version uint64
	// unsure is set when a claim write got no reply and may still take effect.
	unsure bool
}

// Acquire claims a request. It returns a ticket when the request may be dispatched, the
// record when it has run before, or the error that its caller gets.
func (k *Manager) Acquire(ctx context.Context, req Request) (*Handle, *Record, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	t := &Handle{key: rowKey(req.Group, req.Key), row: Row{
		ID: ident.New("clm-"), Fingerprint: req.Fingerprint, State: Running, Owner: k.cfg.Owner, AtMillis: time.Now().UnixMilli(),
	}}
	k.setActive(t.row.ID, true)
	found, err := k.write(ctx, t)
	if err == nil && found == nil {
		return t, nil, nil
	}
	if err != nil {
		t.unsure = true
		// The write may have taken effect or may do so late; the row must not keep the key.
		k.Settle(t, Record{Outcome: fault.OutcomeNotRun})
		return nil, nil, fault.Outage("table", err).WithOutcome(fault.OutcomeNotRun)
	}
	if t.unsure {
		// A write of this claim could take effect once the earlier claim is removed.
		k.Settle(t, Record{Outcome: fault.OutcomeNotRun})
	} else {
		k.setActive(t.row.ID, false)
	}
	return k.existing(ctx, req, *found)
}

// write makes the claim's row. It returns the row of an earlier claim, or an error when
// it cannot learn whether the claim was made.
func (k *Manager) write(ctx context.Context, t *Handle) (*Row, error) {
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		version, err := k.commit(ctx, t.key, 0, t.row)
		if err == nil {
			t.version = version
			return nil, nil
		}
		t.unsure = t.unsure || !errors.Is(err, store.ErrConflict)
		row, gerr := k.get(ctx, t.key)
		if gerr == nil && row.Version != 0 {
			cur, ferr := decode(row)
			if ferr != nil {
				return nil, ferr
			}
			if cur.ID == t.row.ID {
				t.version = row.Version
				return nil, nil
			}
			return &cur, nil
		}
		// The row is absent or not readable. Writing again under the same claim id is safe.
		if serr := sleep(ctx, wait); serr != nil {
			return nil, err
		}
	}
}

// commit writes a claim together with the row that orders it by age.
func (k *Manager) commit(ctx context.Context, key string, version uint64, row Row) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := []store.Write{{Key: key, Value: encode(row)}}
	if version == 0 {
		writes = append(writes, store.Write{Key: ageKey(key, row.AtMillis), Value: []byte(row.ID)})
	}
	return k.table.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: key, Version: version}}, Writes: writes})
}

func (k *Manager) get(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.table.Get(ctx, key)
}

// existing decides what a request is told whose key was claimed before.
func (k *Manager) existing(ctx context.Context, req Request, row Row) (*Handle, *Record, *fault.Error) {
	if row.Fingerprint != req.Fingerprint {
		return nil, nil, fault.New(fault.Invalid, fault.CodeKeyReused, "the idempotency key was used for another request", "use a new key for a new request").
			WithParam("Idempotency-Key").WithOutcome(fault.OutcomeNotRun)
	}
	if row.State == Done {
		rec, ferr := k.load(ctx, *row.Record)
		return nil, rec, ferr
	}
	if k.running(ctx, row) {
		return nil, nil, inProgress()
	}
	// The request may have settled between the reading of its row and the look at its
	// holder; only a row that still says running has lost it.
	now, err := k.get(ctx, rowKey(req.Group, req.Key))
	if err != nil {
		return nil, nil, fault.Outage("table", err).WithOutcome(fault.OutcomeUnknown)
	}
	if now.Version == 0 {
		return nil, nil, inProgress() // it did not run and gave the key back
	}
	cur, ferr := decode(now)
	switch {
	case ferr != nil:
		return nil, nil, ferr
	case cur.ID != row.ID:
		return nil, nil, inProgress()
	case cur.State == Done:
		rec, ferr := k.load(ctx, *cur.Record)
		return nil, rec, ferr
	}
	return nil, nil, fault.New(fault.Upstream, "claim_holder_gone", "the process that held this idempotency key is gone; the request may have run",
		"find out whether the request took effect before you send it under a new key").WithOutcome(fault.OutcomeUnknown)
}

func inProgress() *fault.Error {
	return fault.New(fault.Conflict, "request_in_progress", "a request with this idempotency key is still running", "send it again later").
		WithRetryAfter(retryAfter).WithOutcome(fault.OutcomeUnknown)
}

func (k *Manager) running(ctx context.Context, row Row) bool {
	if row.Owner != k.cfg.Owner {
		return k.cfg.OwnerAlive(ctx, row.Owner)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.active[row.ID]
}

// load completes a record whose body is kept in the object store.
func (k *Manager) load(ctx context.Context, rec Record) (*Record, *fault.Error) {
	if rec.Object == "" {
		return &rec, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := k.objects.Get(ctx, rec.Object)
	if errors.Is(err, store.ErrNotFound) {
		rec.BodyOmitted = true
		return &rec, nil
	}
	if err != nil {
		// The request ran, so the outcome of this resend is not "not run".
		return nil, fault.Outage("object", err).WithOutcome(fault.OutcomeUnknown)
	}
	rec.Body = body
	return &rec, nil
}

func (k *Manager) setActive(id string, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on {
		k.active[id] = true
		return
	}
	delete(k.active, id)
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
