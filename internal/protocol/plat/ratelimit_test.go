package plat

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
)

// countingTransport replies to every request at once and counts them.
type countingTransport struct{ calls atomic.Int64 }

func (t *countingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	t.calls.Add(1)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

// TestRateLimits guards against a process in a loop that calls the table service more often
// than its rate limit allows, and against an exhausted limit that gives no typed outage
// error or delays calls of other kinds.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &countingTransport{}
		c := New(Settings{Timeout: time.Second, RateLimits: RateLimits{TableWrites: 10}}, &http.Client{Transport: tr}).WithMetrics(nil)
		const seconds = 20
		var rejected atomic.Int64
		end := time.Now().Add(seconds * time.Second)
		for range 100 {
			go func() {
				for time.Now().Before(end) {
					if _, err := c.Commit(t.Context(), store.Txn{}); err != nil {
						if fault.As(err).Kind != fault.Unavailable {
							t.Errorf("exceeded rate limit: got error %v, want an outage", err)
						}
						rejected.Add(1)
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
		time.Sleep(seconds / 2 * time.Second)
		start := time.Now()
		if _, err := c.Get(t.Context(), "k"); err != nil || time.Since(start) > 0 {
			t.Errorf("read while writes are rate limited: error %v after %s", err, time.Since(start))
		}
		time.Sleep(seconds * time.Second)
		if n := tr.calls.Load(); n > 10*(seconds+2)+1 || n < 10*seconds || rejected.Load() == 0 {
			t.Errorf("%d calls in %d s at a limit of 10 per second, %d rejected", n, seconds, rejected.Load())
		}
	})
}
