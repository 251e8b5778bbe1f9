package proxy

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/transport/guard"
	"chervilhead/internal/transport/httpd"
)

// maxBufferedBytes is the size up to which a plain response is buffered before it is
// relayed, so that the request can be retried if the response breaks.
const maxBufferedBytes = 64 << 10

// bufferedResponse is an endpoint's complete response.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
}

// relayPlain relays a response that is not a stream.
func (h *Handler) relayPlain(c *call, e fleet.Endpoint, resp *http1.Response, onFirst func()) attemptResult {
	if !h.reserveAnswer(c, resp) {
		if resp.Status >= http.StatusInternalServerError {
			h.tracker.recordResult(e, false)
			return attemptFailed{mayHaveRun: true, reason: "failed_" + strconv.Itoa(resp.Status)}
		}
		// Nothing is buffered, so that the request can't be retried if the answer breaks.
		onFirst()
		return h.relayLong(c, e, resp, nil)
	}
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(resp, maxBufferedBytes))
	if err == nil && b.Len() == maxBufferedBytes {
		onFirst()
		if resp.Status < http.StatusMultipleChoices {
			h.recordAnswer(c, time.Now())
		}
		return h.relayLong(c, e, resp, b.Bytes())
	}
	if err != nil {
		if c.ctx.Err() == nil {
			h.tracker.recordResult(e, false)
		}
		return attemptFailed{mayHaveRun: true, connectionBroken: c.ctx.Err() == nil, reason: "answer_broken"}
	}
	a := &bufferedResponse{status: resp.Status, header: endToEndHeader(resp.Header), body: b.Bytes(), trailer: endToEndHeader(resp.Trailer())}
	if resp.Status >= http.StatusInternalServerError {
		h.tracker.recordResult(e, false)
		return attemptFailed{mayHaveRun: true, reason: "failed_" + strconv.Itoa(resp.Status), response: a}
	}
	h.tracker.recordResult(e, true)
	if resp.Status < http.StatusMultipleChoices {
		h.recordAnswer(c, time.Now())
	}
	onFirst()
	h.writeResponse(c, a, outcomeAnswered)
	return attemptDone{}
}

const (
	// shortAnswerBytes is the length up to which an answer fits into what a request counts for.
	shortAnswerBytes = 8 << 10
	// relayBytes is what a long answer takes beside the buffered part: the buffer through which it
	// is copied and what its endpoint sends ahead.
	relayBytes = 96 << 10
)

// reserveAnswer counts the memory that a plain answer takes before it is read, and reports whether
// there is enough to buffer it.
func (h *Handler) reserveAnswer(c *call, resp *http1.Response) bool {
	switch n := resp.ContentLength; {
	case n >= 0 && n <= shortAnswerBytes:
		return true
	case n >= 0 && n < maxBufferedBytes:
		return guard.Reserve(c.in, n) == nil
	default:
		return guard.Reserve(c.in, maxBufferedBytes+relayBytes) == nil
	}
}

// writeResponse sends an endpoint's complete response to the client.
func (h *Handler) writeResponse(c *call, a *bufferedResponse, outcome string) {
	copyHeader(c.w.Header(), a.header)
	// A trailer can follow only a body without a Content-Length.
	if c.in.Method != http.MethodHead && len(a.trailer) == 0 {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	addTrailer(c.w, a.trailer)
	c.w.WriteHeader(a.status)
	c.responseBegun, c.status, c.outcome = true, a.status, outcome
	if _, err := c.w.Write(a.body); err != nil {
		c.outcome = "client_left"
	}
}

// addTrailer sets the trailer that is sent after the body.
func addTrailer(w http.ResponseWriter, trailer http.Header) {
	for k, v := range trailer {
		w.Header()[http.TrailerPrefix+k] = v
	}
}

// relayLong relays a response that is too long to buffer; start is what was read of it.
func (h *Handler) relayLong(c *call, e fleet.Endpoint, resp *http1.Response, start []byte) attemptResult {
	copyHeader(c.w.Header(), endToEndHeader(resp.Header))
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.w.WriteHeader(resp.Status)
	c.responseBegun, c.status = true, resp.Status
	if _, err := c.w.Write(start); err != nil {
		c.outcome = "client_left"
		return attemptDone{}
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		if c.ctx.Err() == nil {
			h.tracker.recordResult(e, false)
		}
		h.abort(c, "answer_broken")
	}
	addTrailer(c.w, endToEndHeader(resp.Trailer()))
	h.tracker.recordResult(e, true)
	c.outcome = outcomeAnswered
	return attemptDone{}
}

func copyHeader(dst, src http.Header) {
	maps.Copy(dst, src)
	if _, ok := src["Content-Type"]; !ok {
		// Without an entry net/http would sniff a type that the endpoint didn't set.
		dst["Content-Type"] = nil
	}
}

// abort breaks the client's connection, so that a partial response can't pass for a complete one.
func (h *Handler) abort(c *call, outcome string) {
	c.outcome = outcome
	h.recordOutcome(c)
	httpd.AbortResponse(c.w, c.in)
}

// giveUp ends a request that no endpoint has completed.
func (h *Handler) giveUp(c *call, last attemptFailed) {
	switch {
	case c.responseBegun:
		h.refreshRecord(c)
		h.abort(c, "stream_broken:"+last.reason)
	case c.in.Context().Err() != nil:
		c.outcome = "client_left"
	case last.response != nil:
		h.writeResponse(c, last.response, last.reason)
	case c.possibleRuns == 0:
		h.reject(c, "not_run:"+last.reason, h.retryAfter(c))
	case c.ctx.Err() != nil:
		h.respond(c, http.StatusGatewayTimeout, "timeout")
	default:
		h.respond(c, http.StatusBadGateway, last.reason)
	}
}

// retryAfterDivisor divides the time to the deadline to give the longest Retry-After. A quarter
// is below the third of that time that clients wait at most, and is long because a request
// rejected for lack of capacity fits only after the load or the models have moved.
const retryAfterDivisor = 4

// retryAfter returns when a request that every endpoint rejected may fit.
func (h *Handler) retryAfter(c *call) time.Duration {
	left := time.Until(c.deadline)
	if pause := h.pauseLeft(c); pause > 0 {
		return h.returnAfter(pause)
	}
	if len(c.noAdapterSlot) > 0 {
		return left / retryAfterDivisor
	}
	return max(50*time.Millisecond, min(c.choice.Estimate, left/retryAfterDivisor))
}

// reject answers 503 with a Retry-After: the request has not run.
func (h *Handler) reject(c *call, reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", guard.FormatRetryAfter(max(after, 10*time.Millisecond)))
	h.respond(c, http.StatusServiceUnavailable, reason)
}

// respond sends a response of the gateway's own, with the outcome as its body.
func (h *Handler) respond(c *call, status int, outcome string) {
	c.status, c.outcome = status, outcome
	hd := c.w.Header()
	hd.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		hd.Set(h.cfg.Headers.RequestID, c.id)
	}
	body := outcome + "\n"
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	if _, err := io.WriteString(c.w, body); err != nil {
		c.outcome += ",client_left"
	}
	if c.deadline.IsZero() {
		h.recordOutcome(c)
	}
}
