package events

import (
	"bytes"
	"iter"
	"mime"
	"net/http"
)

// lines yields the lines in b, each with the offset after its end.
// It leaves out a last line without an end.
func lines(b []byte) iter.Seq2[[]byte, int] {
	return func(yield func([]byte, int) bool) {
		for start := 0; ; {
			n := bytes.IndexAny(b[start:], "\r\n")
			if n < 0 {
				return
			}
			end := start + n + 1
			if b[end-1] == '\r' && end < len(b) && b[end] == '\n' {
				end++
			}
			if !yield(b[start:start+n], end) {
				return
			}
			start = end
		}
	}
}

// Parsed describes a part of a stream that begins between two events.
type Parsed struct {
	// Complete is the length in bytes of the complete events.
	Complete int
	// Any is set if there is a complete event.
	Any bool
	// LastID is the id of the last complete event that has one.
	LastID string
	// Partial is set if part of an event, or of a line, follows the complete events. A stream
	// that ends there was cut off.
	Partial bool
}

// Parse finds the complete events at the start of b.
func Parse(b []byte) Parsed {
	var out Parsed
	inEvent, id, read := false, "", 0
	for line, end := range lines(b) {
		read = end
		switch {
		case len(line) == 0:
			out.Complete, out.Any = end, out.Any || inEvent
			if id != "" {
				out.LastID = id
			}
			inEvent, id = false, ""
		case line[0] == ':':
			// A comment, which is part of no event.
		default:
			inEvent = true
			if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				id = string(bytes.TrimSpace(v))
			}
		}
	}
	out.Partial = inEvent || read < len(b)
	return out
}

// IsStream reports whether a response's header declares server-sent events.
func IsStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// Tail tells whether a stream that is read in pieces ends between two events. Its zero value
// stands at the start of a stream.
type Tail struct {
	any, inEvent, inLine, afterCR bool
}

// WithPiece returns the tail after the next piece of the stream.
func (t Tail) WithPiece(b []byte) Tail {
	for _, c := range b {
		if c == '\n' && t.afterCR {
			// The rest of a line end that has been counted.
			t.afterCR = false
			continue
		}
		t.afterCR = c == '\r'
		switch {
		case c != '\n' && c != '\r':
			t.inEvent = t.inEvent || !t.inLine && c != ':'
			t.inLine = true
		case t.inLine:
			t.inLine = false
		default:
			t.any, t.inEvent = t.any || t.inEvent, false
		}
	}
	return t
}

// Partial reports whether the stream has ended inside an event or a line.
func (t Tail) Partial() bool { return t.inEvent || t.inLine }

// Any reports whether the stream has had a complete event.
func (t Tail) Any() bool { return t.any }
