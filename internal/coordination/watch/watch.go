package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/fleet"
)

// ConfigChange is the store's answer to a read of the configuration.
type ConfigChange struct {
	// Version is the store's version that the answer reflects.
	Version store.Version
	// Full means that the answer does not build on the version that was passed.
	Full bool
	// Config is the newest configuration if Changed is set, and Data what the store holds of it.
	Config  fleet.Config
	Data    []byte
	Changed bool
	// DecodeErrors has an error for each configuration that could not be decoded.
	DecodeErrors []error
	// Skipped has an error for each entry that is left out of Config because it can't be read.
	Skipped []error
	// Clock is the store's time at which the answer held.
	Clock clock.Sample
	// Cost is what reading the answer took.
	Cost ReadCost
}

// ReadCost is what it took to read one answer.
type ReadCost struct {
	// Bytes is the length of the answer.
	Bytes int
	// Transfer is the time from the answer's head to its last byte, and Decode that of decoding it.
	Transfer, Decode time.Duration
}

// Plus returns what two answers took together.
func (c ReadCost) Plus(d ReadCost) ReadCost {
	return ReadCost{c.Bytes + d.Bytes, c.Transfer + d.Transfer, c.Decode + d.Decode}
}

// EndpointChange is the store's answer to a read of the endpoints.
type EndpointChange struct {
	// Version is the store's version that the answer reflects.
	Version store.Version
	// Full means that Endpoints lists all endpoints.
	Full        bool
	Endpoints   []fleet.Endpoint
	Gone        []string
	InvalidRows []InvalidRow
	// Clock is the store's time at which the answer held.
	Clock clock.Sample
	// Cost is what reading the answer took.
	Cost ReadCost
}

// InvalidRow is a registration that does not describe a usable endpoint.
type InvalidRow struct {
	Key string
	Err error
}

// Source is the platform's store.
type Source interface {
	// Config returns the configuration if it changed after a version; it waits up to
	// wait for a change. Version 0 returns the newest at once.
	Config(ctx context.Context, after store.Version, wait time.Duration) (ConfigChange, error)
	// Endpoints returns the registrations that changed after a version; version 0 returns all.
	Endpoints(ctx context.Context, after store.Version) (EndpointChange, error)
	// DecodeConfig decodes a configuration as the store holds it; the result has no version.
	DecodeConfig(data []byte) (ConfigChange, error)
}

// Timing sets how often the store is read.
type Timing struct {
	// ConfigWait is how long a read of the configuration waits for a change (long poll).
	ConfigWait time.Duration
	// EndpointPoll is the pause between reads of the endpoints.
	EndpointPoll time.Duration
	// RetryDelay is the pause after a failed call. It doubles with each further one, up to
	// MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
	// OwnReadInterval is the longest time between own reads of one kind while other processes'
	// observations replace them; 0 means that observations never replace reads.
	OwnReadInterval time.Duration
	// MaxProofAge is the age of the proof that the configuration is the newest one at which it is
	// read again although other processes confirm it; 0 means no limit.
	MaxProofAge time.Duration
	// Elapsed returns the local time on a clock that goes on while the process is frozen or the
	// machine suspended; nil stands for lease.Elapsed.
	Elapsed func() time.Duration
}

// View is the newest known content of the store. It is immutable.
type View struct {
	Config    fleet.Config
	HasConfig bool
	// ConfigData is the configuration as the store held it.
	ConfigData []byte
	// ConfigConfirmedAt and EndpointsConfirmedAt are when the store last confirmed each,
	// to this process or to one whose observation matched.
	ConfigConfirmedAt, EndpointsConfirmedAt time.Time
	// ConfigProof is the latest time of the store at which Config is proven to have been the newest
	// configuration, and ConfigProvenAt that time, or an earlier one, on the local clock of
	// Timing.Elapsed. They hold nothing unless ConfigProven is set.
	ConfigProof    clock.Reading
	ConfigProvenAt time.Duration
	ConfigProven   bool
	// NewestConfig is the highest version of the configuration that another process has observed.
	NewestConfig uint64
	Endpoints    map[string]fleet.Endpoint
	// StoreVersion is the store's version that the endpoints reflect; EndpointsDigest is their digest.
	StoreVersion    store.Version
	EndpointsDigest uint64
	// ModelsDigest is the digest of the models in the endpoints' registrations.
	ModelsDigest uint64
	// EndpointsGapAt and EndpointsLongGapAt are the ends of the last gaps of more than resume.MaxViewAge
	// and resume.MaxShortGap between two confirmations of the endpoints, or zero.
	EndpointsGapAt, EndpointsLongGapAt time.Time
	suspended                          suspension
	// EndpointsUncertain is set while Endpoints may include some that the store no longer lists.
	EndpointsUncertain bool
}

// Watcher follows the store and keeps the newest view of it.
type Watcher struct {
	src    Source
	timing Timing
	log    *logrus.Entry

	mu   sync.Mutex
	view atomic.Pointer[View]
	// prover is guarded by mu.
	prover prover
	// onChange is called after each successful read of the endpoints.
	onChange func(*View)
	// observations holds the newest observation that is not yet processed.
	observations chan Observation
	// restartConfigRead cancels the configuration read in progress.
	restartConfigRead func()
	// configReadBegan is when that read began.
	configReadBegan time.Time
	// configArrival is that read's answer.
	configArrival store.Arrival
	// rereadDue is set if the read was to be restarted while its answer arrived.
	rereadDue atomic.Bool
	// restartedFor is the newest observed version that restarted the configuration read.
	restartedFor uint64
	// reads lets callers wait for a read of the endpoints.
	reads *readGate
	// answered is closed, and replaced, each time the store answers a read of the endpoints.
	answered chan struct{}
	// relay is nil if configurations come from the store only. relayWanted is signalled when the
	// process at relayFrom has a newer one.
	relay       Relay
	relayWanted chan struct{}
	// readers returns the addresses of processes that read the configuration for others;
	// readerAskedAt is when one was last asked. Only followConfig uses it.
	readers       func() []string
	readerAskedAt time.Time
	relayFrom     string
	// observedConfigAt is when the last observation with the current configuration version arrived.
	observedConfigAt time.Time
}

// New returns a watcher with an empty view; onChange, which may be nil, is called after each
// successful read of the endpoints.
func New(src Source, timing Timing, onChange func(*View), log *logrus.Entry) *Watcher {
	if timing.Elapsed == nil {
		timing.Elapsed = lease.Elapsed
	}
	w := &Watcher{src: src, prover: prover{quarantine: restoreQuarantine * timing.EndpointPoll}, timing: timing, onChange: onChange, log: log, observations: make(chan Observation, 1), reads: newReadGate(), answered: make(chan struct{}), relayWanted: make(chan struct{}, 1)}
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
	wg.Go(func() { w.followRelay(ctx) })
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
	var version store.Version
	outage := outageLog{name: "configuration", log: w.log}
	restores := restoreLog{name: "configuration", log: w.log}
	failures := 0
	for ctx.Err() == nil {
		asked := time.Now()
		answered := w.answeredChan()
		ch, err := w.readConfig(ctx, version)
		if errors.Is(err, errReadRestarted) {
			w.logRestart(time.Since(asked))
			// The change may be older than the version read last, if the store was restored.
			version = 0
			continue
		}
		reread := w.rereadDue.Swap(false)
		outage.record(ctx, err)
		if err != nil {
			if reread {
				version = 0
			}
			// The reads of the endpoints find out that the store answers again.
			failures++
			if failures >= readerAfter {
				w.askReader(ctx)
			}
			sleepUntil(ctx, w.timing.retryDelay(failures+1), answered)
			continue
		}
		failures = 0
		restores.record(version, ch.Version, ch.Full)
		version = ch.Version
		for _, err := range ch.DecodeErrors {
			w.log.WithError(err).Error("a configuration could not be decoded; the previous one stays in force")
		}
		news := false
		w.update(func(v *View) {
			news = w.takeConfig(v, ch, logrus.Fields{"source": "store", "version": ch.Version.String(), "full": ch.Full, "bytes": ch.Cost.Bytes, "transfer_ms": ch.Cost.Transfer.Milliseconds(), "decode_ms": ch.Cost.Decode.Milliseconds()})
			v.ConfigConfirmedAt = time.Now()
			w.prover.proveByAnswer(v, ch.Clock, w.timing.Elapsed())
		})
		if news {
			w.logSkipped(ch)
		}
		if v := w.View(); reread && v.NewestConfig > v.Config.Version {
			// The change may be older than the version read last, if the store was restored.
			version = 0
		}
		if news || len(ch.DecodeErrors) > 0 || time.Since(asked) > w.timing.ConfigWait/2 {
			continue
		}
		// The store answered early without a change; the pause keeps within its rate limit.
		sleep(ctx, w.timing.RetryDelay)
	}
}

// maxSkippedLogs bounds the log lines about one configuration's unreadable entries.
const maxSkippedLogs = 20

// logSkipped logs the entries that a new configuration lacks because they can't be read.
func (w *Watcher) logSkipped(ch ConfigChange) {
	for _, err := range ch.Skipped[:min(len(ch.Skipped), maxSkippedLogs)] {
		w.log.WithError(err).WithFields(logrus.Fields{"config": ch.Config.Version, "unreadable": len(ch.Skipped)}).Error("an entry of the configuration can't be read; the others are in force")
	}
}

// logRestart logs that a read of the configuration was cancelled after a time.
func (w *Watcher) logRestart(after time.Duration) {
	w.mu.Lock()
	observed := w.restartedFor
	w.mu.Unlock()
	w.log.WithFields(logrus.Fields{"config": w.View().Config.Version, "observed": observed, "open_ms": after.Milliseconds()}).Info("the configuration is read anew: other processes have a newer one, or no longer confirm this one")
}

func (w *Watcher) followEndpoints(ctx context.Context) {
	var version store.Version
	var reg registry
	began := time.Now()
	loggedRows := map[string]bool{}
	outage := outageLog{name: "endpoints", log: w.log}
	restores := restoreLog{name: "endpoints", log: w.log}
	failures := 0
	for ctx.Err() == nil {
		w.reads.awaitTurn(ctx)
		read := w.reads.begin()
		ch, err := w.src.Endpoints(ctx, version)
		outage.record(ctx, err)
		if err != nil {
			failures++
			sleep(ctx, w.timing.retryDelay(failures))
			continue
		}
		failures = 0
		w.announceAnswer()
		w.restartDueConfigRead()
		restores.record(version, ch.Version, ch.Full)
		version = ch.Version
		for _, r := range ch.InvalidRows {
			// Log once per row, not once per heartbeat.
			if len(loggedRows) < maxInvalidRowLogs && !loggedRows[r.Key] {
				loggedRows[r.Key] = true
				w.log.WithError(r.Err).WithField("row", r.Key).Warn("a registration does not describe a usable endpoint")
			}
		}
		before := reg.endpoints
		reg = reg.with(ch, time.Now())
		w.logChanges(before, reg.endpoints)
		sum, models := endpointsDigest(reg.endpoints), modelsDigest(reg.endpoints)
		v := w.update(func(v *View) {
			w.prover.addSample(v, ch.Clock, w.timing.Elapsed())
			v.recordGap(reg.confirmedAt, lease.SuspendedTime())
			v.Endpoints, v.StoreVersion, v.EndpointsUncertain = reg.endpoints, version, reg.confirmedAt.Before(reg.graceUntil)
			v.EndpointsDigest, v.ModelsDigest = sum, models
		})
		if w.onChange != nil {
			w.onChange(v)
		}
		w.reads.apply(read)
		pause := w.timing.EndpointPoll
		if time.Since(began) < startupPeriod {
			pause = min(pause, startupPoll)
		}
		if w.timing.OwnReadInterval <= 0 {
			sleepUntil(ctx, pause, w.reads.wanted)
			continue
		}
		reg, version = w.waitForRead(ctx, reg, version, pause)
	}
}

const (
	// startupPoll is the pause between reads of the endpoints during startupPeriod: after a
	// loss of all hosts the endpoints register at the same time.
	startupPoll = 150 * time.Millisecond
	// startupPeriod is the time after the start in which startupPoll applies.
	startupPeriod = 2 * time.Second
)

// maxInvalidRowLogs bounds the log lines about unusable registrations.
const maxInvalidRowLogs = 100

func (w *Watcher) logChanges(before, after map[string]fleet.Endpoint) {
	for id, e := range after {
		old, ok := before[id]
		if !ok || old.Leaving != e.Leaving || old.IncarnationID() != e.IncarnationID() {
			w.log.WithFields(logrus.Fields{
				"endpoint": id, "service": e.Service, "address": e.Address, "leaving": e.Leaving, "notice": e.PreemptionNotice, "born": e.Incarnation, "version": e.SoftwareVersion,
			}).Info("endpoint listed")
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			w.log.WithField("endpoint", id).Info("endpoint gone")
		}
	}
}

// outageLog logs the start and the end of an outage of the store, and failures in between.
type outageLog struct {
	name     string
	since    time.Time
	failures int
	log      *logrus.Entry
}

func (l *outageLog) record(ctx context.Context, err error) {
	switch {
	case err != nil && ctx.Err() == nil && l.since.IsZero():
		l.since, l.failures = time.Now(), 1
		l.log.WithError(err).WithField("what", l.name).Warn("the store does not answer; the last view stays in force")
	case err != nil && ctx.Err() == nil:
		// Each line doubles the count, so that a long outage has few of them.
		if l.failures++; l.failures&(l.failures-1) == 0 {
			l.log.WithError(err).WithFields(logrus.Fields{"what": l.name, "failures": l.failures, "away": time.Since(l.since).String()}).Warn("the store still does not answer")
		}
	case err == nil && !l.since.IsZero():
		l.log.WithFields(logrus.Fields{"what": l.name, "failures": l.failures, "away": time.Since(l.since).String()}).Info("the store answers again")
		l.since = time.Time{}
	}
}

// restoreLog logs each restore of the store from a copy that an answer shows.
type restoreLog struct {
	name string
	log  *logrus.Entry
}

// record takes the version of an answer to a read after a version; full means that the answer
// does not build on that version.
func (l *restoreLog) record(after, version store.Version, full bool) {
	if after != 0 && after.Era() != version.Era() {
		l.log.WithFields(logrus.Fields{"what": l.name, "version": version.String(), "after": after.String(), "full": full}).Warn("the store was restored from a copy")
	}
}

// retryDelay returns the pause after a number of failed calls in a row.
func (t Timing) retryDelay(failures int) time.Duration {
	const maxDoublings = 8
	return min(max(t.RetryDelay, t.MaxRetryDelay), t.RetryDelay<<min(failures-1, maxDoublings))
}

// answeredChan returns a channel that is closed when the store next answers a read of the
// endpoints.
func (w *Watcher) answeredChan() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered
}

func (w *Watcher) announceAnswer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.answered)
	w.answered = make(chan struct{})
}

// sleepUntil sleeps for a time, or until a channel is closed.
func sleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
