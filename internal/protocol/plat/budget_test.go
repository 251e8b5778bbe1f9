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

// transport answers every request at once and counts them.
type transport struct{ calls atomic.Int64 }

func (t *transport) RoundTrip(*http.Request) (*http.Response, error) {
	t.calls.Add(1)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

// TestBudget guards against a process in a loop that calls the table service more often
// than its budget allows, and against a spent budget that is no typed outage or that
// holds up calls of other kinds.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &transport{}
		c := New(Settings{Timeout: time.Second, RateLimits: RateLimits{TableWrites: 10}}, &http.Client{Transport: tr}).WithMetrics(nil)
		const seconds = 20
		var refused atomic.Int64
		end := time.Now().Add(seconds * time.Second)
		for range 100 {
			go func() {
				for time.Now().Before(end) {
					if _, err := c.Commit(t.Context(), store.Txn{}); err != nil {
						if fault.As(err).Kind != fault.Unavailable {
							t.Errorf("a spent budget gives %v", err)
						}
						refused.Add(1)
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
		time.Sleep(seconds / 2 * time.Second)
		began := time.Now()
		if _, err := c.Get(t.Context(), "k"); err != nil || time.Since(began) > 0 {
			t.Errorf("a read beside spent writes: %v after %s", err, time.Since(began))
		}
		time.Sleep(seconds * time.Second)
		if n := tr.calls.Load(); n > 10*(seconds+2)+1 || n < 10*seconds || refused.Load() == 0 {
			t.Errorf("%d calls in %d s of a budget of 10 a second, %d refused", n, seconds, refused.Load())
		}
	})
}
