package events

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		in   string
		want Parsed
	}{
		{"", Parsed{}},
		{"data: 1", Parsed{Partial: true}},
		{"data: 1\n", Parsed{Partial: true}},
		{"id: 7\ndata: 1\n\n", Parsed{Complete: 15, Any: true, LastID: "7"}},
		{"id: 7\ndata: 1\n\nid: 8\ndata", Parsed{Complete: 15, Any: true, LastID: "7", Partial: true}},
		{"id:7\n\ndata: 1\n\n", Parsed{Complete: 15, Any: true, LastID: "7"}},
		{": ping\n", Parsed{}},
		{": ping\n\n", Parsed{Complete: 8}},
		{": ping", Parsed{Partial: true}},
		{"\n", Parsed{Complete: 1}},
	} {
		for _, end := range []string{"\n", "\r\n", "\r"} {
			want := tc.want
			want.Complete += strings.Count(tc.in[:want.Complete], "\n") * (len(end) - 1)
			if got := Parse([]byte(strings.ReplaceAll(tc.in, "\n", end))); got != want {
				t.Errorf("%q with line end %q: %+v, want %+v", tc.in, end, got, want)
			}
		}
	}
}

// FuzzParse guards against bytes that are lost or relayed twice when a stream is read in pieces.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"id: 1\ndata: x\n\n: ping\n\ndata: y\n\n", "data: 1\r\n\r\ndata: 2\r\n\r\n", "data: 1\r\rdata", "\r\n\r"} {
		f.Add([]byte(s), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		piece = 1 + int(uint(piece)%64)
		whole := Parse(b)
		var pending []byte
		complete, partial := 0, false
		var tail Tail
		for rest := b; len(rest) > 0; {
			n := min(piece, len(rest))
			pending = append(pending, rest[:n]...)
			tail = tail.WithPiece(rest[:n])
			rest = rest[n:]
			p := Parse(pending)
			if p.Complete > len(pending) {
				t.Fatalf("%q: %d complete bytes of %d", pending, p.Complete, len(pending))
			}
			complete += p.Complete
			pending, partial = pending[p.Complete:], p.Partial
		}
		if tail.Partial() != whole.Partial || tail.Any() != whole.Any {
			t.Fatalf("%q: tail %+v, parsed %+v", b, tail, whole)
		}
		if complete != whole.Complete || partial != whole.Partial {
			t.Fatalf("%q in pieces of %d: %d complete bytes, partial %v; at once %d, %v", b, piece, complete, partial, whole.Complete, whole.Partial)
		}
	})
}
