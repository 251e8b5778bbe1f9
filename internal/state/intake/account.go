package intake

import "time"

// Account is what one connection holds.
type Account struct {
	ledger *Ledger
	shed   ShedFunc

	// The ledger's mu guards the fields below.
	phase Phase
	// since is when the phase began.
	since time.Time
	// held is all that the connection counts for, body the part that its request's body takes.
	held, body int64
	// announced is the length that the request's head announces, if that is large.
	announced int64
	// progressAt is when the transfer last had moved as many bytes as the lowest rate gives in the
	// stall time, and moved are the bytes since.
	progressAt time.Time
	moved      int64
	isShed     bool
	closed     bool
}

// Begin begins a request with its first bytes. It returns ErrFull if there is no room, or if the
// connection has been shed.
func (a *Account) Begin() error {
	if err := a.ledger.reserve(a, a.ledger.limits.RequestBytes, false); err != nil {
		return err
	}
	return a.Enter(Head)
}

// Enter sets the connection's phase. It returns ErrFull if the connection has been shed before;
// a request that runs isn't shed.
func (a *Account) Enter(p Phase) error {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.isShed && (p == Head || p == Body || p == Running) {
		return ErrFull
	}
	a.phase, a.since = p, l.now()
	a.progressAt, a.moved = a.since, 0
	return nil
}

// ReserveHead counts n more bytes of a request's head, or of an answer.
func (a *Account) ReserveHead(n int64) error { return a.ledger.reserve(a, n, false) }

// isSmall reports whether the request has no large body; the caller holds the ledger's mu.
func (a *Account) isSmall() bool {
	return max(a.body, a.announced) <= a.ledger.limits.SmallBody
}

// Announce records the length of a request's body before it comes. It returns ErrFull if there will
// hardly be room for it, so that a client is refused before it has sent a large body rather than in
// the middle.
func (a *Account) Announce(n int64) error {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= l.limits.SmallBody {
		return nil
	}
	if n > l.limits.LargeBytes {
		return ErrFull
	}
	for range maxRounds {
		if a.isShed {
			return ErrFull
		}
		if l.announced+n <= overcommit*l.limits.LargeBytes {
			l.announced += n
			a.announced = n
			return nil
		}
		if !l.makeRoom(a, need{announced: n, large: true}) {
			return ErrFull
		}
	}
	return ErrFull
}

// ReserveBody counts n more bytes of a request's body.
func (a *Account) ReserveBody(n int64) error { return a.ledger.reserve(a, n, true) }

// Progress records that n bytes have been transferred.
func (a *Account) Progress(n int) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.moved += int64(n); float64(a.moved) >= float64(l.limits.MinRate)*l.limits.StallTime.Seconds() {
		a.progressAt, a.moved = l.now(), 0
	}
}

// stalled reports whether the transfer of the phase has been below the lowest rate for the stall time.
func (a *Account) stalled(now time.Time) bool {
	return now.Sub(a.progressAt) >= a.ledger.limits.StallTime
}

// End gives back all but what the connection itself counts for, and makes it idle.
func (a *Account) End() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.release(a.ledger.limits.ConnectionBytes, Idle)
}

// Linger gives back what the request took and begins to discard what its client still sends.
func (a *Account) Linger() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	// It can be shed once more, which then ends it.
	a.isShed = false
	a.release(a.ledger.limits.ConnectionBytes, Lingering)
}

// Close gives back all that the connection holds.
func (a *Account) Close() {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.release(0, Lingering)
	a.closed = true
	delete(l.accounts, a)
}

// releaseBody gives back what a request's body took; the caller holds the ledger's mu.
func (a *Account) releaseBody() {
	l := a.ledger
	if a.body > l.limits.SmallBody {
		l.large -= a.body
	}
	l.used -= a.body
	a.held -= a.body
	l.announced -= a.announced
	a.body, a.announced = 0, 0
}

// release gives back all beyond what stays and sets the phase; the caller holds the ledger's mu.
func (a *Account) release(stays int64, p Phase) {
	l := a.ledger
	if a.closed {
		return
	}
	a.releaseBody()
	l.used -= a.held - stays
	a.held = stays
	a.phase, a.since = p, l.now()
	a.progressAt, a.moved = a.since, 0
	l.notify()
}
