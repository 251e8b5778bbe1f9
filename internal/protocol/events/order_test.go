package events

import "testing"

// TestOrder guards against an event that is missing, comes twice or is none at the joint of two answers, and against gaps that a stream of increasing ids may have.
func TestOrder(t *testing.T) {
	begun, _ := Order{}.WithEvents([]byte("id: 1\n\nid: 2\n\n"))
	sparse, _ := Order{}.WithEvents([]byte("id: 1\n\nid: 5\n\n"))
	named, _ := Order{}.WithEvents([]byte("id: a\n\n"))
	for _, tc := range []struct {
		name  string
		order Order
		next  string
		ok    bool
	}{
		{"start", Order{}, "id: 7\n\n", true},
		{"start without id", Order{}, "data: x\n\n", true},
		{"next", begun, "id: 3\n\n", true},
		{"gap in one answer", begun, "id: 9\n\n", true},
		{"gap at a joint", begun.Join(), "id: 4\n\n", false},
		{"next at a joint", begun.Join(), "id: 3\n\nid: 9\n\n", true},
		{"gap at a joint of a sparse stream", sparse.Join(), "id: 9\n\n", true},
		{"gap in a caller's resumption", After("2"), "id: 4\n\n", true},
		{"again", begun, "id: 2\n\n", false},
		{"lower in a caller's resumption", After("2"), "id: 1\n\n", false},
		{"no id", begun, "data: x\n\n", false},
		{"no number", begun, "id: x\n\n", false},
		{"names", named, "id: b\n\n", true},
		{"a name again", named, "id: a\n\n", false},
		{"comment and empty lines", begun.Join(), ": x\n\n\n", true},
		{"too large a number", begun, "id: 99999999999999999999\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, n := tc.order.WithEvents([]byte(tc.next)); (n == len(tc.next)) != tc.ok {
				t.Errorf("%d of %d bytes may come next, want all: %v", n, len(tc.next), tc.ok)
			}
		})
	}
	if _, n := begun.WithEvents([]byte("id: 3\n\nHTTP/1.1 503 X\n\n")); n != len("id: 3\n\n") {
		t.Errorf("%d bytes may come next, want the first event", n)
	}
}
