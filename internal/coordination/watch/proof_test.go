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
	"pgregory.net/rapid"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/fleet"
)

// proofTolerance is less than the 100 ms that requests allow for rounding and timers.
const proofTolerance = 20 * time.Millisecond

// proofModel is a store with its acknowledged configurations and a gateway that hears of them.
type proofModel struct {
	now time.Duration
	// localOffset and storeOffset are the clocks' times minus now.
	localOffset, storeOffset time.Duration
	era                      uint64
	// version is that of the store's configuration, and acknowledged when each was.
	version      uint64
	acknowledged []time.Duration
	p            prover
	v            View
}

func (m *proofModel) local() time.Duration { return m.now + m.localOffset }

func (m *proofModel) reading() clock.Reading {
	return clock.Reading{Era: m.era, Time: (m.now + m.storeOffset).Truncate(time.Millisecond)}
}

// configure acknowledges the next configuration.
func (m *proofModel) configure() {
	m.acknowledged = append(m.acknowledged, m.now)
	m.version = uint64(len(m.acknowledged))
}

// check fails if a configuration was acknowledged before the proof that the gateway lacks.
func (m *proofModel) check(t *rapid.T) {
	if !m.v.ConfigProven {
		return
	}
	proven := m.v.ConfigProvenAt - m.localOffset
	for i, at := range m.acknowledged {
		if uint64(i+1) > m.v.Config.Version && at < proven-proofTolerance {
			t.Fatalf("configuration %d counts as the newest at %v; %d was acknowledged at %v", m.v.Config.Version, proven, i+1, at)
		}
	}
}

// TestProofs guards against a configuration that counts as the newest one after the store
// acknowledged another: by answers and announcements that lay in a buffer while the process was
// frozen or its machine suspended, slow calls, clocks that start anew, and restores.
func TestProofs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pause := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		m := &proofModel{localOffset: pause("local", time.Hour), storeOffset: time.Hour, p: prover{quarantine: 1200 * time.Millisecond}}
		m.configure()
		// wait passes time, in which the operators may write a configuration.
		wait := func(most time.Duration) {
			m.now += pause("wait", most)
			if rapid.Bool().Draw(t, "configure") {
				m.configure()
				m.now += pause("wait", most)
			}
		}
		read := func(buffered time.Duration) {
			began := m.local()
			wait(time.Second)
			reading, version := m.reading(), m.version
			wait(buffered)
			if version > m.v.Config.Version {
				m.v.Config, m.v.HasConfig = fleet.NewConfig(version, nil, nil, fleet.Limits{}), true
			}
			m.p.proveByAnswer(&m.v, clock.Sample{Reading: reading, Began: began}, m.local())
		}
		observe := func(buffered time.Duration) {
			obs := Observation{ConfigVersion: uint64(len(m.acknowledged)), ConfigProof: m.reading()}
			wait(buffered)
			m.p.proveByObservation(&m.v, obs, m.local())
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"read":    func(*rapid.T) { read(20 * time.Second) },
			"observe": func(*rapid.T) { observe(20 * time.Second) },
			"restore": func(*rapid.T) {
				m.era++
				m.storeOffset = pause("store", 2*time.Hour)
				m.version = min(m.version, uint64(1+pause("copy", time.Duration(len(m.acknowledged)))))
				read(0)
				m.check(t)
				// The planner announces the configuration that it keeps within the quarantine.
				observe(0)
			},
		})
	})
}

// TestNewerConfigLostInRestore guards against a gateway that learned its configuration from a
// restored store, with a key that a lost configuration had removed.
func TestNewerConfigLostInRestore(t *testing.T) {
	m := &proofModel{storeOffset: time.Hour, era: 1, p: prover{quarantine: 1200 * time.Millisecond}}
	m.v.Config, m.v.HasConfig = fleet.NewConfig(1, nil, nil, fleet.Limits{}), true
	answer := func() {
		m.now += 2 * time.Second
		m.p.proveByAnswer(&m.v, clock.Sample{Reading: m.reading(), Began: m.local()}, m.local())
	}
	answer()
	if m.v.ConfigProven {
		t.Error("a gateway that starts after a restore counts its first answer as a proof")
	}
	answer()
	if !m.v.ConfigProven {
		t.Fatal("the configuration isn't proven after the quarantine")
	}
	m.p.proveByObservation(&m.v, Observation{ConfigVersion: 2}, m.local())
	if m.v.ConfigProven {
		t.Error("the configuration counts as the newest beside a newer one")
	}
	if answer(); m.v.ConfigProven {
		t.Error("the restored store proves a configuration older than one that is known")
	}
	m.v.Config = fleet.NewConfig(3, nil, nil, fleet.Limits{})
	if answer(); !m.v.ConfigProven {
		t.Error("a newer configuration isn't proven")
	}
}

// provenStore is a store with a clock whose answers may be lost.
type provenStore struct {
	*fakeStore
	mu   sync.Mutex
	away bool
}

func (s *provenStore) sample(began time.Time) clock.Sample {
	return clock.Sample{Reading: clock.Reading{Time: time.Hour + time.Since(s.began)}, Began: began.Sub(s.began)}
}

func (s *provenStore) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

var errAway = errors.New("the store is away")

func (s *provenStore) Config(ctx context.Context, after store.Version, wait time.Duration) (ConfigChange, error) {
	began := time.Now()
	if s.lost() {
		return ConfigChange{}, errAway
	}
	ch, err := s.fakeStore.Config(ctx, after, wait)
	if s.lost() {
		return ConfigChange{}, errAway
	}
	ch.Clock = s.sample(began)
	return ch, err
}

func (s *provenStore) Endpoints(ctx context.Context, after store.Version) (EndpointChange, error) {
	began := time.Now()
	if s.lost() {
		return EndpointChange{}, errAway
	}
	ch, err := s.fakeStore.Endpoints(ctx, after)
	ch.Clock = s.sample(began)
	return ch, err
}

// TestProofAge guards against a lease that ends at a gateway while it reaches the store or the
// planner, also when the planner falls silent, and one that goes on without both.
func TestProofAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		own := &provenStore{fakeStore: newFakeStore()}
		elapsed := func() time.Duration { return time.Since(own.began) }
		w := New(own, Timing{
			ConfigWait: 2200 * time.Millisecond, EndpointPoll: 600 * time.Millisecond, RetryDelay: 200 * time.Millisecond, OwnReadInterval: 15 * time.Second,
			MaxProofAge: 3500 * time.Millisecond, Elapsed: elapsed,
		}, nil, logrus.NewEntry(log))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.Run(ctx)
		age := func() time.Duration { return elapsed() - w.View().ConfigProvenAt }
		// run passes time and returns the greatest age of the proof in it.
		run := func(d time.Duration, announced bool) (most time.Duration) {
			var proof clock.Reading
			for began := time.Now(); time.Since(began) < d; {
				time.Sleep(50 * time.Millisecond)
				most = max(most, age())
				if n := time.Since(own.began) / (50 * time.Millisecond); announced && n%12 == 0 {
					if n%48 == 0 || proof.IsZero() {
						// The planner's own poll lasts four of its reads of the endpoints.
						proof = own.sample(time.Now()).Reading
					}
					v := w.View()
					w.ApplyObservation(Observation{StoreVersion: own.version(), EndpointsDigest: v.EndpointsDigest, ConfigVersion: 1, ConfigConfirmedAt: time.Now(), ConfigProof: proof})
				}
			}
			return most
		}
		time.Sleep(100 * time.Millisecond)
		// A lease lasts 4.9 s, and a call of the store up to 0.7 s of it.
		lease := (4900 - 700) * time.Millisecond
		check := func(name string, most time.Duration) {
			if most >= lease || !w.View().ConfigProven {
				t.Errorf("%s: the proof was up to %v old", name, most)
			}
		}
		check("own reads", run(20*time.Second, false))
		// The planner falls silent at different times of its own poll and of the gateway's.
		for i := range 12 {
			check("announcements", run(20*time.Second+time.Duration(i)*350*time.Millisecond, true))
			check("silent planner", run(10*time.Second, false))
		}
		own.mu.Lock()
		own.away = true
		own.mu.Unlock()
		if most := run(20*time.Second, true); most >= lease {
			t.Errorf("store away: the proof was up to %v old beside announcements", most)
		}
		if most := run(10*time.Second, false); most < 10*time.Second {
			t.Errorf("store and planner away: the proof was at most %v old after 10 s", most)
		}
		cancel()
		synctest.Wait()
	})
}
