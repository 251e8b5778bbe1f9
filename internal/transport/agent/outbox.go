package agent

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/sets"
	"chervilhead/internal/transport/peer"
)

// maxChunkItems bounds one chunk frame together with maxChunkBytes.
const (
	maxChunkItems = 512
	maxChunkBytes = 1 << 20
)

// outbox sends the answers of all attempts that one connection follows. It keeps
// only which attempts have something new, so a slow connection costs no memory and
// gets larger chunks.
type outbox struct {
	conn *peer.Conn
	wake chan struct{}

	mu    sync.Mutex
	dirty sets.Set[*attempt]
}

// outbox returns the connection's outbox; mu is held.
func (a *Agent) outbox(c *peer.Conn) *outbox {
	if o, ok := a.outs[c]; ok {
		return o
	}
	o := &outbox{conn: c, wake: make(chan struct{}, 1), dirty: sets.Of[*attempt]()}
	a.outs[c] = o
	go a.send(o)
	return o
}

func (a *Agent) send(o *outbox) {
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.outs, o.conn)
		for _, at := range a.attempts {
			if at.detach(o) {
				time.AfterFunc(a.cfg.ReconnectGrace, func() { a.orphan(at) })
			}
		}
	}()
	for {
		select {
		case <-o.wake:
		case <-o.conn.Done():
			return
		}
		for _, at := range o.take() {
			if !a.flush(o, at) {
				o.conn.Close()
				return
			}
		}
	}
}

// mark notes that an attempt has something new for this connection.
func (o *outbox) mark(at *attempt) {
	o.mu.Lock()
	o.dirty.Add(at)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []*attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*attempt, 0, len(o.dirty))
	for at := range o.dirty {
		out = append(out, at)
	}
	clear(o.dirty)
	return out
}

// flush sends what is new of one attempt and reports whether the connection still works.
func (a *Agent) flush(o *outbox, at *attempt) bool {
	for {
		items, offset, end, follow := at.next(o)
		if len(items) > 0 {
			err := o.conn.Notify(a.ctx, wire.MethodChunk, wire.Chunk{
				AttemptID: at.start.AttemptID, Incarnation: a.incarnation, Offset: offset, Items: items,
			})
			if err != nil {
				return false
			}
		}
		if end != nil {
			wait, err := o.conn.CallAsync(a.ctx, wire.MethodEnd, end)
			if err != nil {
				return false
			}
			go a.confirm(o, at, follow, wait)
		}
		if len(items) == 0 || end != nil {
			return true
		}
	}
}

// confirm waits until the entry has taken the end, so that a leaving agent does not
// exit while the end is still under way. An entry that does not answer is treated as gone.
func (a *Agent) confirm(o *outbox, at *attempt, follow int, wait func(context.Context, any) error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.ReconnectGrace)
	defer cancel()
	var reply wire.EndReply
	if wait(ctx, &reply) != nil {
		o.conn.Close()
		return
	}
	if reply.Complete {
		at.ended(follow)
	}
}

// attach makes a connection follow the attempt from an offset on. It reports false
// when the items from there on are no longer held.
func (at *attempt) attach(o *outbox, offset int) (phase, bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if offset < at.base {
		return at.phase, false
	}
	at.out, at.cursor, at.sentEnd = o, min(offset, at.base+len(at.items)), false
	at.follows++
	o.mark(at)
	return at.phase, true
}

// detach ends the following of an attempt by a connection that is gone, and
// reports whether the attempt is left without one before its end was sent.
func (at *attempt) detach(o *outbox) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.out != o {
		return false
	}
	at.out, at.lostAt = nil, time.Now()
	return !at.sentEnd
}

// orphan cancels an attempt to which no entry has come back: nobody can receive its
// answer. A call of a plain service runs on, because cutting it frees no accelerator
// and may leave its effect half done.
func (a *Agent) orphan(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at.mu.Lock()
	gone := at.out == nil && time.Since(at.lostAt) >= a.cfg.ReconnectGrace
	if gone && at.phase == phaseRunning && at.start.Kind != wire.KindService {
		at.stop()
	}
	at.mu.Unlock()
	if gone {
		a.withdraw(at, cancelled())
	}
}

// append adds an item to the answer and returns its size.
func (at *attempt) append(item json.RawMessage) int64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	n := int64(len(item))
	at.items = append(at.items, item)
	if at.out != nil {
		at.out.mark(at)
	}
	return n
}

// next returns the items that o has not been sent, and the end when they reach it.
// follow tells the current following from later ones.
func (at *attempt) next(o *outbox) (items []json.RawMessage, offset int, end *wire.End, follow int) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.out != o {
		return nil, 0, nil, 0
	}
	offset = at.cursor
	size := 0
	for _, it := range at.items[at.cursor-at.base:] {
		if len(items) == maxChunkItems || (len(items) > 0 && size+len(it) > maxChunkBytes) {
			break
		}
		size += len(it)
		items = append(items, it)
		at.cursor++
	}
	if at.cursor == at.base+len(at.items) && at.end != nil && !at.sentEnd {
		end = at.end
	}
	return slices.Clip(items), offset, end, at.follows
}

// ended notes that the end was sent, unless the attempt has been resumed since:
// then the end has to be sent again after the items.
func (at *attempt) ended(follow int) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.follows == follow {
		at.sentEnd = true
	}
}
