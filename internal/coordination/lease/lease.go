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
	// MarginMillis is how long an order of the holder can be in transit.
	MarginMillis int64 `json:"margin_ms,omitempty"`
}

// Manager acquires and renews one lease for one holder. It is not safe for concurrent use.
type Manager struct {
	table   store.TableService
	key     string
	infoKey string
	holder  string
	term    time.Duration
	margin  time.Duration
	// immediateTakeover lets a new holder take the lease at once, because whatever the lease
	// guards rejects old fencing tokens.
	immediateTakeover bool

	held  bool
	token uint64
	// until is when the lease ends for this holder, if the machine isn't suspended meanwhile.
	until time.Time
	// suspended returns the time for which the machine has been suspended; suspendedAtGrant is
	// what it returned before the lease was last granted.
	suspended        func() time.Duration
	suspendedAtGrant time.Duration
	// version is the row's version after this holder's last write.
	version uint64
	// observedVersion is the version at which another holder's row was last seen, and
	// observedAt when it was first seen at that version.
	observedVersion uint64
	observedAt      time.Time
	// yielded is the fencing token of a lease that its holder announced as yielded, and
	// yieldedAt when the announcement arrived.
	yielded   uint64
	yieldedAt time.Time
	// rowHolder is the holder that the row named when it was last read or written.
	rowHolder string
	// storedInfo is what this holder last wrote to the info row.
	storedInfo []byte
}

// Settings configures a Manager.
type Settings struct {
	Key    string
	Holder string
	// InfoKey is the row that describes the holder while it holds the lease. It is
	// written only when it changes, unlike the lease's own row; empty means no row.
	InfoKey string
	// Term is how long a grant lasts without renewal.
	Term time.Duration
	// Margin is subtracted from the term on the holder's side. It is the longest time that an order can be in transit.
	Margin time.Duration
	// ImmediateTakeover lets a new holder take the lease without waiting for the term. Whatever
	// the lease guards must then reject old fencing tokens.
	ImmediateTakeover bool
	// Suspended returns the time for which the machine has been suspended, by which the lease
	// ends earlier; nil stands for SuspendedTime.
	Suspended func() time.Duration
}

// New returns a manager that does not hold the lease yet.
func New(table store.TableService, cfg Settings) *Manager {
	m := &Manager{
		table: table, key: cfg.Key, infoKey: cfg.InfoKey, holder: cfg.Holder, term: cfg.Term, margin: cfg.Margin, immediateTakeover: cfg.ImmediateTakeover,
		suspended: cfg.Suspended,
	}
	if m.suspended == nil {
		m.suspended = SuspendedTime
	}
	return m
}

// Valid returns the fencing token of the lease and reports whether the lease is in force at a time.
func (m *Manager) Valid(now time.Time) (uint64, bool) {
	return m.token, m.held && now.Before(m.Until())
}

// Holder returns the holder that the row named at the last Refresh.
func (m *Manager) Holder() string { return m.rowHolder }

// Until returns the time up to which the lease is in force for its holder. It moves back when
// the machine has been suspended.
func (m *Manager) Until() time.Time { return m.until.Add(m.suspendedAtGrant - m.suspended()) }

// Cond returns the condition that the lease row is still as this holder last wrote it.
func (m *Manager) Cond() store.Cond { return store.Cond{Key: m.key, Version: m.version} }

// Refresh acquires the lease or renews it, and keeps info in the info row if there is one. It
// returns ErrHeld while another holder's lease may be in force. After any other error a lease
// that is held stays in force until its term ends.
func (m *Manager) Refresh(ctx context.Context, info json.RawMessage) error {
	requestedAt, suspended := time.Now(), m.suspended()
	if m.held && requestedAt.Before(m.Until()) && m.infoKey == "" {
		// No other process writes the row before the term ends. If one did, or if the reply to
		// the last write was lost, the condition fails and the row is read below.
		err := m.renew(ctx, requestedAt, suspended)
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
	m.rowHolder = cur.Holder
	now := time.Now()
	if row.Version != 0 && cur.Holder != m.holder && !m.canTakeOver(row, cur, now) {
		m.held = false
		return ErrHeld
	}
	next := Row{Holder: m.holder, FencingToken: cur.FencingToken, TermMillis: m.term.Milliseconds(), MarginMillis: m.margin.Milliseconds()}
	era := store.Version(row.Version).Era()
	if cur.Holder != m.holder || !m.held || era != store.Version(m.version).Era() {
		// A row that was restored from a copy has forgotten the tokens given out since.
		next.FencingToken = max(next.FencingToken, uint64(store.NewVersion(era, 0))) + 1
	}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	writes := []store.Write{{Key: m.key, Value: value}}
	if m.infoKey != "" && (!m.held || cur.Holder != m.holder || !bytes.Equal(info, m.storedInfo)) {
		writes = append(writes, store.Write{Key: m.infoKey, Value: info})
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
	m.rowHolder = m.holder
	m.held, m.token, m.version, m.storedInfo = true, next.FencingToken, version, bytes.Clone(info)
	// The term counts from before the read: no other process can have seen the row as written here earlier.
	m.until, m.suspendedAtGrant = requestedAt.Add(m.term-m.margin), suspended
	return nil
}

// renew extends the lease without reading its row first.
func (m *Manager) renew(ctx context.Context, requestedAt time.Time, suspended time.Duration) error {
	value, err := json.Marshal(Row{Holder: m.holder, FencingToken: m.token, TermMillis: m.term.Milliseconds(), MarginMillis: m.margin.Milliseconds()})
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
	m.version, m.until, m.suspendedAtGrant = version, requestedAt.Add(m.term-m.margin), suspended
	return nil
}

// Yield gives up the lease without calling the table service, which may be unreachable for
// this holder. It returns the fencing token to announce to other processes, which pass it to
// ObserveYield, and false if the lease isn't held.
func (m *Manager) Yield() (uint64, bool) {
	if !m.held {
		return 0, false
	}
	m.held, m.until = false, time.Time{}
	return m.token, true
}

// ObserveYield records that the holder with a fencing token has yielded the lease; now is when
// the announcement arrived.
func (m *Manager) ObserveYield(token uint64, now time.Time) { m.yielded, m.yieldedAt = token, now }

// canTakeOver reports whether another holder's lease has ended: its row has been seen unchanged
// for the whole term or, if the lease was released or yielded, for the margin, so that no
// order sent before can still be in transit.
func (m *Manager) canTakeOver(row store.Row, cur Row, now time.Time) bool {
	if m.immediateTakeover {
		return true
	}
	if m.yielded != 0 && cur.FencingToken == m.yielded {
		// A renewal that takes effect late changes the row's version but not its token.
		return now.Sub(m.yieldedAt) >= time.Duration(cur.MarginMillis)*time.Millisecond
	}
	wait := cur.TermMillis
	if cur.Holder == "" {
		wait = cur.MarginMillis
	}
	if row.Version != m.observedVersion {
		m.observedVersion, m.observedAt = row.Version, now
	}
	return now.Sub(m.observedAt) >= time.Duration(wait)*time.Millisecond
}

// Release gives up the lease in the table service, so that another process waits only for the
// margin and not for the term. It does nothing if the lease isn't held.
func (m *Manager) Release(ctx context.Context) error {
	if !m.held {
		return nil
	}
	m.held = false
	value, err := json.Marshal(Row{FencingToken: m.token, MarginMillis: m.margin.Milliseconds()})
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	writes := []store.Write{{Key: m.key, Value: value}}
	if m.infoKey != "" {
		writes = append(writes, store.Write{Key: m.infoKey, Delete: true})
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
