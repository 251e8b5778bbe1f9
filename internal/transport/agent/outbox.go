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

const (
	// maxChunkItems bounds the items of one chunk frame.
	maxChunkItems = 512
	// maxChunkBytes bounds the bytes of a chunk frame that has more than one item.
	maxChunkBytes = 1 << 20
)

// outbox sends the answers of all attempts that are attached to one connection. It only
// records which attempts have something to send, so a slow connection costs no memory and
// gets larger chunks.
type outbox struct {
	conn *peer.Conn
	wake chan struct{}

	mu    sync.Mutex
	dirty sets.Set[*attempt]
}

// outbox returns the connection's outbox and creates it if needed; mu is held.
func (a *Agent) outbox(c *peer.Conn) *outbox {
	if o, ok := a.outboxes[c]; ok {
		return o
	}
	o := &outbox{conn: c, wake: make(chan struct{}, 1), dirty: sets.Of[*attempt]()}
	a.outboxes[c] = o
	go a.send(o)
	return o
}

func (a *Agent) send(o *outbox) {
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.outboxes, o.conn)
		for _, at := range a.attempts {
			if at.detach(o) {
				time.AfterFunc(a.cfg.ReconnectGrace, func() { a.cancelAbandoned(at) })
			}
		}
	}()
	for {
		select {
		case <-o.wake:
		case <-o.conn.Done():
			return
		}
		for _, at := range o.takeDirty() {
			if !a.flush(o, at) {
				o.conn.Close()
				return
			}
		}
	}
}

// markDirty records that an attempt has something to send over the connection.
func (o *outbox) markDirty(at *attempt) {
	o.mu.Lock()
	o.dirty.Add(at)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) takeDirty() []*attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*attempt, 0, len(o.dirty))
	for at := range o.dirty {
		out = append(out, at)
	}
	clear(o.dirty)
	return out
}

// flush sends an attempt's unsent items and its end, and reports whether the connection
// still works.
func (a *Agent) flush(o *outbox, at *attempt) bool {
	for {
		items, offset, end, attachment := at.unsent(o)
		if len(items) > 0 {
			err := o.conn.Notify(a.ctx, wire.MethodChunk, wire.Chunk{
				AttemptID: at.start.AttemptID, Incarnation: a.incarnation, Offset: offset, Items: items,
			})
			if err != nil {
				return false
			}
		}
		if end != nil {
			awaitReply, err := o.conn.CallAsync(a.ctx, wire.MethodEnd, end)
			if err != nil {
				return false
			}
			go a.confirmEnd(o, at, attachment, awaitReply)
		}
		if len(items) == 0 || end != nil {
			return true
		}
	}
}

// confirmEnd waits until the entry confirms the end, so that a draining agent does not
// exit while the end is in transit. If the entry does not answer within the grace period,
// its connection is closed.
func (a *Agent) confirmEnd(o *outbox, at *attempt, attachment int, awaitReply func(context.Context, any) error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.ReconnectGrace)
	defer cancel()
	var reply wire.EndReply
	if awaitReply(ctx, &reply) != nil {
		o.conn.Close()
		return
	}
	if reply.Complete {
		at.markEndConfirmed(attachment)
	}
}

// attach makes a connection receive the attempt's items from an offset on. It returns false
// if the item at the offset is no longer held.
func (at *attempt) attach(o *outbox, offset int) (phase, bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if offset < at.itemsOffset {
		return at.phase, false
	}
	at.outbox, at.cursor, at.endConfirmed = o, min(offset, at.itemsOffset+len(at.items)), false
	at.attachCount++
	o.markDirty(at)
	return at.phase, true
}

// detach detaches an attempt from a connection that has ended. It reports whether the
// attempt was attached to it and its end is not confirmed.
func (at *attempt) detach(o *outbox) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.outbox != o {
		return false
	}
	at.outbox, at.detachedAt = nil, time.Now()
	return !at.endConfirmed
}

// cancelAbandoned cancels an attempt whose entry has not reconnected within the grace
// period, because no one can receive its answer. A running call of a plain service goes
// on: cancelling it frees no accelerator and may leave its effect half done.
func (a *Agent) cancelAbandoned(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at.mu.Lock()
	abandoned := at.outbox == nil && time.Since(at.detachedAt) >= a.cfg.ReconnectGrace
	if abandoned && at.phase == phaseRunning && at.start.Kind != wire.KindService {
		at.cancelRun()
	}
	at.mu.Unlock()
	if abandoned {
		a.withdraw(at, cancelledError())
	}
}

// appendItem adds an item to the answer and returns its size in bytes.
func (at *attempt) appendItem(item json.RawMessage) int64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	n := int64(len(item))
	at.items = append(at.items, item)
	if at.outbox != nil {
		at.outbox.markDirty(at)
	}
	return n
}

// unsent returns the next chunk of items to send over o, and the end if it follows them.
// attachment identifies the current attachment, as opposed to later ones.
func (at *attempt) unsent(o *outbox) (items []json.RawMessage, offset int, end *wire.End, attachment int) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.outbox != o {
		return nil, 0, nil, 0
	}
	offset = at.cursor
	size := 0
	for _, it := range at.items[at.cursor-at.itemsOffset:] {
		if len(items) == maxChunkItems || (len(items) > 0 && size+len(it) > maxChunkBytes) {
			break
		}
		size += len(it)
		items = append(items, it)
		at.cursor++
	}
	if at.cursor == at.itemsOffset+len(at.items) && at.end != nil && !at.endConfirmed {
		end = at.end
	}
	return slices.Clip(items), offset, end, at.attachCount
}

// markEndConfirmed records that the entry confirmed the end. If the attempt has been
// resumed since, it does nothing: the end has to be sent again after the items.
func (at *attempt) markEndConfirmed(attachment int) {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.attachCount == attachment {
		at.endConfirmed = true
	}
}
