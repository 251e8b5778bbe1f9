package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEndlessResponse guards against memory that grows, or a request that waits for its
// deadline, while an endpoint sends bytes without end until the connection is closed.
func TestEndlessResponse(t *testing.T) {
	const maxBytes, maxTime = 1 << 20, time.Second
	for _, tc := range []struct{ name, start, repeated string }{
		{"in a header line", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("a", 1024)},
		{"in header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"in the status line", "HTTP/1.1 200 ", strings.Repeat("a", 1024)},
		{"without a head", "", strings.Repeat("a", 1024)},
		{"in informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"in a response to another request", "HTTP/1.1 200 OK\r\nTest-Request: other\r\n\r\n", strings.Repeat("a", 1024)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var sent atomic.Int64
			addr, _ := serveEndpoint(t, func(_ *http.Request, c net.Conn, _ int64) bool {
				_, err := io.WriteString(c, tc.start)
				for err == nil {
					_, err = io.WriteString(c, tc.repeated)
					sent.Add(int64(len(tc.repeated)))
				}
				return false
			})
			began := time.Now()
			_, err := do(t, NewPool(time.Second), addr, "1", "")
			if took := time.Since(began); err == nil || took > maxTime {
				t.Errorf("error %v after %v, want one within %v", err, took, maxTime)
			}
			time.Sleep(50 * time.Millisecond)
			// The sockets' buffers hold bytes that nobody reads.
			if n := sent.Load(); n > maxBytes+8<<20 {
				t.Errorf("the endpoint sent %d bytes before its connection was closed", n)
			}
		})
	}
}

// TestLongHead guards against a limit that rejects the long header of a sound response.
func TestLongHead(t *testing.T) {
	addr, conns := serveEndpoint(t, func(r *http.Request, c net.Conn, _ int64) bool {
		respond(c, r.Header.Get("Test-Request"), strings.Repeat(fmt.Sprintf("X-Long: %s\r\n", strings.Repeat("a", 1000)), 20), strings.Repeat("b", 1<<20))
		return true
	})
	p := NewPool(time.Second)
	for i := range 4 {
		if got, err := do(t, p, addr, fmt.Sprint(i), ""); err != nil || len(got) != 1<<20 {
			t.Fatalf("%d bytes, error %v", len(got), err)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for four sequential requests, want 1", conns.Load())
	}
}
