package agent

import (
	"sync"
	"testing"
	"testing/synctest"
)

// TestSleepZero guards against timers with a duration of zero: in a synctest bubble, the
// race detector of go1.26 ends the process when several threads run such timers.
func TestSleepZero(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for range 16 {
				wg.Go(func() {
					for range 2000 {
						if !sleep(t.Context(), 0) {
							t.Error("the context ended")
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
