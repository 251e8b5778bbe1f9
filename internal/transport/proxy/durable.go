package proxy

import (
	"context"
	"slices"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// Durable keeps what must outlive all processes of the system.
type Durable interface {
	// SaveStreams keeps records of streams.
	SaveStreams(recs []resume.Record)
	// ReadStreams reads the records that processes have kept, and passes them to RestoreStreams.
	ReadStreams(ctx context.Context) error
}

// RestoreStreams takes records of streams that outlived the processes that made them.
func (h *Handler) RestoreStreams(recs []resume.Record) {
	now := time.Now()
	for _, rec := range recs {
		h.versions.records.Put(rec, now)
	}
}

// saveStream keeps the record of a stream for gateways that start after all others have ended.
func (h *Handler) saveStream(rec resume.Record) {
	if h.cfg.Durable != nil {
		h.cfg.Durable.SaveStreams([]resume.Record{rec})
	}
}

// recordAhead keeps the record of a stream before its request is sent, so that it is kept when the
// caller gets the first event. A request that goes on to an endpoint of another version leaves two
// records, neither of which counts.
func (h *Handler) recordAhead(c *call, e fleet.Endpoint) {
	if h.cfg.Durable == nil || c.route.Kind != fleet.Stream || !c.route.Resumable || c.bound || c.id == "" {
		return
	}
	c.sentAt = time.Now()
	if _, settled := h.settled(c.req.Service); settled && len(c.route.Targets) == 1 || !h.versionSure(c, e) {
		return
	}
	h.saveStream(resume.Record{Key: resume.KeyOf(c.req.Service, c.id), Service: c.req.Service, Version: e.SoftwareVersion})
}

// readStream looks for the record of a stream among those that outlive all processes.
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
		return resume.Record{}, false
	}
	return h.ownRecord(c, id)
}

// ownRecord returns the record that this gateway has of a stream of one of the route's services.
func (h *Handler) ownRecord(c *call, id string) (resume.Record, bool) {
	for _, t := range c.route.Targets {
		if rec, ok := h.versions.records.Get(resume.KeyOf(t.Service, id), time.Now()); ok {
			return rec, true
		}
	}
	return resume.Record{}, false
}
