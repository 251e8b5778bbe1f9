package proxy

import (
	"time"

	"github.com/sirupsen/logrus"
)

// takeRetry takes a retry from the service's budget; it returns false if none is left.
func (h *Handler) takeRetry(c *call, service string, gateways int) bool {
	usage, ok := h.tracker.takeRetry(service, gateways)
	result := "taken"
	if !ok {
		result = "refused"
	}
	h.metrics.retries.WithLabelValues(service, result).Inc()
	h.metrics.gateways.Set(float64(gateways))
	h.log.WithFields(logrus.Fields{
		"request": c.id, "of_service": service, "result": result, "requests": usage.Requests, "retries": usage.Retries,
		"allowed": usage.Allowed, "slack": usage.Slack, "gateways": gateways, "up_ms": time.Since(h.tracker.start).Milliseconds(),
	}).Info("a retry was asked of the budget")
	return ok
}
