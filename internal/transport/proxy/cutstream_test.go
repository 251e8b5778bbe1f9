package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"chervilhead/internal/state/fleet"
)

// unframedStream answers with a stream that has neither a length nor chunks.
func unframedStream(body string) serveFunc {
	return func(r *http.Request, _ string, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Test-Request"), body)
		_ = c.Close()
	}
}

// TestStreamCutInsideEvent guards against a stream that the endpoint broke off and that reaches the caller as a complete one.
func TestStreamCutInsideEvent(t *testing.T) {
	lineEnds := map[string]string{"lf": "\n", "crlf": "\r\n", "cr": "\r"}
	whole := event(1) + event(2)
	for _, tc := range []struct {
		name, tail string
		// dropped is set if the tail doesn't reach the caller.
		dropped  bool
		complete bool
	}{
		{"between events", "", false, true},
		{"comment", ": the end\n", false, true},
		{"comment without a line end", ": the e", true, false},
		{"in a name", "id", true, false},
		{"after an id", "id: 3\n", true, false},
		{"in the data", "id: 3\ndata: 1", true, false},
		{"before the empty line", "id: 3\ndata: 13\n", true, false},
		{"empty line before an event", "\nid: 3\n", true, false},
	} {
		for name, end := range lineEnds {
			t.Run(tc.name+"/"+name, func(t *testing.T) {
				sent := strings.ReplaceAll(whole+tc.tail, "\n", end)
				g := startGateway(t, fleet.Stream, false, startEndpoint(t, unframedStream(sent)))
				a, err := g.do(t.Context(), t, "POST", "/a/x", nil, "p")
				if (err == nil) != tc.complete {
					t.Errorf("error %v, want a complete stream: %v", err, tc.complete)
				}
				want := sent
				if tc.dropped {
					want = strings.ReplaceAll(whole, "\n", end)
				}
				if tc.name == "empty line before an event" {
					want += end
				}
				if a.body != want {
					t.Errorf("body %q, want %q", a.body, want)
				}
			})
		}
	}
}

// TestUnframedStreamWithoutEvent guards against a run that ended before its first event and reaches the caller as an empty stream.
func TestUnframedStreamWithoutEvent(t *testing.T) {
	for _, sent := range []string{"", "id: 1\n"} {
		g := startGateway(t, fleet.Stream, false, startEndpoint(t, unframedStream(sent)))
		if a, err := g.do(t.Context(), t, "POST", "/a/x", nil, "p"); err != nil || a.status != http.StatusBadGateway {
			t.Errorf("sent %q: status %d, error %v, want 502", sent, a.status, err)
		}
	}
}

// TestHeadOfStream guards against the response to a HEAD request being taken for a stream without events.
func TestHeadOfStream(t *testing.T) {
	g := startGateway(t, fleet.Stream, false, startEndpoint(t, unframedStream("")))
	if a, err := g.do(t.Context(), t, "HEAD", "/a/x", nil, ""); err != nil || a.status != http.StatusOK {
		t.Errorf("status %d, error %v, want 200", a.status, err)
	}
}

// TestBrokenStreamToOldCaller guards against a broken stream that looks complete to an HTTP/1.0 caller, to whom the end of the connection ends the body.
func TestBrokenStreamToOldCaller(t *testing.T) {
	for _, long := range []bool{false, true} {
		kind, serve := fleet.Stream, serveFunc(breakStream)
		if long {
			kind = fleet.AtMostOnce
			serve = func(r *http.Request, _ string, c net.Conn) {
				startStream(c, r)
				writeChunk(c, strings.Repeat("x", 2*maxBufferedBytes))
				_ = c.Close()
			}
		}
		g := startGateway(t, kind, false, startEndpoint(t, serve))
		c, err := net.Dial("tcp", g.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /a/x HTTP/1.0\r\nHost: test.example\r\nTest-Request: id-1\r\nTest-Model: m\r\nContent-Length: 1\r\n\r\np")
		if got, err := io.ReadAll(c); err == nil {
			t.Errorf("long %v: %d bytes ended like a complete response", long, len(got))
		}
	}
}
