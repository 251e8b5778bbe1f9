package proxy

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pick"
	"chervilhead/internal/state/ramp"
)

const (
	// rampStartupTime is the time after a gateway's start in which an endpoint that it sees for
	// the first time need not have just started: the time until keepers have reported to it.
	rampStartupTime = 3 * time.Second
	// rampPendingTime is how long an endpoint counts as just started until a request considers
	// it. A model's load takes up to 6 s and waits for the loads before it.
	rampPendingTime = 30 * time.Second
	// forgetWindowAfter is how long an incarnation is remembered after its registration, which
	// may be missing for seconds while the endpoint goes on.
	forgetWindowAfter = forgetStatementsAfter
)

// ramps keeps the windows of endpoints that have just started or recovered. A nil *ramps limits
// nothing.
type ramps struct {
	mu        sync.Mutex
	gateway   string
	startedAt time.Time
	entries   map[fleet.IncarnationID]*rampEntry
	log       *logrus.Entry
	metrics   *rampMetrics
}

// rampEntry is the window of an endpoint incarnation.
type rampEntry struct {
	id      fleet.IncarnationID
	service string
	window  ramp.Window
	size    ramp.Size
	// inFlight counts this gateway's requests from the choice of the endpoint on.
	inFlight int
	// startsUntil is the time until which the endpoint counts as just started; it is zero once
	// its window has opened.
	startsUntil time.Time
	listedAt    time.Time
}

// rampMetrics counts windows.
type rampMetrics struct {
	open   *prometheus.GaugeVec
	events *prometheus.CounterVec
}

func newRampMetrics(reg prometheus.Registerer) *rampMetrics {
	m := &rampMetrics{
		open: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chervilhead_gateway_windows", Help: "Endpoints that have just started or recovered and whose requests are limited, by service.",
		}, []string{"service"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilhead_gateway_window_events_total", Help: "Windows of endpoints that began, by cause, and that ended, by reason, by service.",
		}, []string{"service", "event"}),
	}
	reg.MustRegister(m.open, m.events)
	return m
}

func newRamps(gateway string, startedAt time.Time, metrics *rampMetrics, log *logrus.Entry) *ramps {
	return &ramps{gateway: gateway, startedAt: startedAt, entries: map[fleet.IncarnationID]*rampEntry{}, metrics: metrics, log: log}
}

// entry returns the entry of an endpoint incarnation; the caller holds mu. With starts it is that
// of one that has just started, if it is new.
func (r *ramps) entry(e fleet.Endpoint, starts bool, now time.Time) *rampEntry {
	id := e.IncarnationID()
	en, ok := r.entries[id]
	if !ok {
		en = &rampEntry{id: id, service: e.Service, window: ramp.Unlimited(ramp.Size{Slots: e.Slots, Gateways: 1}, ramp.Place(r.gateway, e.ID)), listedAt: now}
		if starts {
			en.startsUntil = now.Add(rampPendingTime)
		}
		r.entries[id] = en
	}
	return en
}

// observe takes note of the endpoints that are registered now. Those of the first view, and those
// that appear within the gateway's start, may have run for long.
func (r *ramps) observe(states []fleet.State, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := len(r.entries) > 0 && now.Sub(r.startedAt) >= rampStartupTime
	for _, s := range states {
		r.entry(s.Endpoint, starts, now)
	}
}

// update replaces a window and records whether it began or ended; the caller holds mu.
func (r *ramps) update(en *rampEntry, w ramp.Window, reason ramp.Reason, now time.Time) {
	before := en.window
	en.window = w
	cause, openedAt, wasOpen := before.Open()
	newCause, _, isOpen := w.Open()
	if isOpen == wasOpen {
		return
	}
	fields := logrus.Fields{"endpoint": en.id.Endpoint, "service": en.service, "born": en.id.Incarnation, "slots": en.size.Slots, "gateways": en.size.Gateways, "in_flight": en.inFlight}
	if isOpen {
		r.metrics.open.WithLabelValues(en.service).Inc()
		r.metrics.events.WithLabelValues(en.service, string(newCause)).Inc()
		fields["cause"], fields["limit"] = newCause, w.Limit()
		r.log.WithFields(fields).Info("requests to an endpoint are limited until its pace is known")
		return
	}
	r.metrics.open.WithLabelValues(en.service).Dec()
	r.metrics.events.WithLabelValues(en.service, string(reason)).Inc()
	fields["cause"], fields["limit"], fields["why"], fields["took_ms"] = cause, before.Limit(), reason, now.Sub(openedAt).Milliseconds()
	r.log.WithFields(fields).Info("requests to an endpoint are no longer limited")
}

// current returns the window of a candidate as it is now, and why it has ended if it has. The
// caller holds mu.
func (r *ramps) current(en *rampEntry, s fleet.State, size ramp.Size, now time.Time) (ramp.Window, ramp.Reason) {
	w := en.window.WithSize(size)
	if now.Before(en.startsUntil) && !w.Limiting() {
		w = ramp.New(size, ramp.Place(r.gateway, s.ID), now)
	}
	if s.StatusSupersedes {
		w = w.WithReport(size.Slots-s.Status.Running, s.Status.Waiting+s.Status.Prefilling, s.Status.ReceivedAt)
	}
	w, reason, _ := w.Ended(now)
	return w, reason
}

// look sets what the window of a candidate says. It changes no window.
func (r *ramps) look(c *pick.Candidate, gateways int, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	en := r.entry(c.State.Endpoint, false, now)
	w, _ := r.current(en, c.State, ramp.Size{Slots: c.Slots, Gateways: gateways}, now)
	c.WindowFull, c.Forgiven, c.Probing = !w.Room(en.inFlight, now), w.Forgiven(), w.Probing()
}

// considered records that a request considers the candidates: the windows of those that have just
// started begin, and those that exclude the request are known to be limiting.
func (r *ramps) considered(list []pick.Candidate, gateways int, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		en := r.entry(c.State.Endpoint, false, now)
		en.size = ramp.Size{Slots: c.Slots, Gateways: gateways}
		w, reason := r.current(en, c.State, en.size, now)
		en.startsUntil = time.Time{}
		if c.WindowFull {
			w = w.WithExcluded(now)
		}
		r.update(en, w, reason, now)
	}
}

// take counts a request towards the window of the endpoint chosen for it. It fails if other
// requests have filled the window since the choice; force takes it in any case. The returned
// function ends the request.
func (r *ramps) take(e fleet.Endpoint, force bool, now time.Time) (end func(), ok bool) {
	if r == nil {
		return func() {}, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	en := r.entry(e, false, now)
	if !force && !en.window.Room(en.inFlight, now) {
		return nil, false
	}
	en.inFlight++
	en.window = en.window.WithSend(now)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		en.inFlight--
	}, true
}

// record applies an event to the window of an endpoint.
func (r *ramps) record(e fleet.Endpoint, ev ramp.Event, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	en := r.entry(e, false, now)
	r.update(en, en.window.With(ev, en.inFlight, now), ramp.Failing, now)
}

// sweep takes note of the endpoints of a view, and ends the windows of those that are gone.
func (r *ramps) sweep(endpoints map[string]fleet.Endpoint, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := len(r.entries) > 0 && now.Sub(r.startedAt) >= rampStartupTime
	for _, e := range endpoints {
		r.entry(e, starts, now).listedAt = now
	}
	for id, en := range r.entries {
		w, reason, _ := en.window.Ended(now)
		if e, ok := endpoints[id.Endpoint]; !ok || e.Incarnation != id.Incarnation {
			w, reason = ramp.Unlimited(en.size, ramp.Place(r.gateway, id.Endpoint)), ramp.Gone
		}
		r.update(en, w, reason, now)
		if now.Sub(en.listedAt) > forgetWindowAfter {
			delete(r.entries, id)
		}
	}
}

// takeWindow counts the request towards the window of its endpoint.
func (h *Handler) takeWindow(c *call, chosen pick.Candidate, now time.Time) bool {
	end, ok := h.tracker.ramps.take(chosen.State.Endpoint, chosen.WindowFull, now)
	if !ok {
		return false
	}
	e, ch := chosen.State.Endpoint, c.choice
	c.endWindow = func() {
		end()
		if c.timeToFirstEvent == 0 && c.ctx.Err() != nil {
			h.tracker.ramps.record(e, ramp.Abandoned{Waited: time.Since(now), Estimate: ch.StartWait + ch.Estimate}, time.Now())
		}
	}
	return true
}

// releaseWindow ends the request's count at the endpoint of the attempt before, if there is one.
func (c *call) releaseWindow() {
	if c.endWindow != nil {
		c.endWindow()
		c.endWindow = nil
	}
}
