package watch

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fleet"
)

// thinLinkStore is a store whose configurations arrive over a thin link.
type thinLinkStore struct {
	*fakeStore
	// transfer is how long an answer arrives; it stalls after a part of it if stalls is set.
	transfer atomic.Int64
	stalls   atomic.Bool
	begun    atomic.Int64
}

func (s *thinLinkStore) Config(ctx context.Context, after store.Version, wait time.Duration) (ConfigChange, error) {
	if after != 0 {
		if ch, err := s.fakeStore.Config(ctx, after, wait); err != nil || !ch.Changed {
			return ch, err
		}
	}
	s.begun.Add(1)
	s.mu.Lock()
	ch := ConfigChange{Version: s.version(), Config: fleet.NewConfig(s.config, nil, nil, fleet.Limits{}), Changed: true}
	s.mu.Unlock()
	transfer := time.Duration(s.transfer.Load())
	for end := time.Now().Add(transfer); time.Now().Before(end); sleep(ctx, 50*time.Millisecond) {
		if ctx.Err() != nil {
			return ConfigChange{}, context.Cause(ctx)
		}
		if s.stalls.Load() && time.Until(end) < transfer/2 {
			<-ctx.Done()
			return ConfigChange{}, context.Cause(ctx)
		}
		store.ArrivalOf(ctx).Note()
	}
	store.ArrivalOf(ctx).NoteWhole()
	// A small share of a core decodes for longer than the relay's delay.
	sleep(ctx, 600*time.Millisecond)
	return ch, nil
}

// TestArrivingConfig guards against a large configuration that is read anew, or from another gateway besides, while it arrives, and against one that stalls and is waited for.
func TestArrivingConfig(t *testing.T) {
	for _, tc := range []struct {
		name          string
		transfer      time.Duration
		stalls        bool
		versions      uint64
		within        time.Duration
		reads, relays int64
	}{
		{"one version", 1500 * time.Millisecond, false, 1, 2500 * time.Millisecond, 1, 0},
		{"three versions in a row", 1500 * time.Millisecond, false, 3, 4700 * time.Millisecond, 2, 0},
		{"small", 50 * time.Millisecond, false, 1, 800 * time.Millisecond, 1, 0},
		{"stalls", 1500 * time.Millisecond, true, 1, 2500 * time.Millisecond, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				src := &thinLinkStore{fakeStore: newFakeStore()}
				w := New(src, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond, OwnReadInterval: 15 * time.Second}, nil, logrus.NewEntry(log))
				relay := &fixedRelay{data: "9"}
				w.SetRelay(relay, func() []string { return nil })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go w.Run(ctx)
				w.ApplyObservation(Observation{From: "10.0.0.1:1", ConfigVersion: 1})
				time.Sleep(time.Second)
				src.transfer.Store(int64(tc.transfer))
				src.stalls.Store(tc.stalls)
				src.begun.Store(0)
				began := time.Now()
				// The planner has each version at once and announces it every 0.6 s.
				for n := uint64(0); w.View().Config.Version != 9 && time.Since(began) < 10*time.Second; n++ {
					src.locked(func() { src.config = 10 - tc.versions + min(n, tc.versions-1) })
					w.ApplyObservation(Observation{From: "10.0.0.1:1", ConfigVersion: 10 - tc.versions + min(n, tc.versions-1)})
					for range 12 {
						if time.Sleep(50 * time.Millisecond); w.View().Config.Version == 9 {
							break
						}
					}
				}
				if took := time.Since(began); w.View().Config.Version != 9 || took > tc.within {
					t.Errorf("version %d is in force after %v; want 9 within %v", w.View().Config.Version, took, tc.within)
				}
				if reads, relays := src.begun.Load(), relay.reads.Load(); reads != tc.reads || relays > 0 != (tc.relays > 0) {
					t.Errorf("%d reads from the store and %d from others; want %d and %d", reads, relays, tc.reads, tc.relays)
				}
			})
		})
	}
}
