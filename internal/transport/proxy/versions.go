package proxy

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// recordRefresh is the time after which the record of a running stream is put again, a third of a
// record's life, so that a lost datagram doesn't end it.
const recordRefresh = resume.RecordTTL / 3

// streamVersions is what the gateway knows of the versions of services and streams.
type streamVersions struct {
	// records are those of streams that this gateway served, restored those that other processes made,
	// which may replace them at any time.
	records, restored *resume.Records
	history           *resume.History

	mu sync.Mutex
	// shared holds, by service, what the keepers were last sent the records for.
	shared map[string]sharedRecords
}

// sharedRecords is the state of a service at which all its records are sent to keepers again if
// it changes.
type sharedRecords struct {
	unsettled bool
	hosts     string
}

func newStreamVersions() *streamVersions {
	return &streamVersions{records: resume.NewRecords(), restored: resume.NewRecords(), history: resume.NewHistory(time.Now()), shared: map[string]sharedRecords{}}
}

// ObserveVersions takes a new view of the endpoints.
func (h *Handler) ObserveVersions(v *watch.View) {
	h.versions.history.Observe(v.Endpoints, time.Now())
	h.shareRecords()
}

// RestoreVersions takes what the store's row of versions says of the time before the start.
func (h *Handler) RestoreVersions(row resume.Row) { h.versions.history.Restore(row) }

// settled returns the only version of a service, if it has one.
func (h *Handler) settled(service string) (version string, settled bool) {
	now := time.Now()
	return h.versions.history.Settled(service, h.confirmation(now), now)
}

// implied returns the version of the streams of a service that have no record.
func (h *Handler) implied(service string) (version string, implied bool) {
	now := time.Now()
	return h.versions.history.Implied(service, h.confirmation(now), now)
}

func (h *Handler) confirmation(now time.Time) resume.Confirmation {
	v := h.view()
	return resume.Confirmation{At: now.Add(-v.EndpointsAge(now)), GapAt: v.EndpointsGapAt, LongGapAt: v.EndpointsLongGapAt}
}

// shareRecords sends keepers the records of each service that has become unsettled, or whose
// engines' hosts have changed while it is unsettled.
func (h *Handler) shareRecords() {
	v := h.view()
	if !v.HasConfig {
		return
	}
	hosts := map[string][]string{}
	for _, e := range v.Endpoints {
		if host, _, err := net.SplitHostPort(e.Address); err == nil {
			hosts[e.Service] = append(hosts[e.Service], host)
		}
	}
	for name, svc := range v.Config.Services() {
		if svc.Engine == nil {
			continue
		}
		_, settled := h.settled(name)
		slices.Sort(hosts[name])
		now := sharedRecords{unsettled: !settled, hosts: strings.Join(slices.Compact(hosts[name]), " ")}
		h.versions.mu.Lock()
		before := h.versions.shared[name]
		h.versions.shared[name] = now
		h.versions.mu.Unlock()
		if !now.unsettled || before == now {
			continue
		}
		if recs := h.versions.records.OfService(name, time.Now()); len(recs) > 0 {
			h.control.SendStreamRecords(name, recs)
			if h.cfg.Durable != nil {
				h.cfg.Durable.SaveStreams(recs)
			}
		}
	}
}

// findStream looks up the record of the stream that a request resumes, if it resumes one.
func (h *Handler) findStream(c *call) {
	mention := resume.ParseMention(c.in.Header.Values(h.cfg.Headers.Resumes))
	named, isNamed := mention.(resume.Named)
	if c.route.Kind != fleet.Stream || !c.route.Resumable || c.in.Header.Get(h.cfg.Headers.LastEventID) == "" && c.in.Header.Get(h.cfg.Headers.Resumes) == "" {
		return
	}
	c.resumes = &resume.Evidence{Mention: mention, Source: resume.NoRecord}
	if !isNamed {
		return
	}
	if rec, ok := recordIn(h.versions.records, c, named.ID); ok {
		c.resumes.Record, c.resumes.Source = rec, resume.OwnRecord
		return
	}
	type found struct {
		record resume.Record
		source resume.Source
	}
	replies := make(chan found, len(c.route.Targets))
	for _, t := range c.route.Targets {
		go func() {
			rec, source := h.control.QueryStreamRecord(c.in.Context(), t.Service, resume.KeyOf(t.Service, named.ID))
			replies <- found{rec, source}
		}()
	}
	for range c.route.Targets {
		r := <-replies
		if r.source == resume.NoRecord {
			continue
		}
		c.resumes.Record, c.resumes.Source = r.record, r.source
		if r.source == resume.KeeperRecord {
			return
		}
	}
	h.findStored(c, named.ID)
}

// findStored looks up the record of the stream that a request resumes among those that outlive all
// processes.
func (h *Handler) findStored(c *call, id string) {
	if rec, ok := h.readStream(c, id); ok {
		c.resumes.Record, c.resumes.Source = rec, resume.StoreRecord
	}
}

// pickService returns the service for a request: that of the stream that it resumes, or one of the
// route's.
func (h *Handler) pickService(c *call) string {
	if c.resumes != nil {
		for _, t := range c.route.Targets {
			if t.Service == c.resumes.Record.Service {
				return t.Service
			}
		}
	}
	return c.route.PickService(h.draw())
}

// bindVersion binds a resumption to the version of its stream; it rejects the request and returns
// false if that isn't known.
func (h *Handler) bindVersion(c *call) bool {
	if c.resumes == nil {
		return true
	}
	c.resumes.Service = c.req.Service
	c.resumes.SettledVersion, c.resumes.Settled = h.settled(c.req.Service)
	if c.resumes.Settled && !c.resumes.Recorded() {
		// Another gateway may have begun the stream at a version that this one has yet to read.
		c.confirmed = h.confirmEndpoints(c)
		c.resumes.SettledVersion, c.resumes.Settled = h.settled(c.req.Service)
		c.resumes.Settled = c.resumes.Settled && c.confirmed
	}
	if named, ok := c.resumes.Mention.(resume.Named); ok && !c.resumes.Settled && !c.resumes.Recorded() {
		if !c.recordsRead {
			// The service was settled until just now.
			h.findStored(c, named.ID)
		}
		c.resumes.ImpliedVersion, c.resumes.Implied = h.implied(c.req.Service)
		c.resumes.Implied = c.resumes.Implied && c.recordsRead && len(c.route.Targets) == 1 && !h.contradicted(c, named.ID)
	}
	switch d := resume.Decide(*c.resumes).(type) {
	case resume.Continue:
		c.bound, c.version = true, d.Version
		if c.resumes.Recorded() {
			// A caller that goes on trying must find the record when the service has settled.
			h.putRecord(c, c.resumes.Record)
		}
		return true
	case resume.Reject:
		h.logResumption(c, d.Reason)
		h.reject(c, d.Reason, noEndpointRetryAfter)
	}
	return false
}

// contradicted reports whether records of a stream contradict each other, so that it isn't one without a
// record.
func (h *Handler) contradicted(c *call, id string) bool {
	key, now := resume.KeyOf(c.req.Service, id), time.Now()
	return h.versions.records.Contradicts(key, now) || h.versions.restored.Contradicts(key, now)
}

// putRecord keeps the record of a stream, and sends it to keepers unless all gateways can tell its
// version.
func (h *Handler) putRecord(c *call, rec resume.Record) {
	now := time.Now()
	c.recordedAt = now
	h.versions.records.Put(rec, now)
	if c.shared || !h.impliedByService(c, rec) {
		h.control.SendStreamRecords(rec.Service, []resume.Record{rec})
		h.saveStream(c, rec)
	}
}

// impliedByService reports whether all gateways can tell the version of a stream without its record.
func (h *Handler) impliedByService(c *call, rec resume.Record) bool {
	version, settled := h.settled(rec.Service)
	return settled && version == rec.Version && !rec.Doubtful && len(c.route.Targets) == 1
}

// recordEvent binds a request to the version of the endpoint that sent an event of its stream, and
// keeps the stream's record. While the endpoint's version is in doubt it only takes back a record that
// says otherwise.
func (h *Handler) recordEvent(c *call, e fleet.Endpoint) {
	if !c.route.Resumable {
		return
	}
	if !c.bound && !h.versionSure(c, e) {
		if c.shared && !c.record.Doubtful {
			h.saveStream(c, c.newRecord(c.id, c.record.Version, true))
		}
		return
	}
	c.bound, c.version = true, e.SoftwareVersion
	if c.recordedAt.IsZero() || time.Since(c.recordedAt) >= recordRefresh {
		h.refreshRecord(c)
	}
}

// versionSure reports whether the endpoint that got a request is of the version that it is
// registered with: it may have been restarted since, and its registration is read up to a second
// later. That holds in a settled service too, where a restart may bring its second version.
func (h *Handler) versionSure(c *call, e fleet.Endpoint) bool {
	states := h.control.States()
	i := slices.IndexFunc(states, func(s fleet.State) bool { return s.ID == e.ID })
	if i < 0 {
		return true
	}
	if states[i].IncarnationID() != e.IncarnationID() {
		return false
	}
	brokeAt := func(e fleet.Endpoint) time.Time { return h.tracker.breaks(e).Before(c.sentAt) }
	return len(resume.AtVersion(states[i:i+1], e.Service, e.SoftwareVersion, brokeAt, h.view().EndpointsConfirmedAt)) > 0
}

// refreshRecord keeps the record of a bound request's stream for longer.
func (h *Handler) refreshRecord(c *call) {
	id := c.id
	if c.resumes != nil {
		if named, ok := c.resumes.Mention.(resume.Named); ok {
			id = named.ID
		}
	}
	if id == "" || !c.bound || !c.route.Resumable {
		return
	}
	if c.resumes != nil && c.resumes.Recorded() {
		if rec := c.resumes.Record; rec.Service == c.req.Service && rec.Version == c.version && !rec.Doubtful {
			// The record of the call that began the stream stands.
			h.putRecord(c, rec)
			return
		}
	}
	h.putRecord(c, c.newRecord(id, c.version, false))
}

// states returns the endpoints that may get a request.
func (h *Handler) states(c *call) []fleet.State {
	if !c.bound {
		return h.control.States()
	}
	states := h.boundStates(c)
	if c.confirmed || h.cfg.ConfirmEndpoints == nil {
		return states
	}
	// An endpoint may have been restarted under its id with another version. Its keeper reports that,
	// or else the store, which also lists further endpoints of this version.
	reported := slices.DeleteFunc(slices.Clone(states), func(s fleet.State) bool { return !s.StatusSupersedes })
	if len(reported) > 0 {
		return reported
	}
	if c.confirmed = h.confirmEndpoints(c); !c.confirmed {
		return nil
	}
	return h.boundStates(c)
}

// boundStates returns the endpoints of a bound request's version.
func (h *Handler) boundStates(c *call) []fleet.State {
	brokeAt := func(e fleet.Endpoint) time.Time { return h.tracker.breaks(e).Last() }
	return resume.AtVersion(h.control.States(), c.req.Service, c.version, brokeAt, h.view().EndpointsConfirmedAt)
}

// confirmTimeout bounds the wait for the store's word on the endpoints, which it gives in
// milliseconds, and 60 times as slowly at worst.
const confirmTimeout = 500 * time.Millisecond

// confirmEndpoints reports whether the view now holds what the store lists after the call began.
func (h *Handler) confirmEndpoints(c *call) bool {
	if h.cfg.ConfirmEndpoints == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, confirmTimeout)
	defer cancel()
	return h.cfg.ConfirmEndpoints(ctx) == nil
}

// versionGone reports whether no endpoint is left that may get a bound request.
func versionGone(c *call, states []fleet.State) bool {
	return c.bound && !slices.ContainsFunc(states, func(s fleet.State) bool { return !s.Leaving })
}

// rejectVersionGone ends a request that no endpoint of its version is left for.
func (h *Handler) rejectVersionGone(c *call) nextStep {
	if c.resumes != nil {
		h.logResumption(c, "version_gone")
	}
	if len(c.req.Tried) > 0 {
		return exhausted{",version_gone"}
	}
	h.reject(c, "version_gone", noEndpointRetryAfter)
	return responded{}
}

// recordRedirect logs a resumption that the choice without versions would have sent to an endpoint
// of another version.
func (h *Handler) recordRedirect(c *call, service fleet.Service, now time.Time) {
	if c.resumes == nil || c.redirectChecked {
		return
	}
	c.redirectChecked = true
	all := h.optionsFor(c, service, h.control.States(), h.control.GatewayBound(), now)
	ch, ok := h.bestOf(c, all, now)
	if ok && candidateOf(all.candidates, ch.ID).State.SoftwareVersion != c.version {
		h.logResumption(c, "redirected")
	}
}

// logResumption logs and counts a resumption that was rejected or redirected.
func (h *Handler) logResumption(c *call, reason string) {
	h.metrics.resumptions.WithLabelValues(c.req.Service, reason).Inc()
	v, now := h.view(), time.Now()
	fields := logrus.Fields{
		"request": c.id, "route": c.route.Name, "of_service": c.req.Service, "reason": reason, "record": string(c.resumes.Source),
		"record_of": c.resumes.Record.Service, "record_version": c.resumes.Record.Version, "settled": c.resumes.Settled, "settled_version": c.resumes.SettledVersion,
		"versions": len(resume.VersionsOf(v.Endpoints)[c.req.Service]), "view_age_ms": now.Sub(v.EndpointsConfirmedAt).Milliseconds(),
	}
	if named, ok := c.resumes.Mention.(resume.Named); ok {
		fields["resumes"] = named.ID
	}
	if !v.EndpointsGapAt.IsZero() {
		fields["gap_age_ms"] = now.Sub(v.EndpointsGapAt).Milliseconds()
	}
	h.log.WithFields(fields).Info("a resumption did not go where a new stream would")
}

// recordBroken records that a connection to an endpoint broke, so that it may have been restarted.
func (t *tracker) recordBroken(e fleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.endpoint(e)
	r.breaks = r.breaks.WithBreak(time.Now())
}

// recordOutlived records that an endpoint answers a request that was sent at a time, so that it has not
// been restarted since.
func (t *tracker) recordOutlived(e fleet.Endpoint, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.endpoints[e.ID]; ok && r.incarnation == e.IncarnationID() {
		r.breaks = r.breaks.WithEvent(sentAt)
	}
}

// breaks returns the breaks of connections to an endpoint incarnation.
func (t *tracker) breaks(e fleet.Endpoint) resume.Breaks {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.endpoints[e.ID]; ok && r.incarnation == e.IncarnationID() {
		return r.breaks
	}
	return resume.Breaks{}
}
