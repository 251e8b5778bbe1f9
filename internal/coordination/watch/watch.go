package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
)

// ConfigChange is what the store says of the configuration.
type ConfigChange struct {
	// Version is the store's version that the answer reflects.
	Version uint64
	// Config is the newest configuration if Changed is set.
	Config  fleet.Config
	Changed bool
	// DecodeErrors are configurations that could not be decoded.
	DecodeErrors []error
}

// EndpointChange is what the store says of the endpoints.
type EndpointChange struct {
	Version uint64
	// Full is set when Endpoints are all that there are.
	Full        bool
	Endpoints   []fleet.Endpoint
	Gone        []string
	InvalidRows []InvalidRow
}

// InvalidRow is a registration that names no usable endpoint.
type InvalidRow struct {
	Key string
	Err error
}

// Source is the platform's store.
type Source interface {
	// Config returns the configuration if it changed after a version; it waits up to
	// wait for a change. 0 asks for the newest at once.
	Config(ctx context.Context, after uint64, wait time.Duration) (ConfigChange, error)
	// Endpoints returns the registrations that changed after a version; 0 asks for all.
	Endpoints(ctx context.Context, after uint64) (EndpointChange, error)
}

// Timing says how often the store is asked.
type Timing struct {
	// ConfigWait is how long a question for the configuration waits for a change.
	ConfigWait time.Duration
	// EndpointPoll is the pause between questions for the endpoints.
	EndpointPoll time.Duration
	// RetryDelay is the pause after a call that failed.
	RetryDelay time.Duration
	// OwnReadInterval is the longest pause between questions of one kind while what other
	// processes saw in the store takes their place; 0 means that it never does.
	OwnReadInterval time.Duration
}

// View is what the store said last. It is immutable.
type View struct {
	Config    fleet.Config
	HasConfig bool
	// ConfigConfirmedAt and EndpointsAt are when the store last confirmed each.
	ConfigConfirmedAt, EndpointsConfirmedAt time.Time
	Endpoints                               map[string]fleet.Endpoint
	// StoreVersion is the store's version that the endpoints reflect, Digest identifies them.
	StoreVersion, EndpointsDigest uint64
	// EndpointsUncertain is set while endpoints may be kept that the store no longer lists.
	EndpointsUncertain bool
}

// Watcher follows the store.
type Watcher struct {
	src    Source
	timing Timing
	log    *logrus.Entry

	mu   sync.Mutex
	view atomic.Pointer[View]
	// onChange is called after each change of the endpoints.
	onChange func(*View)
	// heard is the newest word of another process that isn't taken over yet.
	heard chan Observation
	// renew ends the question for the configuration that is under way, renewed is the
	// version that it was last ended for; confirmedAt is when another process last said
	// that the configuration is the newest.
	renew       func()
	renewed     uint64
	confirmedAt time.Time
}

// New returns a watcher that has seen nothing yet; onChange may be nil.
func New(src Source, timing Timing, onChange func(*View), log *logrus.Entry) *Watcher {
	w := &Watcher{src: src, timing: timing, onChange: onChange, log: log, heard: make(chan Observation, 1)}
	w.view.Store(&View{})
	return w
}

// View returns the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// Run follows the store until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.followConfig(ctx) })
	wg.Go(func() { w.followEndpoints(ctx) })
	wg.Wait()
}

func (w *Watcher) update(f func(v *View)) *View {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := *w.view.Load()
	f(&v)
	w.view.Store(&v)
	return &v
}

func (w *Watcher) followConfig(ctx context.Context) {
	var version uint64
	link := link{name: "configuration", log: w.log}
	for ctx.Err() == nil {
		asked := time.Now()
		ch, err := w.askConfig(ctx, version)
		if errors.Is(err, errRenewed) {
			continue
		}
		link.note(ctx, err)
		if err != nil {
			sleep(ctx, w.timing.RetryDelay)
			continue
		}
		version = ch.Version
		for _, err := range ch.DecodeErrors {
			w.log.WithError(err).Error("a configuration was left out; the one before stays in force")
		}
		w.update(func(v *View) {
			v.ConfigConfirmedAt = time.Now()
			if !ch.Changed || v.HasConfig && ch.Config.Version <= v.Config.Version {
				return
			}
			w.log.WithFields(logrus.Fields{"config": ch.Config.Version, "before": v.Config.Version}).Info("configuration in force")
			v.Config, v.HasConfig = ch.Config, true
		})
		if ch.Changed || len(ch.DecodeErrors) > 0 || time.Since(asked) > w.timing.ConfigWait/2 {
			continue
		}
		// The store answered early without a change; don't spend its rate.
		sleep(ctx, w.timing.RetryDelay)
	}
}

func (w *Watcher) followEndpoints(ctx context.Context) {
	var version uint64
	var b book
	began := time.Now()
	bad := map[string]bool{}
	link := link{name: "endpoints", log: w.log}
	for ctx.Err() == nil {
		ch, err := w.src.Endpoints(ctx, version)
		link.note(ctx, err)
		if err != nil {
			sleep(ctx, w.timing.RetryDelay)
			continue
		}
		version = ch.Version
		for _, r := range ch.InvalidRows {
			// One line a row, not one a heartbeat.
			if len(bad) < maxBadRows && !bad[r.Key] {
				bad[r.Key] = true
				w.log.WithError(r.Err).WithField("row", r.Key).Warn("a registration names no endpoint")
			}
		}
		before := b.endpoints
		b = b.with(ch, time.Now())
		w.logChanges(before, b.endpoints)
		sum := digest(b.endpoints)
		v := w.update(func(v *View) {
			v.Endpoints, v.EndpointsConfirmedAt, v.StoreVersion, v.EndpointsDigest, v.EndpointsUncertain = b.endpoints, b.answered, version, sum, b.answered.Before(b.grace)
		})
		if w.onChange != nil {
			w.onChange(v)
		}
		pause := w.timing.EndpointPoll
		if time.Since(began) < startFor {
			pause = min(pause, startPoll)
		}
		if w.timing.OwnReadInterval <= 0 || time.Since(began) < startFor {
			sleep(ctx, pause)
			continue
		}
		b, version = w.rely(ctx, b, version, pause)
	}
}

const (
	// startPoll is the pause between questions for the endpoints just after the start:
	// after a loss of all hosts the endpoints register at the same time. It lasts startFor.
	startPoll, startFor = 150 * time.Millisecond, 2 * time.Second
)

// maxBadRows bounds the log lines on registrations that can't be used.
const maxBadRows = 100

func (w *Watcher) logChanges(before, after map[string]fleet.Endpoint) {
	for id, e := range after {
		old, ok := before[id]
		if !ok || old.Leaving != e.Leaving || old.Incarnation != e.Incarnation {
			w.log.WithFields(logrus.Fields{
				"endpoint": id, "service": e.Service, "address": e.Address, "leaving": e.Leaving, "notice": e.PreemptionNotice, "born": e.Incarnation,
			}).Info("endpoint listed")
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			w.log.WithField("endpoint", id).Info("endpoint gone")
		}
	}
}

// link logs when a dependency is lost and regained.
type link struct {
	name string
	lost time.Time
	log  *logrus.Entry
}

func (l *link) note(ctx context.Context, err error) {
	switch {
	case err != nil && ctx.Err() == nil && l.lost.IsZero():
		l.lost = time.Now()
		l.log.WithError(err).WithField("what", l.name).Warn("the store doesn't answer; the newest view stays in force")
	case err == nil && !l.lost.IsZero():
		l.log.WithFields(logrus.Fields{"what": l.name, "away": time.Since(l.lost).String()}).Info("the store answers again")
		l.lost = time.Time{}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
