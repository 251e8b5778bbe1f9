package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// TestInbox guards against answers with missing, duplicated or reordered items and
// against an end message that is delivered before its items.
func TestInbox(t *testing.T) {
	item := func(s string) json.RawMessage { return json.RawMessage(s) }
	chunk := func(offset int, items ...json.RawMessage) func(*inbox) {
		return func(in *inbox) { in.addChunk(wire.Chunk{Incarnation: "i", Offset: offset, Items: items}) }
	}
	end := func(items int) func(*inbox) {
		return func(in *inbox) { in.setEnd(wire.End{Incarnation: "i", Items: items, Outcome: fault.OutcomeComplete}) }
	}
	foreign := func(in *inbox) { in.addChunk(wire.Chunk{Incarnation: "j", Items: []json.RawMessage{item("9")}}) }
	big := item(`"` + strings.Repeat("x", maxInboxBytes-10) + `"`)
	for _, tc := range []struct {
		name   string
		events []func(*inbox)
		items  int
		ended  bool
		resume int
	}{
		{"in order", []func(*inbox){chunk(0, item("1")), chunk(1, item("2")), end(2)}, 2, true, -1},
		{"repeated", []func(*inbox){chunk(0, item("1"), item("2")), chunk(1, item("2"), item("3")), end(3)}, 3, true, -1},
		{"gap", []func(*inbox){chunk(0, item("1")), chunk(2, item("3"))}, 1, false, 1},
		{"end before its items", []func(*inbox){end(1)}, 0, false, 0},
		{"another incarnation", []func(*inbox){foreign, chunk(0, item("1"))}, 1, false, -1},
		{"larger than the inbox together", []func(*inbox){chunk(0, big, big), end(2)}, 1, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := &Entry{inboxes: map[string]*inbox{}}
			in := e.openInbox("x", "i")
			for _, f := range tc.events {
				f(in)
			}
			if held := e.bufferedBytes.Load(); held > maxInboxBytes {
				t.Errorf("%d bytes buffered", held)
			}
			items, got, resume := in.take()
			if len(items) != tc.items || (got != nil) != tc.ended || resume != tc.resume {
				t.Errorf("%d items, end %v, resume %d", len(items), got, resume)
			}
			chunk(in.offset(), item("1"))(in)
			e.closeInbox("x")
			chunk(in.offset(), item("2"))(in)
			if held := e.bufferedBytes.Load(); held != 0 {
				t.Errorf("%d bytes buffered after the inbox was closed", held)
			}
		})
	}
}
