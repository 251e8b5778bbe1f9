package watch

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
)

// fakeStore is a store whose version rises with each heartbeat, every 100 ms.
type fakeStore struct {
	began time.Time

	mu        sync.Mutex
	endpoints []fleet.Endpoint
	// changedAt is the version of the last change of the endpoints, gone those removed by it.
	changedAt uint64
	gone      []string
	config    uint64
	changed   chan struct{}
	// silent makes questions for the configuration end without an answer, news makes the
	// next one return a change at once.
	silent, news bool
	// calls counts the questions for the endpoints, asks those for the configuration.
	calls, asks int
}

func newFakeStore() *fakeStore {
	return &fakeStore{began: time.Now(), endpoints: listed("a", "b"), config: 1, changed: make(chan struct{})}
}

func (s *fakeStore) version() uint64 { return 10 + uint64(time.Since(s.began)/(100*time.Millisecond)) }

func (s *fakeStore) Config(ctx context.Context, after uint64, wait time.Duration) (ConfigChange, error) {
	s.mu.Lock()
	s.asks++
	changed, silent, news := s.changed, s.silent, s.news
	s.news = false
	s.mu.Unlock()
	if after != 0 && !news {
		most := time.After(wait)
		if silent {
			changed, most = nil, time.After(wait+700*time.Millisecond)
		}
		select {
		case <-changed:
		case <-most:
			if silent {
				return ConfigChange{}, errors.New("no answer")
			}
			return ConfigChange{Version: s.version()}, nil
		case <-ctx.Done():
			return ConfigChange{}, context.Cause(ctx)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConfigChange{Version: s.version(), Config: fleet.NewConfig(s.config, nil, nil, fleet.Limits{}), Changed: true}, nil
}

func (s *fakeStore) Endpoints(_ context.Context, after uint64) (EndpointChange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if after == 0 {
		return EndpointChange{Version: s.version(), Full: true, Endpoints: s.endpoints}, nil
	}
	ch := EndpointChange{Version: s.version()}
	if s.changedAt > after {
		ch.Endpoints, ch.Gone = s.endpoints, s.gone
	}
	return ch, nil
}

// set replaces the endpoints.
func (s *fakeStore) set(gone []string, list ...fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints, s.gone, s.changedAt = list, gone, s.version()
}

func (s *fakeStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) counts() (calls, asks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.asks
}

// pair is a watcher that reads the store and one that hears from it.
type pair struct {
	store       *fakeStore
	first, next *Watcher
	// mute stops the first one's words.
	mute func(bool)
}

// startPair runs two watchers of one store; the second one's questions go to a store of its own.
func startPair(t *testing.T, own *fakeStore) *pair {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	timing := Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, OwnReadInterval: 5 * time.Second}
	p := &pair{store: newFakeStore()}
	var mu sync.Mutex
	muted := false
	p.mute = func(m bool) { mu.Lock(); muted = m; mu.Unlock() }
	p.next = New(own, timing, nil, logrus.NewEntry(log))
	p.first = New(p.store, timing, func(v *View) {
		mu.Lock()
		defer mu.Unlock()
		if v.HasConfig && !muted {
			p.next.ApplyObservation(Observation{StoreVersion: v.StoreVersion, EndpointsDigest: v.EndpointsDigest, ConfigVersion: v.Config.Version, ConfigConfirmedAt: v.ConfigConfirmedAt})
		}
	}, logrus.NewEntry(log))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.first.Run(ctx) })
	wg.Go(func() { p.next.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	// The first seconds are for a fleet that starts.
	time.Sleep(startFor + 3*time.Second)
	return p
}

func TestHeardTakesThePlaceOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		calls, asks := own.counts()
		time.Sleep(20 * time.Second)
		calls2, asks2 := own.counts()
		if n := calls2 - calls; n > 5 {
			t.Errorf("%d questions for the endpoints in 20 s, want one every 5 s", n)
		}
		if n := asks2 - asks; n > 5 {
			t.Errorf("%d questions for the configuration in 20 s, want one every 5 s", n)
		}
		if age := time.Since(p.next.View().ConfigConfirmedAt); age > 3100*time.Millisecond {
			t.Errorf("the configuration was confirmed %v ago", age)
		}
		if age := time.Since(p.next.View().EndpointsConfirmedAt); age > time.Second {
			t.Errorf("the endpoints were confirmed %v ago", age)
		}

		// Without words the watcher reads as often as before.
		p.mute(true)
		time.Sleep(time.Second)
		calls, _ = own.counts()
		time.Sleep(6 * time.Second)
		if calls2, _ = own.counts(); calls2-calls < 9 {
			t.Errorf("%d questions in 6 s without words, want one every 0.6 s", calls2-calls)
		}
	})
}

func TestHeardChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		for _, s := range []*fakeStore{p.store, own} {
			s.set(nil, fleet.Endpoint{ID: "a", Leaving: true}, fleet.Endpoint{ID: "b"})
		}
		time.Sleep(650 * time.Millisecond)
		if !p.next.View().Endpoints["a"].Leaving {
			t.Error("650 ms after an endpoint began to leave, the one that hears doesn't know")
		}
		// What is older than the watcher's own reading says nothing.
		calls, _ := own.counts()
		p.mute(true)
		for range 10 {
			p.next.ApplyObservation(Observation{StoreVersion: 1, EndpointsDigest: 1})
			time.Sleep(10 * time.Millisecond)
		}
		if n, _ := own.counts(); n-calls > 1 {
			t.Errorf("%d questions after stale words", n-calls)
		}
	})
}

// TestHeardRemoval plays a word that says nothing of a removal: the process that gave it
// kept the endpoint for a while. The removal is learnt from the store nevertheless.
func TestHeardRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		p.mute(true)
		for calls, _ := own.counts(); ; time.Sleep(time.Millisecond) {
			if now, _ := own.counts(); now > calls {
				break
			}
		}
		time.Sleep(110 * time.Millisecond)
		own.set([]string{"a"}, fleet.Endpoint{ID: "b"})
		for range 3 {
			time.Sleep(110 * time.Millisecond)
			p.next.ApplyObservation(Observation{StoreVersion: own.version(), EndpointsDigest: digest(map[string]fleet.Endpoint{"a": {ID: "a"}, "b": {ID: "b"}})})
		}
		time.Sleep(1200 * time.Millisecond)
		if _, ok := p.next.View().Endpoints["a"]; ok {
			t.Error("an endpoint is still listed 1.2 s after the last word that knew it")
		}
	})
}

// TestDoubtful plays an outage of the store, after which endpoints may be kept that are gone.
func TestDoubtful(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	b := book{}.with(EndpointChange{Full: true, Endpoints: listed("a")}, at(0))
	for _, tc := range []struct {
		at   float64
		want bool
	}{{0.6, false}, {4, true}, {5, true}, {6.4, false}} {
		b = b.with(EndpointChange{}, at(tc.at))
		if got := b.answered.Before(b.grace); got != tc.want {
			t.Errorf("doubtful %v at %.1f s", got, tc.at)
		}
	}
}

// TestHeardConfig plays a connection that went silent while the configuration changes.
func TestHeardConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		own.change(func() { own.silent = true })
		time.Sleep(5 * time.Second)
		// The question under way gets no answer; one on a new connection does.
		own.change(func() { own.config, own.silent, own.news = 2, false, true })
		p.store.change(func() { p.store.config = 2; close(p.store.changed); p.store.changed = make(chan struct{}) })
		time.Sleep(800 * time.Millisecond)
		if v := p.next.View().Config.Version; v != 2 {
			t.Errorf("0.8 s after the change version %d is in force", v)
		}
	})
}

func TestDigest(t *testing.T) {
	base := map[string]fleet.Endpoint{"a": {ID: "a", Service: "s", Address: "x"}, "b": {ID: "b"}}
	sum := digest(base)
	if again := digest(map[string]fleet.Endpoint{"b": {ID: "b", Sequence: 9}, "a": {ID: "a", Service: "s", Address: "x", Models: []fleet.Resident{{Model: "m"}}}}); again != sum {
		t.Error("the order of the endpoints, their models or orders change the digest")
	}
	for name, other := range map[string]map[string]fleet.Endpoint{
		"gone":    {"a": base["a"]},
		"leaving": {"a": base["a"], "b": {ID: "b", Leaving: true}},
		"moved":   {"a": {ID: "a", Service: "s", Address: "y"}, "b": base["b"]},
		"born":    {"a": base["a"], "b": {ID: "b", Incarnation: 5}},
	} {
		if digest(other) == sum {
			t.Errorf("%s: the digest is the same", name)
		}
	}
}
