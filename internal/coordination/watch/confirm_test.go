package watch

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// TestConfirmEndpoints guards against a view that counts as confirmed although an endpoint was registered before the call, and against a read for each of many callers.
func TestConfirmEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		src := &refusingStore{fakeStore: newFakeStore()}
		w := New(src, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond, OwnReadInterval: 15 * time.Second}, nil, logrus.NewEntry(log))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		time.Sleep(5 * time.Second)
		confirm := func(within time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			return w.ConfirmEndpoints(ctx)
		}
		for range 20 {
			// The moment in the pause between two reads varies.
			time.Sleep(70 * time.Millisecond)
			src.set(nil, endpointList("a")...)
			src.set(nil, endpointList("a", "new")...)
			began := time.Now()
			if err := confirm(500 * time.Millisecond); err != nil || w.View().Endpoints["new"].ID == "" {
				t.Errorf("error %v after %v; endpoints %v lack the new one", err, time.Since(began), w.View().Endpoints)
			}
			src.set([]string{"new"}, endpointList("a")...)
		}
		before, _ := src.readCounts()
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				if err := confirm(500 * time.Millisecond); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if after, _ := src.readCounts(); after-before > 8 {
			t.Errorf("%d reads for 200 callers within 0.2 s", after-before)
		}
		src.refuses.Store(true)
		if err := confirm(500 * time.Millisecond); err == nil {
			t.Error("confirmed while the store refuses its calls")
		}
		src.refuses.Store(false)
		if err := confirm(2 * time.Second); err != nil {
			t.Errorf("%v after the store's return", err)
		}
	})
}
