package intake

import (
	"errors"
	"sync"
	"time"
)

// ErrFull means that no memory or connection is left for a client. Nothing of its request has run.
var ErrFull = errors.New("the memory for clients is in use")

// Phase is what a connection does.
type Phase uint8

// The phases of a connection.
const (
	// Fresh means that nothing has come on the connection yet.
	Fresh Phase = iota
	// Idle means that the last answer has ended and no further request has begun.
	Idle
	// Head and Body mean that a request is being received.
	Head
	Body
	// Running means that a request has been received whole and has no answer yet.
	Running
	// Answering means that an answer is being written.
	Answering
	// Lingering means that the answer is sent and what the client still sends is discarded.
	Lingering
)

// String returns the phase's name in metrics and logs.
func (p Phase) String() string {
	return [...]string{"fresh", "idle", "head", "body", "running", "answering", "lingering"}[p]
}

// Ledger accounts for the connections of a process. It is safe for concurrent use.
type Ledger struct {
	limits Limits
	now    func() time.Time

	mu    sync.Mutex
	used  int64
	large int64
	// announced is the sum of the announced lengths of the large bodies of requests in progress.
	announced int64
	accounts  map[*Account]struct{}
	// freed is closed and replaced when something is given back while somebody waits for it.
	freed   chan struct{}
	waiting int
}

// New returns a ledger without connections; now returns the time.
func New(limits Limits, now func() time.Time) *Ledger {
	return &Ledger{limits: limits, now: now, accounts: map[*Account]struct{}{}, freed: make(chan struct{})}
}

// Limits returns the limits.
func (l *Ledger) Limits() Limits { return l.limits }

// State is what clients hold at one moment.
type State struct {
	// Bytes and LargeBytes are counted as Limits.Bytes and Limits.LargeBytes are.
	Bytes, LargeBytes int64
	Connections       int
}

// State returns what clients hold now.
func (l *Ledger) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Bytes: l.used, LargeBytes: l.large, Connections: len(l.accounts)}
}

// ShedFunc ends the transfer of a connection in a phase, or the connection if it has none; stalled
// says that the client was too slow. The ledger calls it from a goroutine of its own.
type ShedFunc func(p Phase, stalled bool)

// Open returns the account of a new connection, which shed can end. If there is no room, another
// connection is shed for it, if there is one that isn't worth what it holds.
func (l *Ledger) Open(shed ShedFunc) (*Account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := func() bool {
		return l.limits.Connections > 0 && len(l.accounts) >= l.limits.Connections || l.used+l.limits.ConnectionBytes > l.limits.Bytes
	}
	// One that was inside a request first gets its answer, so that it may take two rounds.
	for range maxRounds {
		if !full() || !l.makeRoom(nil, need{bytes: l.limits.ConnectionBytes}) {
			break
		}
	}
	if full() {
		return nil, ErrFull
	}
	a := &Account{ledger: l, shed: shed, held: l.limits.ConnectionBytes, since: l.now()}
	l.used += a.held
	l.accounts[a] = struct{}{}
	return a, nil
}

const (
	// shedWait bounds the wait for a connection that is shed to give back what it holds, which
	// takes its goroutine a moment.
	shedWait = 200 * time.Millisecond
	// maxRounds bounds the connections that are shed for one request of room.
	maxRounds = 16
)

// need is what an account, or a new connection, lacks.
type need struct {
	// bytes are those of a connection, a head or a body, and announced those of an announcement.
	bytes, announced int64
	// large says that only large bodies can make room.
	large bool
}

// of returns what a connection that is shed gives back of what is needed, in the same unit.
func (n need) of(a *Account) int64 {
	switch {
	case n.announced > 0:
		return a.announced
	case n.large:
		return a.body
	default:
		return a.held
	}
}

// makeRoom sheds a connection, unless those that are being shed hold enough or none can be shed, and
// waits until something has been given back. It reports whether that was so.
func (l *Ledger) makeRoom(asker *Account, n need) bool {
	var pending int64
	for a := range l.accounts {
		if a.isShed {
			pending += n.of(a)
		}
	}
	if pending < max(n.bytes, n.announced) && !l.shedOne(asker, n.large) && pending == 0 {
		return false
	}
	return l.awaitFreed()
}

// awaitFreed waits, with mu released, until something has been given back, for at most shedWait.
func (l *Ledger) awaitFreed() bool {
	t := time.NewTimer(shedWait)
	defer t.Stop()
	freed := l.freed
	l.waiting++
	l.mu.Unlock()
	inTime := true
	select {
	case <-freed:
	case <-t.C:
		inTime = false
	}
	l.mu.Lock()
	l.waiting--
	return inTime
}

// notify wakes those who wait for something to be given back.
func (l *Ledger) notify() {
	if l.waiting > 0 {
		close(l.freed)
		l.freed = make(chan struct{})
	}
}

// shedOne sheds the connection that is least worth what it holds, and reports whether there is one.
// With large set only large bodies are considered. asker, which may be nil, isn't shed.
func (l *Ledger) shedOne(asker *Account, large bool) bool {
	now := l.now()
	var victim *Account
	var victimRank int
	for a := range l.accounts {
		rank := a.rank(now, asker, large)
		if a == asker || a.isShed || rank == keep {
			continue
		}
		if victim == nil || rank < victimRank || rank == victimRank && a.before(victim, rank) {
			victim, victimRank = a, rank
		}
	}
	if victim == nil {
		return false
	}
	victim.isShed = true
	// The function may call back into the ledger.
	go victim.shed(victim.phase, victimRank == rankStalled || victimRank == rankSlow)
	return true
}

// The ranks in which connections are shed; a lower one goes first.
const (
	// rankAnswered are clients that have their answer and still send.
	rankAnswered = iota
	// rankStalled are transfers that don't make progress, of requests and of answers.
	rankStalled
	// rankFresh are connections without a byte; their clients lose nothing.
	rankFresh
	// rankIdle are kept connections without a request.
	rankIdle
	// rankSlow are heads and small bodies that are still unfinished after a while; those of
	// usual callers come at once.
	rankSlow
	// rankBehind are large bodies of which less has come than of the one that asks for room, or any
	// if the one that asks is small.
	rankBehind
	keep
)

// slowDivisor divides the stall time to give the age from which an unfinished small request is slow.
const slowDivisor = 4

// rank returns when the connection is shed, or keep.
func (a *Account) rank(now time.Time, asker *Account, large bool) int {
	isLarge := max(a.body, a.announced) > a.ledger.limits.SmallBody
	if large && !isLarge {
		return keep
	}
	switch a.phase {
	case Lingering:
		return rankAnswered
	case Head, Body, Answering:
		switch {
		case a.stalled(now):
			return rankStalled
		case a.phase != Answering && !isLarge && now.Sub(a.since) >= a.ledger.limits.StallTime/slowDivisor:
			return rankSlow
		case a.phase == Body && isLarge && asker != nil && (a.body < asker.body || !large && asker.isSmall()):
			return rankBehind
		}
	case Fresh:
		return rankFresh
	case Idle:
		return rankIdle
	case Running:
	}
	return keep
}

// before reports whether a is shed before b, both being of one rank: the one that has been in its
// phase for longest, or that has less of its body.
func (a *Account) before(b *Account, rank int) bool {
	if rank == rankBehind {
		return a.body < b.body
	}
	return a.since.Before(b.since)
}

// reserve counts n more bytes of an account, as a part of its body if body is set.
func (l *Ledger) reserve(a *Account, n int64, body bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range maxRounds {
		if a.isShed {
			return ErrFull
		}
		largeBytes := int64(0)
		if body && a.body+n > l.limits.SmallBody {
			largeBytes = n
			if a.body <= l.limits.SmallBody {
				largeBytes += a.body
			}
		}
		largeFull := l.large+largeBytes > l.limits.LargeBytes && largeBytes > 0
		if !largeFull && l.used+n <= l.limits.Bytes {
			l.used += n
			l.large += largeBytes
			a.held += n
			if body {
				a.body += n
			}
			return nil
		}
		if largeBytes > l.limits.LargeBytes || n > l.limits.Bytes {
			return ErrFull
		}
		if !l.makeRoom(a, need{bytes: max(n, largeBytes), large: largeFull}) {
			return ErrFull
		}
	}
	return ErrFull
}
