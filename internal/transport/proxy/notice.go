package proxy

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/notice"
	"chervilhead/internal/state/pick"
)

// recordNotices records what an endpoint says of itself in the head of an answer, whatever the
// answer is and whichever request it is for.
func (h *Handler) recordNotices(e fleet.Endpoint, status int, header http.Header) {
	e, known := h.speaker(e, header)
	if !known {
		return
	}
	h.recordLeaving(e, status, header)
	h.recordPause(e, status, header)
}

// speaker returns the endpoint that sent an answer: another one may have taken the address over.
func (h *Handler) speaker(e fleet.Endpoint, header http.Header) (fleet.Endpoint, bool) {
	id := header.Get(h.cfg.Headers.InstanceID)
	if id == "" || id == e.ID {
		return e, true
	}
	other, ok := h.view().Endpoints[id]
	return other, ok
}

func (h *Handler) recordLeaving(e fleet.Endpoint, status int, header http.Header) {
	leaving, err := notice.ParseLeaving(header.Values(h.cfg.Headers.Leaving))
	if err != nil {
		h.logUnreadable(e, err, "an endpoint's notice of leaving is not readable; it counts as none")
	}
	if !leaving {
		return
	}
	h.metrics.notices.WithLabelValues(e.Service, "leaves").Inc()
	listed, ok := h.view().Endpoints[e.ID]
	if h.control.RecordLeaving(e) {
		h.log.WithFields(logrus.Fields{
			"endpoint": e.ID, "service": e.Service, "born": e.Incarnation, "status": status,
			"listed": ok, "listed_born": listed.Incarnation, "listed_leaving": listed.Leaving,
		}).Info("an endpoint's answer says that it leaves")
	}
}

// recordPause records the time for which an endpoint that turns a request away wants no other.
func (h *Handler) recordPause(e fleet.Endpoint, status int, header http.Header) {
	now := time.Now()
	pause, err := notice.PauseOf(status, header, now)
	if err != nil {
		h.logUnreadable(e, err, "the pause that an endpoint asks for is not readable; it counts as none")
	}
	if pause <= 0 {
		return
	}
	h.metrics.notices.WithLabelValues(e.Service, "pause").Inc()
	if before := h.tracker.pauses.Extend(e.IncarnationID(), now.Add(pause)); !now.Before(before) {
		h.log.WithFields(logrus.Fields{
			"endpoint": e.ID, "service": e.Service, "born": e.Incarnation, "status": status, "pause_ms": pause.Milliseconds(),
		}).Info("an endpoint asks for a pause")
	}
}

// logUnreadable logs the first unreadable notice of an endpoint incarnation.
func (h *Handler) logUnreadable(e fleet.Endpoint, err error, message string) {
	h.metrics.notices.WithLabelValues(e.Service, "unreadable").Inc()
	if h.tracker.firstInvalidNotice(e) {
		h.log.WithError(err).WithField("endpoint", e.ID).Warn(message)
	}
}

// pauseSpread is the part of a pause over which the retries of rejected callers are spread after
// its end, so that they don't reach the endpoint all at once.
const pauseSpread = 0.1

// returnAfter returns the Retry-After of a request that is rejected for a pause.
func (h *Handler) returnAfter(pause time.Duration) time.Duration {
	return pause + time.Duration(pauseSpread*h.draw()*float64(pause))
}

// pauseLeft returns the time until the first of the endpoints that can serve a request ends its
// pause, 0 if one of them has none; those that the request tried count too.
func (h *Handler) pauseLeft(c *call) time.Duration {
	req := c.req
	req.Tried = nil
	gateways := h.control.GatewayBound()
	candidates := h.tracker.candidates(h.states(c), 0, req, gateways, func(fleet.Endpoint) bool { return false })
	return pick.PauseLeft(req, candidates, time.Now())
}
