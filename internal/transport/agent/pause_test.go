package agent

import (
	"sync"
	"testing"
	"testing/synctest"
)

// TestPauseOfNothing guards against timers that are due at once: in a bubble, the race
// detector of go1.26 ends the process when several threads run such timers.
func TestPauseOfNothing(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for range 16 {
				wg.Go(func() {
					for range 2000 {
						if !pause(t.Context(), 0) {
							t.Error("the context ended")
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
