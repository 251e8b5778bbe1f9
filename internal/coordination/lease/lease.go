package lease

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
)

// ErrHeld means that another holder's lease may still be in force.
var ErrHeld = errors.New("lease is held by another process; wait for its term")

// Row is the stored form of a lease.
type Row struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
	TermMillis   int64  `json:"term_ms"`
	// MarginMillis is how long an order of the holder can be under way.
	MarginMillis int64 `json:"margin_ms,omitempty"`
}

// Manager acquires and renews one lease for one holder. It is not safe for concurrent use.
type Manager struct {
	table  store.TableService
	key    string
	info   string
	holder string
	term   time.Duration
	margin time.Duration
	// takeover lets a holder take the lease at once, because whatever it guards refuses old fencing numbers.
	takeover bool

	held    bool
	fence   uint64
	until   time.Time
	version uint64
	seen    uint64
	seenAt  time.Time
	// yielded is the fencing token of a lease whose holder said that it no longer relies
	// on it, yieldedAt when that was heard.
	yielded   uint64
	yieldedAt time.Time
	// current is the holder that the row named when it was last read.
	current string
	// stored is what this holder last wrote to the info row.
	stored []byte
}

// Settings shape a lease.
type Settings struct {
	Key    string
	Holder string
	// InfoKey is the row that describes the holder while it holds the lease. It is
	// written only when it changes, unlike the lease's own row; empty means no row.
	InfoKey string
	// Term is the time that a grant lasts.
	Term time.Duration
	// Margin is subtracted from the term on the holder's side: the longest time an order can be under way.
	Margin time.Duration
	// ImmediateTakeover lets a new holder take the lease at once.
	ImmediateTakeover bool
}

// New returns a manager that holds nothing yet.
func New(table store.TableService, cfg Settings) *Manager {
	return &Manager{
		table: table, key: cfg.Key, info: cfg.InfoKey, holder: cfg.Holder, term: cfg.Term, margin: cfg.Margin, takeover: cfg.ImmediateTakeover,
	}
}

// Valid reports whether the lease is in force at a time and returns its fencing number.
func (m *Manager) Valid(now time.Time) (uint64, bool) {
	return m.fence, m.held && now.Before(m.until)
}

// Holder returns the holder that the row named at the last refresh.
func (m *Manager) Holder() string { return m.current }

// Until returns the time up to which the lease is in force for its holder.
func (m *Manager) Until() time.Time { return m.until }

// Cond requires of a transaction that the lease row is as this holder last wrote it.
func (m *Manager) Cond() store.Cond { return store.Cond{Key: m.key, Version: m.version} }

// Refresh acquires the lease or renews it. It returns ErrHeld while another holder's
// lease may be in force; after an outage the lease held stays in force until its term ends.
func (m *Manager) Refresh(ctx context.Context, info json.RawMessage) error {
	asked := time.Now()
	if m.held && asked.Before(m.until) && m.info == "" {
		// Nobody else writes the row before the term is over; if somebody did, or the
		// reply to the last write was lost, the condition fails and the row is read.
		err := m.renew(ctx, asked)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	row, err := m.table.Get(ctx, m.key)
	if err != nil {
		return err
	}
	cur, err := decode(row)
	if err != nil {
		return err
	}
	m.current = cur.Holder
	now := time.Now()
	if row.Version != 0 && cur.Holder != m.holder && !m.mayTake(row, cur, now) {
		m.held = false
		return ErrHeld
	}
	next := Row{Holder: m.holder, FencingToken: cur.FencingToken, TermMillis: m.term.Milliseconds(), MarginMillis: m.margin.Milliseconds()}
	if cur.Holder != m.holder || !m.held {
		next.FencingToken++
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	writes := []store.Write{{Key: m.key, Value: value}}
	if m.info != "" && (!m.held || cur.Holder != m.holder || !bytes.Equal(info, m.stored)) {
		writes = append(writes, store.Write{Key: m.info, Value: info})
	}
	version, err := m.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: m.key, Version: row.Version}},
		Writes: writes,
	})
	if errors.Is(err, store.ErrConflict) {
		return ErrHeld
	}
	if err != nil {
		return err
	}
	m.current = m.holder
	m.held, m.fence, m.version, m.stored = true, next.FencingToken, version, bytes.Clone(info)
	// The term counts from before the read, the earliest time at which a taker can have seen the row.
	m.until = asked.Add(m.term - m.margin)
	return nil
}

// renew writes the row anew as this holder last saw it.
func (m *Manager) renew(ctx context.Context, asked time.Time) error {
	value, err := json.Marshal(Row{Holder: m.holder, FencingToken: m.fence, TermMillis: m.term.Milliseconds(), MarginMillis: m.margin.Milliseconds()})
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	version, err := m.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: m.key, Version: m.version}},
		Writes: []store.Write{{Key: m.key, Value: value}},
	})
	if err != nil {
		return err
	}
	m.version, m.until = version, asked.Add(m.term-m.margin)
	return nil
}

// Yield gives the lease up without a word to the table service, which may be out of this
// holder's reach, and returns the fencing token with which others may take it (see Yielded).
// It returns false if the lease isn't held.
func (m *Manager) Yield() (uint64, bool) {
	if !m.held {
		return 0, false
	}
	m.held, m.until = false, time.Time{}
	return m.fence, true
}

// ObserveYield notes that the holder with a fencing token has yielded the lease.
func (m *Manager) ObserveYield(fence uint64, now time.Time) { m.yielded, m.yieldedAt = fence, now }

// mayTake reports whether a row of another holder has been seen unchanged for its
// whole term, or a row given up for as long as an order sent before can be under way.
func (m *Manager) mayTake(row store.Row, cur Row, now time.Time) bool {
	if m.takeover {
		return true
	}
	if m.yielded != 0 && cur.FencingToken == m.yielded {
		// A renewal that is done late changes the version and not the token.
		return now.Sub(m.yieldedAt) >= time.Duration(cur.MarginMillis)*time.Millisecond
	}
	wait := cur.TermMillis
	if cur.Holder == "" {
		wait = cur.MarginMillis
	}
	if row.Version != m.seen {
		m.seen, m.seenAt = row.Version, now
	}
	return now.Sub(m.seenAt) >= time.Duration(wait)*time.Millisecond
}

// Release gives the lease up, so that another process need not wait for its term.
func (m *Manager) Release(ctx context.Context) error {
	if !m.held {
		return nil
	}
	m.held = false
	value, err := json.Marshal(Row{FencingToken: m.fence, MarginMillis: m.margin.Milliseconds()})
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	writes := []store.Write{{Key: m.key, Value: value}}
	if m.info != "" {
		writes = append(writes, store.Write{Key: m.info, Delete: true})
	}
	_, err = m.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: m.key, Version: m.version}},
		Writes: writes,
	})
	return err
}

func decode(row store.Row) (Row, error) {
	var r Row
	if row.Version == 0 {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fault.New(fault.Internal, "malformed_lease", fmt.Sprintf("row %q does not decode", row.Key), "delete the row").WithCause(err)
	}
	return r, nil
}
