package watch

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fleet"
)

// fakeStore is a store whose version increases every 100 ms, as with a heartbeat.
type fakeStore struct {
	began time.Time

	mu        sync.Mutex
	endpoints []fleet.Endpoint
	// changeVersion is the version of the last change of the endpoints.
	changeVersion store.Version
	// changes counts the changes, each of which has a version of its own.
	changes store.Version
	// gone lists the endpoints that the last change removed.
	gone    []string
	config  uint64
	changed chan struct{}
	// silent makes configuration reads time out without an answer; configPending makes the
	// next one return a change at once.
	silent, configPending bool
	// endpointReads and configReads count the reads of each kind.
	endpointReads, configReads int
}

func newFakeStore() *fakeStore {
	return &fakeStore{began: time.Now(), endpoints: endpointList("a", "b"), config: 1, changed: make(chan struct{})}
}

// DecodeConfig decodes a configuration that holds its version only.
func (s *fakeStore) DecodeConfig(data []byte) (ConfigChange, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	return ConfigChange{Config: fleet.NewConfig(version, nil, nil, fleet.Limits{}), Data: data, Changed: true}, err
}

func (s *fakeStore) version() store.Version {
	return 10 + 1000*store.Version(time.Since(s.began)/(100*time.Millisecond)) + s.changes
}

func (s *fakeStore) Config(ctx context.Context, after store.Version, wait time.Duration) (ConfigChange, error) {
	s.mu.Lock()
	s.configReads++
	changed, silent, news := s.changed, s.silent, s.configPending
	s.configPending = false
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
			s.mu.Lock()
			defer s.mu.Unlock()
			return ConfigChange{Version: s.version()}, nil
		case <-ctx.Done():
			return ConfigChange{}, context.Cause(ctx)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConfigChange{Version: s.version(), Config: fleet.NewConfig(s.config, nil, nil, fleet.Limits{}), Changed: true}, nil
}

func (s *fakeStore) Endpoints(_ context.Context, after store.Version) (EndpointChange, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointReads++
	if after == 0 {
		return EndpointChange{Version: s.version(), Full: true, Endpoints: s.endpoints}, nil
	}
	ch := EndpointChange{Version: s.version()}
	if s.changeVersion > after {
		ch.Endpoints, ch.Gone = s.endpoints, s.gone
	}
	return ch, nil
}

// set replaces the endpoints.
func (s *fakeStore) set(gone []string, list ...fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes++
	s.endpoints, s.gone, s.changeVersion = list, gone, s.version()
}

func (s *fakeStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) readCounts() (endpointReads, configReads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointReads, s.configReads
}

// watcherPair is a watcher that reads the store and one that gets the first one's observations.
type watcherPair struct {
	store            *fakeStore
	reader, observer *Watcher
	// muteReader stops or resumes the reader's observations.
	muteReader func(bool)
	// modelsMatter is set while the observer has no reports of keepers.
	modelsMatter atomic.Bool
}

// startPair runs a watcher pair; the observer's own reads go to a store of its own.
func startPair(t *testing.T, own *fakeStore) *watcherPair {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	timing := Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, OwnReadInterval: 5 * time.Second}
	p := &watcherPair{store: newFakeStore()}
	var mu sync.Mutex
	muted := false
	p.muteReader = func(m bool) { mu.Lock(); muted = m; mu.Unlock() }
	p.observer = New(own, timing, nil, logrus.NewEntry(log))
	p.reader = New(p.store, timing, func(v *View) {
		mu.Lock()
		defer mu.Unlock()
		if v.HasConfig && !muted {
			p.observer.ApplyObservation(Observation{StoreVersion: v.StoreVersion, EndpointsDigest: v.EndpointsDigest, ModelsDigest: v.ModelsDigest, ModelsMatter: p.modelsMatter.Load(), ConfigVersion: v.Config.Version, ConfigConfirmedAt: v.ConfigConfirmedAt})
		}
	}, logrus.NewEntry(log))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.reader.Run(ctx) })
	wg.Go(func() { p.observer.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	// Observations replace reads only after the startup period.
	time.Sleep(startupPeriod + 3*time.Second)
	return p
}

func TestObservationsReplaceReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		calls, asks := own.readCounts()
		time.Sleep(20 * time.Second)
		calls2, asks2 := own.readCounts()
		if n := calls2 - calls; n > 5 {
			t.Errorf("%d reads of the endpoints in 20 s, want one every 5 s", n)
		}
		if n := asks2 - asks; n > 5 {
			t.Errorf("%d reads of the configuration in 20 s, want one every 5 s", n)
		}
		if age := time.Since(p.observer.View().ConfigConfirmedAt); age > 3100*time.Millisecond {
			t.Errorf("the configuration was confirmed %v ago", age)
		}
		if age := time.Since(p.observer.View().EndpointsConfirmedAt); age > time.Second {
			t.Errorf("the endpoints were confirmed %v ago", age)
		}

		// Without observations the watcher reads every EndpointPoll again.
		p.muteReader(true)
		time.Sleep(time.Second)
		calls, _ = own.readCounts()
		time.Sleep(6 * time.Second)
		if calls2, _ = own.readCounts(); calls2-calls < 9 {
			t.Errorf("%d reads in 6 s without observations, want one every 0.6 s", calls2-calls)
		}
	})
}

func TestObservedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		for _, s := range []*fakeStore{p.store, own} {
			s.set(nil, fleet.Endpoint{ID: "a", Leaving: true}, fleet.Endpoint{ID: "b"})
		}
		time.Sleep(650 * time.Millisecond)
		if !p.observer.View().Endpoints["a"].Leaving {
			t.Error("the observer does not see an endpoint as leaving 650 ms after the change")
		}
		// Observations older than the watcher's own read are ignored.
		calls, _ := own.readCounts()
		p.muteReader(true)
		for range 10 {
			p.observer.ApplyObservation(Observation{StoreVersion: 1, EndpointsDigest: 1})
			time.Sleep(10 * time.Millisecond)
		}
		if n, _ := own.readCounts(); n-calls > 1 {
			t.Errorf("%d reads after stale observations", n-calls)
		}
	})
}

// TestRemovalMissingFromObservations guards against a missed removal: observations that still
// include the endpoint, because their sender keeps it as uncertain, match the observer's view.
// The observer must learn of the removal by its own read.
func TestRemovalMissingFromObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		p.muteReader(true)
		for calls, _ := own.readCounts(); ; time.Sleep(time.Millisecond) {
			if now, _ := own.readCounts(); now > calls {
				break
			}
		}
		time.Sleep(110 * time.Millisecond)
		own.set([]string{"a"}, fleet.Endpoint{ID: "b"})
		for range 3 {
			time.Sleep(110 * time.Millisecond)
			p.observer.ApplyObservation(Observation{StoreVersion: own.version(), EndpointsDigest: endpointsDigest(map[string]fleet.Endpoint{"a": {ID: "a"}, "b": {ID: "b"}})})
		}
		time.Sleep(1200 * time.Millisecond)
		if _, ok := p.observer.View().Endpoints["a"]; ok {
			t.Error("a removed endpoint is still listed 1.2 s after the last observation that included it")
		}
	})
}

// failingStore is a store that answers no call while it is down.
type failingStore struct {
	*fakeStore
	down  atomic.Bool
	calls atomic.Int64
}

var errDown = errors.New("the store is down")

func (s *failingStore) Config(ctx context.Context, after store.Version, wait time.Duration) (ConfigChange, error) {
	if s.calls.Add(1); s.down.Load() {
		return ConfigChange{}, errDown
	}
	return s.fakeStore.Config(ctx, after, wait)
}

func (s *failingStore) Endpoints(ctx context.Context, after store.Version) (EndpointChange, error) {
	if s.calls.Add(1); s.down.Load() {
		return EndpointChange{}, errDown
	}
	return s.fakeStore.Endpoints(ctx, after)
}

// TestStoreDown guards against calls that rise while the store is down, and against a late
// notice that it is back.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &failingStore{fakeStore: newFakeStore()}
		timing := Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 800 * time.Millisecond}
		w := New(s, timing, nil, logrus.NewEntry(log))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		time.Sleep(5 * time.Second)
		before := s.calls.Load()
		time.Sleep(10 * time.Second)
		healthy := s.calls.Load() - before
		s.down.Store(true)
		before = s.calls.Load()
		time.Sleep(10 * time.Second)
		if n := s.calls.Load() - before; n > 2*healthy {
			t.Errorf("%d calls in 10 s while the store is down, %d while it answers", n, healthy)
		}
		s.down.Store(false)
		s.locked(func() { s.config, s.configPending = 2, true })
		time.Sleep(time.Second)
		if v := w.View(); v.Config.Version != 2 || time.Since(v.EndpointsConfirmedAt) > time.Second {
			t.Errorf("1 s after the store's return: configuration %d, endpoints confirmed %v ago", v.Config.Version, time.Since(v.EndpointsConfirmedAt))
		}
		cancel()
		wg.Wait()
	})
}

// TestStartBesidePlanner guards against reads at the startup's pace although the planner's
// observations confirm what was read.
func TestStartBesidePlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPair(t, newFakeStore())
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := newFakeStore()
		w := New(s, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, OwnReadInterval: 5 * time.Second}, nil, logrus.NewEntry(log))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		for range 6 {
			time.Sleep(500 * time.Millisecond)
			v := p.reader.View()
			w.ApplyObservation(Observation{StoreVersion: v.StoreVersion, EndpointsDigest: v.EndpointsDigest, ConfigVersion: v.Config.Version, ConfigConfirmedAt: v.ConfigConfirmedAt})
		}
		cancel()
		wg.Wait()
		if n, _ := s.readCounts(); n > 6 {
			t.Errorf("%d reads of the endpoints in the first 3 s, want one every 0.15 s until the first observation", n)
		}
	})
}

// TestModelsInObservations guards against reads of the store that rise while keepers are
// silent, and against models that a gateway without keepers doesn't learn of.
func TestModelsInObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		p.modelsMatter.Store(true)
		calls, _ := own.readCounts()
		time.Sleep(20 * time.Second)
		if n, _ := own.readCounts(); n-calls > 5 {
			t.Errorf("%d reads of the endpoints in 20 s, want one every 5 s", n-calls)
		}
		for _, s := range []*fakeStore{p.store, own} {
			s.set(nil, fleet.Endpoint{ID: "a", Models: []fleet.Resident{{Model: "m"}}})
		}
		time.Sleep(650 * time.Millisecond)
		if len(p.observer.View().Endpoints["a"].Models) != 1 {
			t.Error("the observer does not see the model of an endpoint 650 ms after the change")
		}
	})
}

// TestUncertainEndpoints checks that endpoints count as uncertain only within the grace
// period after an outage of the store.
func TestUncertainEndpoints(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	b := registry{}.with(EndpointChange{Full: true, Endpoints: endpointList("a")}, at(0))
	for _, tc := range []struct {
		at   float64
		want bool
	}{{0.6, false}, {4, true}, {5, true}, {6.4, false}} {
		b = b.with(EndpointChange{}, at(tc.at))
		if got := b.confirmedAt.Before(b.graceUntil); got != tc.want {
			t.Errorf("uncertain %v at %.1f s", got, tc.at)
		}
	}
}

// TestObservedConfigChange guards against a missed change of the configuration when the
// connection of the read in progress is dead.
func TestObservedConfigChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		own.locked(func() { own.silent = true })
		time.Sleep(5 * time.Second)
		// The read in progress gets no answer; one on a new connection does.
		own.locked(func() { own.config, own.silent, own.configPending = 2, false, true })
		p.store.locked(func() { p.store.config = 2; close(p.store.changed); p.store.changed = make(chan struct{}) })
		time.Sleep(800 * time.Millisecond)
		if v := p.observer.View().Config.Version; v != 2 {
			t.Errorf("version %d is in force 0.8 s after the change, want 2", v)
		}
	})
}

// TestObservedConfigBelowOwnVersion guards against a long poll for a change that the store assigned a lower version than the last read's.
func TestObservedConfigBelowOwnVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := newFakeStore()
		p := startPair(t, own)
		own.locked(func() { own.config = 2 })
		p.store.locked(func() { p.store.config = 2; close(p.store.changed); p.store.changed = make(chan struct{}) })
		time.Sleep(800 * time.Millisecond)
		if v := p.observer.View().Config.Version; v != 2 {
			t.Errorf("version %d is in force 0.8 s after another process had version 2", v)
		}
	})
}

// restlessStore answers each read of the configuration at once and in full.
type restlessStore struct{ *fakeStore }

func (s restlessStore) Config(ctx context.Context, _ store.Version, wait time.Duration) (ConfigChange, error) {
	time.Sleep(time.Millisecond)
	return s.fakeStore.Config(ctx, 0, wait)
}

// TestFullReadsWithoutNews guards against a loop without a pause while each read of the configuration is a full one.
func TestFullReadsWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := restlessStore{newFakeStore()}
		w := New(s, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond}, nil, logrus.NewEntry(log))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.Run(ctx)
		if _, n := s.readCounts(); n > 52 {
			t.Errorf("%d reads of the configuration in 10 s, want one every 200 ms", n)
		}
	})
}

func TestEndpointsDigest(t *testing.T) {
	base := map[string]fleet.Endpoint{"a": {ID: "a", Service: "s", Address: "x"}, "b": {ID: "b"}}
	sum := endpointsDigest(base)
	if again := endpointsDigest(map[string]fleet.Endpoint{"b": {ID: "b", Sequence: 9}, "a": {ID: "a", Service: "s", Address: "x", Models: []fleet.Resident{{Model: "m"}}}}); again != sum {
		t.Error("the order of the endpoints, their models or their sequences change the digest")
	}
	for name, other := range map[string]map[string]fleet.Endpoint{
		"gone":    {"a": base["a"]},
		"leaving": {"a": base["a"], "b": {ID: "b", Leaving: true}},
		"moved":   {"a": {ID: "a", Service: "s", Address: "y"}, "b": base["b"]},
		"born":    {"a": base["a"], "b": {ID: "b", Incarnation: 5}},
	} {
		if endpointsDigest(other) == sum {
			t.Errorf("%s: the digest is the same", name)
		}
	}
}

// largeStore is a store whose list of endpoints takes long to read.
type largeStore struct {
	*fakeStore
	bytes     int
	fullReads atomic.Int64
}

func (s *largeStore) Endpoints(ctx context.Context, after store.Version) (EndpointChange, error) {
	ch, err := s.fakeStore.Endpoints(ctx, after)
	if ch.Full {
		s.fullReads.Add(1)
		ch.Cost.Bytes = s.bytes
	}
	return ch, err
}

// TestLargeListReadOnce guards against a long list of endpoints that is read again for each change.
func TestLargeListReadOnce(t *testing.T) {
	for _, bytes := range []int{20 << 10, 4 << 20} {
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			src := &largeStore{fakeStore: newFakeStore(), bytes: bytes}
			w := New(src, Timing{ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, OwnReadInterval: 15 * time.Second}, nil, logrus.NewEntry(log))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go w.Run(ctx)
			time.Sleep(5 * time.Second)
			for i := range 10 {
				v := w.View()
				for range 3 {
					time.Sleep(600 * time.Millisecond)
					w.ApplyObservation(Observation{StoreVersion: src.version(), EndpointsDigest: v.EndpointsDigest, ConfigVersion: 1})
				}
				src.set(nil, endpointList("a", "b", "new"+strconv.Itoa(i))...)
				w.ApplyObservation(Observation{StoreVersion: src.version(), EndpointsDigest: 1, ConfigVersion: 1})
				time.Sleep(100 * time.Millisecond)
				if _, ok := w.View().Endpoints["new"+strconv.Itoa(i)]; !ok {
					t.Errorf("%d bytes: endpoint %d is missing", bytes, i)
				}
			}
			if n := src.fullReads.Load(); bytes > largeListBytes && n > 1 {
				t.Errorf("a list of %d bytes was read %d times", bytes, n)
			}
		})
	}
}
