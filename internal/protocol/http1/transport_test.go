package http1

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestTransport guards against connections that aren't kept, and against a call that runs twice, or fails for nothing, because the peer closed its idle connection when the call was on its way.
func TestTransport(t *testing.T) {
	for _, tc := range []struct {
		method, body string
		keep         int
		// kept says that the second request comes on the first one's connection, which ends it
		// without an answer; answered says that the request is answered all the same.
		kept, answered bool
	}{
		{http.MethodGet, "", 2, true, true},
		{http.MethodPost, "x", 2, true, false},
		{http.MethodGet, "", 0, false, true},
		{http.MethodPost, "x", 0, false, true},
	} {
		var requests atomic.Int64
		addr, conns := serveEndpoint(t, func(r *http.Request, c net.Conn, n int64) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1); n == 1 && requests.Load() == 2 {
				return false
			}
			respond(c, "", "", "fine")
			return true
		})
		hc := &http.Client{Transport: NewTransport(TransportSettings{DialTimeout: time.Second, MaxIdlePerHost: tc.keep, IdleTimeout: time.Minute})}
		call := func() bool {
			req, err := http.NewRequestWithContext(t.Context(), tc.method, "http://"+addr+"/x", strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := hc.Do(req)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			return err == nil && string(data) == "fine"
		}
		if !call() {
			t.Fatalf("%s, %d kept: the first call failed", tc.method, tc.keep)
		}
		if got := call(); got != tc.answered {
			t.Errorf("%s, %d kept: answered %t, want %t", tc.method, tc.keep, got, tc.answered)
		}
		want := int64(2)
		if tc.kept && !tc.answered {
			want = 1
		}
		if conns.Load() != want {
			t.Errorf("%s, %d kept: %d connections, want %d", tc.method, tc.keep, conns.Load(), want)
		}
	}
}
