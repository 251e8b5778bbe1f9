package watch

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
)

// refusingStore rejects every call while refuses is set.
type refusingStore struct {
	*fakeStore
	refuses atomic.Bool
}

var errRefused = errors.New("refused")

func (s *refusingStore) Config(ctx context.Context, after store.Version, wait time.Duration) (ConfigChange, error) {
	if s.refuses.Load() {
		return ConfigChange{}, errRefused
	}
	return s.fakeStore.Config(ctx, after, wait)
}

func (s *refusingStore) Endpoints(ctx context.Context, after store.Version) (EndpointChange, error) {
	if s.refuses.Load() {
		return EndpointChange{}, errRefused
	}
	return s.fakeStore.Endpoints(ctx, after)
}

// fixedRelay returns the same bytes from each address.
type fixedRelay struct {
	data  string
	reads atomic.Int64
}

func (r *fixedRelay) ReadConfig(context.Context, string, uint64) ([]byte, error) {
	r.reads.Add(1)
	return []byte(r.data), nil
}

// TestRelayedConfig guards against a gateway that doesn't take over another one's newer configuration while the store refuses it, that takes an older or unreadable one, or that asks others although the store answers.
func TestRelayedConfig(t *testing.T) {
	for _, tc := range []struct {
		name, relayed string
		refuses       bool
		want          uint64
		read          bool
	}{
		{"newer", "7", true, 7, true},
		{"older than the one in force", "1", true, 3, true},
		{"unreadable", "{", true, 3, true},
		{"the store answers", "7", false, 9, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				src := &refusingStore{fakeStore: newFakeStore()}
				src.config = 3
				w := New(src, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond, OwnReadInterval: 15 * time.Second}, nil, logrus.NewEntry(log))
				relay := &fixedRelay{data: tc.relayed}
				w.SetRelay(relay, func() []string { return nil })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go w.Run(ctx)
				time.Sleep(time.Second)
				src.refuses.Store(tc.refuses)
				src.mu.Lock()
				src.config = 9
				src.mu.Unlock()
				for range 5 {
					w.ApplyObservation(Observation{From: "10.0.0.1:1", ConfigVersion: 9})
					time.Sleep(time.Second)
				}
				if got := w.View().Config.Version; got != tc.want {
					t.Errorf("version %d is in force, want %d", got, tc.want)
				}
				if read := relay.reads.Load() > 0; read != tc.read {
					t.Errorf("other gateways were asked: %v, want %v", read, tc.read)
				}
			})
		})
	}
}

// TestReaderAskedWhileStoreRefuses guards against a change that no gateway learns of while the store refuses all of them and serves the keepers.
func TestReaderAskedWhileStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		src := &refusingStore{fakeStore: newFakeStore()}
		w := New(src, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond, OwnReadInterval: 15 * time.Second}, nil, logrus.NewEntry(log))
		relay := &fixedRelay{data: "9"}
		w.SetRelay(relay, func() []string { return []string{"10.0.0.1:1", "10.0.0.2:1"} })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		if n := relay.reads.Load(); n > 0 {
			t.Errorf("%d reads from others while the store answers", n)
		}
		src.refuses.Store(true)
		// The bound of a change at a gateway that the store refuses.
		time.Sleep(9 * time.Second)
		if v := w.View(); v.Config.Version != 9 || time.Since(v.ConfigConfirmedAt) > 2*time.Second {
			t.Errorf("version %d is in force, confirmed %v ago; want 9", v.Config.Version, time.Since(v.ConfigConfirmedAt))
		}
		if n := relay.reads.Load(); n > 10 {
			t.Errorf("%d reads from others in 9 s", n)
		}
	})
}
