package watch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/fleet"
)

// Observation is what another process read in the store. A process whose own view matches
// it can postpone its next read.
type Observation struct {
	// StoreVersion is the store's version that the endpoints reflect; EndpointsDigest is their digest.
	StoreVersion    store.Version
	EndpointsDigest uint64
	// ModelsDigest is the digest of the models in the registrations. It is compared only if
	// ModelsMatter is set, because keepers report models sooner than registrations do.
	ModelsDigest uint64
	ModelsMatter bool
	// From is the observing process's address for datagrams.
	From string
	// ConfigVersion is the version of the configuration, which the store confirmed at ConfigConfirmedAt.
	ConfigVersion     uint64
	ConfigConfirmedAt time.Time
	// ConfigProof is the latest time of the store at which that configuration is proven to have
	// been the newest one.
	ConfigProof clock.Reading
}

// observationWaitFactor extends the pause before the next read after an observation. The
// observing process needs a pause and a store call for its next one, which should arrive first.
const observationWaitFactor = 1.3

// largeListBytes is the length of the list of endpoints from which the changes since the last own read
// are read instead; the heartbeats of 200 endpoints in ownReadInterval take as much.
const largeListBytes = 512 << 10

// arrivalStall is the time without further bytes after which an answer is no longer taken to arrive.
const arrivalStall = 400 * time.Millisecond

// errReadRestarted means that a read of the configuration was cancelled to start a new one.
var errReadRestarted = errors.New("the read of the configuration was cancelled; read again")

// ApplyObservation processes another process's observation. What matches this process's view
// counts as confirmed; what is newer and different is read from the store at once.
func (w *Watcher) ApplyObservation(obs Observation) {
	w.mu.Lock()
	v := *w.view.Load()
	proof := v.ConfigProof
	w.prover.proveByObservation(&v, obs, w.timing.Elapsed())
	if v.ConfigProof != proof {
		w.view.Store(&v)
	}
	w.logNewerConfig(&v, obs)
	switch {
	case !v.HasConfig:
	case obs.ConfigVersion > v.Config.Version:
		w.wantRelay(obs.From)
		// Restart once per version: the store may be slow to answer the new read.
		if obs.ConfigVersion > w.restartedFor && w.restartConfigRead != nil {
			w.restartedFor = obs.ConfigVersion
			w.restartConfigRead()
		}
	case obs.ConfigVersion == v.Config.Version:
		w.observedConfigAt = time.Now()
		if obs.ConfigConfirmedAt.After(v.ConfigConfirmedAt) {
			confirmed := v
			confirmed.ConfigConfirmedAt = obs.ConfigConfirmedAt
			w.view.Store(&confirmed)
		}
	}
	w.mu.Unlock()
	for {
		select {
		case w.observations <- obs:
			return
		default:
		}
		select {
		case <-w.observations:
		default:
		}
	}
}

// logNewerConfig logs, once a version, that another process has a configuration that this one
// lacks, and keeps the highest such version in the view; the caller holds mu.
func (w *Watcher) logNewerConfig(v *View, obs Observation) {
	if obs.ConfigVersion <= max(v.NewestConfig, v.Config.Version) {
		return
	}
	v.NewestConfig = obs.ConfigVersion
	w.view.Store(v)
	fields := logrus.Fields{"config": v.Config.Version, "observed": obs.ConfigVersion, "from": obs.From}
	if v.HasConfig {
		fields["confirmed_age_ms"] = time.Since(v.ConfigConfirmedAt).Milliseconds()
	}
	w.log.WithFields(fields).Info("another process has a newer configuration")
}

// waitForRead waits until the next read of the endpoints is due: at once if another process
// observed different ones, else after the pause, postponed while observations match. It
// returns the registry with the time of the last matching observation, and the version to
// read from. After a matching observation that is 0, all registrations, because the changes up to
// the observed version were not read here: they are mostly heartbeats and take longer to read, unless
// the list is large.
func (w *Watcher) waitForRead(ctx context.Context, reg registry, version store.Version, pause time.Duration) (registry, store.Version) {
	start := time.Now()
	limit := start.Add(max(pause, w.timing.OwnReadInterval))
	due := start.Add(pause)
	v := w.View()
	newest := version
	for {
		t := time.NewTimer(time.Until(due))
		select {
		case obs := <-w.observations:
			t.Stop()
			if obs.StoreVersion < newest {
				// The observation is older than this process's own read.
				continue
			}
			if obs.EndpointsDigest != v.EndpointsDigest || obs.ModelsMatter && obs.ModelsDigest != v.ModelsDigest {
				return reg, version
			}
			now := time.Now()
			var confirmed bool
			reg, confirmed = reg.withObservation(now)
			newest = obs.StoreVersion
			if reg.listBytes < largeListBytes {
				version = 0
			}
			// The observing process may be older than this one, and read less often.
			if due = now.Add(time.Duration(observationWaitFactor * float64(w.timing.EndpointPoll))); due.After(limit) {
				due = limit
			}
			seen := w.update(func(v *View) {
				v.recordGap(now, lease.SuspendedTime())
				v.StoreVersion, v.Endpoints = obs.StoreVersion, reg.endpoints
			})
			if confirmed && w.onChange != nil {
				w.onChange(seen)
			}
		case <-t.C:
			return reg, version
		case <-w.reads.wanted:
			t.Stop()
			return reg, version
		case <-ctx.Done():
			t.Stop()
			return reg, version
		}
	}
}

// readConfig waits for a change of the configuration. While other processes confirm the
// current version the long poll may last OwnReadInterval. It is cancelled, because its
// connection may be dead, once they observe a newer version or stop confirming this one, but not
// while an answer arrives: a new read would have to begin it anew.
func (w *Watcher) readConfig(ctx context.Context, version store.Version) (ConfigChange, error) {
	ctx, cancel := context.WithCancelCause(store.WithArrival(ctx, &w.configArrival))
	defer cancel(nil)
	defer w.configArrival.Reset()
	restart := func() {
		if w.configArrival.Continues(arrivalStall) {
			w.rereadDue.Store(true)
			return
		}
		cancel(errReadRestarted)
	}
	w.mu.Lock()
	w.restartConfigRead = restart
	w.configReadBegan = time.Now()
	wait := w.prover.readWait(w.timing.ConfigWait, w.timing.Elapsed())
	w.mu.Unlock()
	if version != 0 && wait == w.timing.ConfigWait && w.timing.OwnReadInterval > wait && w.configObserved(time.Now()) {
		wait = w.timing.OwnReadInterval
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, w.timing.ConfigWait)
				if !w.configObserved(time.Now()) {
					restart()
				}
			}
		}()
		go func() {
			for w.timing.MaxProofAge > 0 && ctx.Err() == nil {
				sleep(ctx, w.timing.EndpointPoll)
				if w.configReadDue() {
					restart()
				}
			}
		}()
	}
	ch, err := w.src.Config(ctx, version, wait)
	if err != nil && errors.Is(context.Cause(ctx), errReadRestarted) {
		return ch, errReadRestarted
	}
	return ch, err
}

// configObserved reports whether another process recently observed the same configuration version.
func (w *Watcher) configObserved(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.observedConfigAt) < time.Duration(observationWaitFactor*float64(w.timing.EndpointPoll))
}

// modelsDigest hashes the models in the registrations. Adapters are left out: they change only
// on a keeper's order, and a gateway needs registrations only of engines without a keeper.
func modelsDigest(list map[string]fleet.Endpoint) uint64 {
	x := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(list)) {
		_, _ = x.WriteString(id)
		for _, m := range list[id].Models {
			_, _ = x.WriteString(" " + m.Model)
		}
		_, _ = x.Write([]byte{0})
	}
	return x.Sum64()
}

// endpointsDigest hashes what decides where requests may go. The models of a registration
// are left out: keepers report them sooner.
func endpointsDigest(list map[string]fleet.Endpoint) uint64 {
	x := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(list)) {
		e := list[id]
		for _, s := range []string{
			id, e.Service, e.Address, e.FailureDomain, strconv.Itoa(e.Slots), strconv.FormatBool(e.Leaving), strconv.FormatInt(e.Incarnation, 10), e.SoftwareVersion,
		} {
			_, _ = x.WriteString(s)
			_, _ = x.Write([]byte{0})
		}
	}
	return x.Sum64()
}
