package demo

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"chervilhead/internal/config"
)

// TestCrashBound guards against a request that crashes more than three endpoints of the whole
// system, and against an answer other than a clear rejection afterwards.
func TestCrashBound(t *testing.T) {
	d := startDemo(t, func(cfg *config.Demo) { cfg.CrashOn = "boom" })
	const body = `{"model":"corral-00","prompt":"boom"}`
	for range 3 {
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() { send(t, d, i%2, http.MethodPost, "/v1/completions", "", body) })
		}
		wg.Wait()
	}
	for entry := range 2 {
		if got := send(t, d, entry, http.MethodPost, "/v1/completions", "", body); got.status != http.StatusBadRequest || !strings.Contains(got.body, "request_crashes_engines") {
			t.Errorf("entry %d: status %d, body %s", entry, got.status, got.body)
		}
	}
	crashed, runs := 0, 0
	for _, e := range d.engines {
		n := 0
		for _, r := range e.Executions() {
			if strings.Contains(r.Prompt, "boom") {
				n++
			}
		}
		runs += n
		if n > 0 {
			crashed++
		}
	}
	t.Logf("%d endpoints crashed, %d executions", crashed, runs)
	if crashed > 3 {
		t.Errorf("%d endpoints crashed, want at most 3", crashed)
	}
}
