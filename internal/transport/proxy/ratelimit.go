package proxy

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/pace"
)

// rateLimit is the rate of requests that an endpoint takes from all gateways together.
type rateLimit struct {
	named bool
	// perSecond counts requests a second.
	perSecond float64
}

var errInvalidRateLimit = errors.New("a rate limit is a decimal number of requests a second, not below 0")

// parseRateLimit decodes the field of an endpoint's answer; an empty one names no limit.
func parseRateLimit(text string) (rateLimit, error) {
	if text == "" {
		return rateLimit{}, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return rateLimit{}, fmt.Errorf("%w: %.40q", errInvalidRateLimit, text)
	}
	return rateLimit{named: true, perSecond: v}, nil
}

// recordRateLimit records the rate limit that an endpoint's answer names or no longer names.
func (h *Handler) recordRateLimit(e fleet.Endpoint, resp *http1.Response) {
	if id := resp.Header.Get(h.cfg.Headers.InstanceID); id != "" && id != e.ID {
		// Another endpoint has taken the address over and speaks for itself.
		return
	}
	text := resp.Header.Get(h.cfg.Headers.RateLimit)
	if text == "" && resp.Header.Get(h.cfg.Headers.Signature) == "" {
		// Rejections and broken answers may lack the field; only an endpoint's own answer says
		// that the limit has ended.
		return
	}
	limit, err := parseRateLimit(text)
	if err != nil {
		if h.tracker.firstInvalidRateLimit(e) {
			h.metrics.rateLimits.WithLabelValues(e.Service, "unreadable").Inc()
			h.log.WithError(err).WithField("endpoint", e.ID).Warn("the rate limit of an endpoint is not readable; the one before stays in force")
		}
		return
	}
	before := h.tracker.setRateLimit(e, limit, h.draw())
	if before == limit {
		return
	}
	fields := logrus.Fields{"endpoint": e.ID, "service": e.Service, "limit": limit.perSecond, "before": before.perSecond, "gateways": h.control.GatewayBound()}
	if limit.named {
		h.metrics.rateLimits.WithLabelValues(e.Service, "named").Inc()
		h.log.WithFields(fields).Info("an endpoint limits the rate of its requests")
		return
	}
	h.metrics.rateLimits.WithLabelValues(e.Service, "withdrawn").Inc()
	h.log.WithFields(fields).Info("an endpoint no longer limits the rate of its requests")
}

// firstInvalidRateLimit reports whether an unreadable rate limit is the first of an endpoint
// incarnation.
func (t *tracker) firstInvalidRateLimit(e fleet.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statementsOf(e)
	first := !s.invalidRateLimit
	s.invalidRateLimit = true
	return first
}

// setRateLimit replaces the rate limit of an endpoint incarnation and returns the one before.
// draw is a random number in [0, 1) that sets the time of the first request under a new limit.
func (t *tracker) setRateLimit(e fleet.Endpoint, limit rateLimit, draw float64) rateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statementsOf(e)
	before := s.rateLimit
	s.rateLimit = limit
	if limit.named && s.pace == (pace.Pace{}) {
		// A limit that was withdrawn meanwhile goes on where it ended.
		s.pace = pace.New(time.Now(), draw)
	}
	return before
}

// reserveRequest takes the next request that an endpoint's rate limit allows this gateway, and
// returns the time until then. It fails if that is longer than the wait that the choice was
// based on, because another request has taken that one.
func (t *tracker) reserveRequest(e fleet.Endpoint, gateways int, expected time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statementsOf(e)
	if !s.rateLimit.named {
		return 0, true
	}
	now := time.Now()
	share := pace.NewShare(s.rateLimit.perSecond, gateways)
	wait := s.pace.Wait(now, share)
	if wait > expected {
		return 0, false
	}
	s.pace = s.pace.WithRequest(now, share)
	return wait, true
}

// awaitStart waits until an endpoint's rate limit or pause allows the request. It returns false
// if the request ended meanwhile.
func (h *Handler) awaitStart(c *call, allowedAt time.Time) bool {
	wait := time.Until(allowedAt)
	if wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}
