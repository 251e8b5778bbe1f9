package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/resume"
)

// Durable keeps what must outlive all processes of the system.
type Durable interface {
	// SaveStreams keeps records of streams. The channel, if not nil, is closed once they are kept.
	SaveStreams(recs []resume.Record) (kept <-chan struct{})
	// ReadStreams reads the records that processes have kept up to the call, and passes them to
	// RestoreStreams.
	ReadStreams(ctx context.Context) error
	// SaveCrashes keeps what KeptCrashes returns.
	SaveCrashes()
	// ClaimTrial claims, over all gateways, that a request with a blocked key runs. It takes at least
	// the pause from one claim to the next; wait is the time until another attempt may succeed.
	ClaimTrial(ctx context.Context, key uint64, pause time.Duration) (claimed bool, wait time.Duration)
}

const (
	// restoreTimeout bounds the time after the start in which requests wait for the crash reports
	// that outlived the process; the store answers in milliseconds.
	restoreTimeout = 600 * time.Millisecond
	// claimTimeout bounds the wait for permission to run a blocked request once.
	claimTimeout = 300 * time.Millisecond
	// keepTimeout bounds the time for which the first event of a stream waits for its record: longer
	// than a gateway and the planner take to write it while the store answers.
	keepTimeout = 250 * time.Millisecond
)

// RestoreStreams takes the records of streams that processes have kept.
func (h *Handler) RestoreStreams(recs []resume.Record) {
	now := time.Now()
	for _, rec := range recs {
		h.versions.restored.Put(rec, now)
	}
}

// RestoreCrashes takes the crash reports that outlived the processes that made them.
func (h *Handler) RestoreCrashes(reports []poison.CrashReport) {
	now, t := time.Now(), h.poisonTracker
	t.mu.Lock()
	for _, r := range reports {
		t.suspects.Add(r, now)
	}
	t.mu.Unlock()
	t.restoreOnce.Do(func() { close(t.restored) })
	h.log.WithField("reports", len(reports)).Info("crash reports were read")
}

// KeptCrashes returns the crash reports that must outlive the process.
func (h *Handler) KeptCrashes(now time.Time) []poison.CrashReport {
	t := h.poisonTracker
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := t.suspects.Reports(poison.MaxKeptBytes, now)
	t.kept = map[uint64]bool{}
	for _, r := range reports {
		for _, k := range r.Keys {
			if _, blocked := t.suspects.Blocked([]uint64{k}, now); blocked {
				t.kept[k] = true
			}
		}
	}
	return reports
}

func (h *Handler) saveCrashes() {
	if h.cfg.Durable != nil {
		h.cfg.Durable.SaveCrashes()
	}
}

// awaitCrashReports waits until the crash reports of earlier processes were read, for a short time
// after the start.
func (h *Handler) awaitCrashReports(c *call) {
	left := restoreTimeout - time.Since(h.tracker.start)
	if h.cfg.Durable == nil || left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-h.poisonTracker.restored:
	case <-t.C:
	case <-c.ctx.Done():
	}
}

// claimTrial reports whether a blocked request may run.
func (h *Handler) claimTrial(c *call, b poison.Block) bool {
	if h.cfg.Durable == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	pause, _ := b.TrialPause()
	claimed, wait := h.cfg.Durable.ClaimTrial(ctx, b.Key, pause)
	h.poisonTracker.noteClaim(b, time.Now().Add(wait))
	if claimed {
		h.metrics.trials.WithLabelValues("begun").Inc()
		h.log.WithFields(logrus.Fields{"request": c.id, "key": formatKey(b.Key), "explained": b.Explained, "trial_crashes": b.TrialCrashes}).Warn("a blocked request runs on trial, to see whether it crashes endpoints")
	}
	return claimed
}

// saveStream keeps the record of a stream for gateways that start after all others have ended.
func (h *Handler) saveStream(c *call, rec resume.Record) {
	c.shared = true
	if h.cfg.Durable == nil || rec == c.saved && time.Since(c.savedAt) < recordRefresh {
		return
	}
	c.replaced = c.replaced || c.saved != (resume.Record{})
	c.saved, c.savedAt = rec, time.Now()
	c.kept = h.cfg.Durable.SaveStreams([]resume.Record{rec})
}

// awaitRecord waits until the record of a stream is kept, if another gateway could take the stream for
// one of another version without it, or by a record that it replaces.
func (h *Handler) awaitRecord(c *call) {
	if c.kept == nil || c.responseBegun {
		return
	}
	rec := c.saved
	_, settled := h.settled(rec.Service)
	if !c.replaced && (settled || !rec.Doubtful) && !h.versions.history.Came(rec.Service, rec.Version, time.Now()) {
		return
	}
	select {
	case <-c.kept:
		return
	default:
	}
	began, t := time.Now(), time.NewTimer(keepTimeout)
	defer t.Stop()
	result := "kept"
	select {
	case <-c.kept:
	case <-t.C:
		result = "timeout"
		h.log.WithFields(logrus.Fields{"request": c.id, "version": c.saved.Version}).Warn("a stream begins although its record isn't kept; if this gateway ends now, it may go on at another version")
	case <-c.ctx.Done():
		result = "ended"
	}
	h.metrics.recordWaits.WithLabelValues(result).Observe(time.Since(began).Seconds())
}

// recordAhead keeps the record of a stream before its request is sent, so that it is kept when the
// caller gets the first event. The record of the next attempt replaces it, also one that only says that
// the version is in doubt.
func (h *Handler) recordAhead(c *call, e fleet.Endpoint) {
	if h.cfg.Durable == nil || c.route.Kind != fleet.Stream || !c.route.Resumable || c.bound || c.id == "" {
		return
	}
	c.sentAt = time.Now()
	if rec := c.newRecord(c.id, e.SoftwareVersion, !h.versionSure(c, e)); c.shared || !h.impliedByService(c, rec) {
		h.saveStream(c, rec)
	}
}

// newRecord returns the record of the stream that the request with an id began at a version. It
// replaces the last one of the call if that says otherwise.
func (c *call) newRecord(id, version string, doubtful bool) resume.Record {
	rec := resume.Record{Key: resume.KeyOf(c.req.Service, id), Service: c.req.Service, Version: version, Doubtful: doubtful, Revision: c.record.Revision}
	if rec != c.record {
		if rec.Revision == 0 {
			rec.Revision = resume.NewRevision(rand.Uint32())
		}
		rec.Revision++
		c.record = rec
	}
	return rec
}

// readStream looks for the record of a stream among those that outlive all processes, and notes whether
// all of these were read.
func (h *Handler) readStream(c *call, id string) (resume.Record, bool) {
	unsettled := func(t fleet.Target) bool {
		_, settled := h.settled(t.Service)
		return !settled
	}
	if h.cfg.Durable == nil || !slices.ContainsFunc(c.route.Targets, unsettled) {
		return resume.Record{}, false
	}
	ctx, cancel := context.WithTimeout(c.in.Context(), confirmTimeout)
	defer cancel()
	if err := h.cfg.Durable.ReadStreams(ctx); err != nil {
		h.log.WithError(err).WithField("request", c.id).Debug("the records of streams were not read")
	} else {
		c.recordsRead = true
	}
	return recordIn(h.versions.restored, c, id)
}

// recordIn returns the record of a stream of one of the route's services.
func recordIn(records *resume.Records, c *call, id string) (resume.Record, bool) {
	for _, t := range c.route.Targets {
		if rec, ok := records.Get(resume.KeyOf(t.Service, id), time.Now()); ok {
			return rec, true
		}
	}
	return resume.Record{}, false
}
