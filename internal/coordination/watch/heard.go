package watch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/fleet"
)

// Observation is what another process read in the store. Processes that read the same need not
// ask the store themselves.
type Observation struct {
	// StoreVersion is the store's version that the endpoints reflect, Digest identifies them.
	StoreVersion, EndpointsDigest uint64
	// ConfigVersion is the version of the configuration, which the store confirmed at ConfigAt.
	ConfigVersion     uint64
	ConfigConfirmedAt time.Time
}

// relyFactor stretches the pause before the store is asked after another process's word,
// so that the next word, which takes that process a pause and a call, comes first.
const relyFactor = 1.3

// errRenewed means that a question for the configuration was ended to ask anew.
var errRenewed = errors.New("the question for the configuration was ended; ask again")

// ApplyObservation takes over what another process read in the store.
func (w *Watcher) ApplyObservation(s Observation) {
	w.mu.Lock()
	v := *w.view.Load()
	switch {
	case !v.HasConfig:
	case s.ConfigVersion > v.Config.Version:
		// Once for each version: the store may be slow to answer the new question.
		if s.ConfigVersion > w.renewed && w.renew != nil {
			w.renewed = s.ConfigVersion
			w.renew()
		}
	case s.ConfigVersion == v.Config.Version:
		w.confirmedAt = time.Now()
		if s.ConfigConfirmedAt.After(v.ConfigConfirmedAt) {
			v.ConfigConfirmedAt = s.ConfigConfirmedAt
			w.view.Store(&v)
		}
	}
	w.mu.Unlock()
	for {
		select {
		case w.heard <- s:
			return
		default:
		}
		select {
		case <-w.heard:
		default:
		}
	}
}

// rely waits until the endpoints are to be asked for again: at once if another process
// saw others, else after the pause, or later while other processes see the same. It
// returns the book that their words confirm and the version to ask from: 0, all
// registrations, after any word, because the changes until it were not read here.
func (w *Watcher) rely(ctx context.Context, b book, version uint64, pause time.Duration) (book, uint64) {
	began := time.Now()
	limit := began.Add(max(pause, w.timing.OwnReadInterval))
	due := began.Add(pause)
	sum, newest := w.View().EndpointsDigest, version
	for {
		t := time.NewTimer(time.Until(due))
		select {
		case s := <-w.heard:
			t.Stop()
			if s.StoreVersion < newest {
				// It is older than what this process read itself.
				continue
			}
			if s.EndpointsDigest != sum {
				return b, version
			}
			now := time.Now()
			b.answered, newest, version = now, s.StoreVersion, 0
			if due = now.Add(time.Duration(relyFactor * float64(pause))); due.After(limit) {
				due = limit
			}
			w.update(func(v *View) { v.EndpointsConfirmedAt, v.StoreVersion = now, s.StoreVersion })
		case <-t.C:
			return b, version
		case <-ctx.Done():
			t.Stop()
			return b, version
		}
	}
}

// askConfig asks for a change of the configuration. While other processes confirm the
// configuration the question may wait longer; it is ended, as its connection may have
// gone silent, once they have a newer one or say nothing more.
func (w *Watcher) askConfig(ctx context.Context, version uint64) (ConfigChange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.renew = func() { cancel(errRenewed) }
	w.mu.Unlock()
	wait := w.timing.ConfigWait
	if version != 0 && w.timing.OwnReadInterval > wait && w.confirmed(time.Now()) {
		wait = w.timing.OwnReadInterval
		go func() {
			for ctx.Err() == nil {
				sleep(ctx, w.timing.ConfigWait)
				if !w.confirmed(time.Now()) {
					cancel(errRenewed)
				}
			}
		}()
	}
	ch, err := w.src.Config(ctx, version, wait)
	if err != nil && errors.Is(context.Cause(ctx), errRenewed) {
		return ch, errRenewed
	}
	return ch, err
}

// confirmed reports whether another process said lately that the configuration is the newest.
func (w *Watcher) confirmed(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.confirmedAt) < time.Duration(relyFactor*float64(w.timing.EndpointPoll))
}

// digest identifies endpoints by what decides where requests may go. What a registration
// says of models is left out: keepers tell that sooner.
func digest(list map[string]fleet.Endpoint) uint64 {
	x := xxhash.New()
	for _, id := range slices.Sorted(maps.Keys(list)) {
		e := list[id]
		for _, s := range []string{
			id, e.Service, e.Address, e.FailureDomain, strconv.Itoa(e.Slots), strconv.FormatBool(e.Leaving), strconv.FormatInt(e.Incarnation, 10),
		} {
			_, _ = x.WriteString(s)
			_, _ = x.Write([]byte{0})
		}
	}
	return x.Sum64()
}
