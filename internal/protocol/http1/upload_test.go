package http1

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestResetDuringUpload guards against a part of a response without a length that passes for the whole one, because the endpoint reset the connection while the request's body was still being written.
func TestResetDuringUpload(t *testing.T) {
	addr, _ := serveEndpoint(t, func(r *http.Request, c net.Conn, _ int64) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Request: "+r.Header.Get("Test-Request")+"\r\n\r\nhalf of the ans")
		// The body waits unread, so that the close resets the connection.
		time.Sleep(5 * time.Millisecond)
		return false
	})
	for i := range 100 {
		got, err := do(t, NewPool(time.Second), addr, "a", strings.Repeat("b", 8<<20))
		if err == nil {
			t.Fatalf("attempt %d: the response %q counts as complete", i, got)
		}
	}
}

// TestEarlyEndWithoutLength guards against a whole response without a length that is rejected because its endpoint ended the connection in order and the request's body was read.
func TestEarlyEndWithoutLength(t *testing.T) {
	addr, _ := serveEndpoint(t, func(r *http.Request, c net.Conn, _ int64) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Request: "+r.Header.Get("Test-Request")+"\r\n\r\nthe whole answer")
		return false
	})
	for _, n := range []int{0, 100, 8 << 20} {
		if got, err := do(t, NewPool(time.Second), addr, "a", strings.Repeat("b", n)); err != nil || got != "the whole answer" {
			t.Errorf("a body of %d bytes: response %q, error %v", n, got, err)
		}
	}
}
