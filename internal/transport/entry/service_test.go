package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// TestBrokenServiceAnswerToOldCaller guards against a service's partial answer that looks complete to an HTTP/1.0 caller.
func TestBrokenServiceAnswerToOldCaller(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := &serviceWriter{w: &recorder{w: w}, head: &wire.HTTPResponseHead{Status: http.StatusOK}}
		if err := out.writeBlock(make([]byte, maxBufferedBytes+1)); err != nil {
			t.Error(err)
		}
		out.fail(r, result{outcome: fault.OutcomeFailed})
	}))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET / HTTP/1.0\r\n\r\n")
	if got, err := io.ReadAll(c); err == nil {
		t.Errorf("%d bytes ended like a complete response", len(got))
	}
}
