package entry

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"chervilhead/internal/protocol/wire"
)

// maxInboxBytes bounds the items that an inbox buffers. Items beyond it are dropped and
// requested again later, because the agent retains the answer.
const maxInboxBytes = 1 << 20

// maxTotalInboxBytes bounds the items in all inboxes together. Beyond it an inbox takes
// one item at a time, so that every answer still makes progress.
const maxTotalInboxBytes = 64 << 20

// inbox buffers the items of one attempt in offset order.
type inbox struct {
	incarnation string
	wake        chan struct{}
	totalBytes  *atomic.Int64

	mu         sync.Mutex
	nextOffset int
	items      []json.RawMessage
	sizeBytes  int
	end        *wire.End
	// gap is set when items are missing and must be requested again.
	gap bool
	// closed is set when the attempt is no longer followed.
	closed bool
}

func (e *Entry) inbox(id string) *inbox {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inboxes[id]
}

func (e *Entry) openInbox(id, incarnation string) *inbox {
	in := &inbox{incarnation: incarnation, wake: make(chan struct{}, 1), totalBytes: &e.bufferedBytes}
	e.mu.Lock()
	e.inboxes[id] = in
	e.mu.Unlock()
	return in
}

func (e *Entry) closeInbox(id string) {
	e.mu.Lock()
	in := e.inboxes[id]
	delete(e.inboxes, id)
	e.mu.Unlock()
	if in != nil {
		in.close()
	}
}

// addChunk appends the items from the next expected offset on and drops duplicates.
func (in *inbox) addChunk(c wire.Chunk) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.Incarnation != in.incarnation || in.closed {
		return
	}
	if c.Offset > in.nextOffset {
		in.gap = true
		in.signal()
		return
	}
	skip := in.nextOffset - c.Offset
	if skip >= len(c.Items) {
		return
	}
	for _, it := range c.Items[skip:] {
		full := in.sizeBytes+len(it) > maxInboxBytes || in.totalBytes.Load()+int64(len(it)) > maxTotalInboxBytes
		if full && len(in.items) > 0 {
			in.gap = true
			break
		}
		in.items = append(in.items, it)
		in.sizeBytes += len(it)
		in.totalBytes.Add(int64(len(it)))
		in.nextOffset++
	}
	in.signal()
}

// setEnd stores the end message and reports whether the agent need not send anything more.
func (in *inbox) setEnd(m wire.End) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if m.Incarnation != in.incarnation {
		return true
	}
	if in.end == nil {
		in.end = &m
		in.signal()
	}
	return in.closed || m.Items <= in.nextOffset
}

func (in *inbox) signal() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the buffered items, and returns the end message once no item is
// missing. resumeFrom is the offset to resume from if items are missing, otherwise -1.
func (in *inbox) take() (items []json.RawMessage, end *wire.End, resumeFrom int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	items = in.drain()
	resumeFrom = -1
	if in.gap || (in.end != nil && in.end.Items > in.nextOffset) {
		resumeFrom = in.nextOffset
		in.gap = false
	}
	if in.end != nil && in.end.Items <= in.nextOffset {
		end = in.end
	}
	return items, end, resumeFrom
}

// drain empties the inbox; the caller holds mu.
func (in *inbox) drain() []json.RawMessage {
	items := in.items
	in.totalBytes.Add(-int64(in.sizeBytes))
	in.items, in.sizeBytes = nil, 0
	return items
}

func (in *inbox) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed = true
	in.drain()
}

// offset returns the index of the next item expected.
func (in *inbox) offset() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.nextOffset
}

// clearEnd drops an end message that arrived before its items; the resumed answer brings
// it again.
func (in *inbox) clearEnd() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.end = nil
}
