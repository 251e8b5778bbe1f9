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
)

// wholeAnswer is the size in bytes up to which a plain answer is read whole before it is
// passed on, so that one that breaks can be asked for again.
const wholeAnswer = 64 << 10

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	// trailer holds the fields after the body.
	trailer http.Header
}

// plain passes a plain answer on.
func (h *Handler) plain(c *call, e fleet.Endpoint, resp *http1.Response, begin func()) verdict {
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(resp, wholeAnswer))
	if err == nil && b.Len() == wholeAnswer {
		begin()
		return h.long(c, e, resp, b.Bytes())
	}
	if err != nil {
		if c.ctx.Err() == nil {
			h.track.result(e, false)
		}
		return another{ran: true, broken: c.ctx.Err() == nil, reason: "answer_broken"}
	}
	a := &answer{status: resp.Status, header: forward(resp.Header), body: b.Bytes(), trailer: forward(resp.Trailer())}
	if resp.Status >= http.StatusInternalServerError {
		h.track.result(e, false)
		return another{ran: true, reason: "failed_" + strconv.Itoa(resp.Status), answer: a}
	}
	h.track.result(e, true)
	begin()
	h.deliver(c, a, "answered")
	return finished{}
}

// deliver sends an endpoint's whole answer to the client.
func (h *Handler) deliver(c *call, a *answer, outcome string) {
	copyHeader(c.w.Header(), a.header)
	// Fields can follow only a body without a length.
	if c.in.Method != http.MethodHead && len(a.trailer) == 0 {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	addTrailer(c.w, a.trailer)
	c.w.WriteHeader(a.status)
	c.begun, c.status, c.outcome = true, a.status, outcome
	if _, err := c.w.Write(a.body); err != nil {
		c.outcome = "client_left"
	}
}

// addTrailer sends fields after the body.
func addTrailer(w http.ResponseWriter, trailer http.Header) {
	for k, v := range trailer {
		w.Header()[http.TrailerPrefix+k] = v
	}
}

// long passes on an answer that is too long to hold.
func (h *Handler) long(c *call, e fleet.Endpoint, resp *http1.Response, start []byte) verdict {
	copyHeader(c.w.Header(), forward(resp.Header))
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	c.w.WriteHeader(resp.Status)
	c.begun, c.status = true, resp.Status
	if _, err := c.w.Write(start); err != nil {
		c.outcome = "client_left"
		return finished{}
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		if c.ctx.Err() == nil {
			h.track.result(e, false)
		}
		h.abort(c, "answer_broken")
	}
	addTrailer(c.w, forward(resp.Trailer()))
	h.track.result(e, true)
	c.outcome = "answered"
	return finished{}
}

func copyHeader(dst, src http.Header) {
	maps.Copy(dst, src)
	if _, ok := src["Content-Type"]; !ok {
		// Without an entry the server would guess a type that the endpoint didn't give.
		dst["Content-Type"] = nil
	}
}

// abort breaks the client's connection, so that a part of an answer can't pass for a whole one.
func (h *Handler) abort(c *call, outcome string) {
	c.outcome = outcome
	h.note(c)
	panic(http.ErrAbortHandler)
}

// giveUp ends a request that no endpoint answered.
func (h *Handler) giveUp(c *call, last another) {
	switch {
	case c.begun:
		h.abort(c, "stream_broken:"+last.reason)
	case c.in.Context().Err() != nil:
		c.outcome = "client_left"
	case last.answer != nil:
		h.deliver(c, last.answer, last.reason)
	case c.runs == 0:
		h.refuse(c, "not_run:"+last.reason, h.comeBack(c))
	case c.ctx.Err() != nil:
		h.end(c, http.StatusGatewayTimeout, "timeout")
	default:
		h.end(c, http.StatusBadGateway, last.reason)
	}
}

// comeBackPart is the part of the time left after which a caller is asked to come back:
// clients wait up to a third of it, and what is refused for want of capacity fits only
// after the load has moved on or models have moved.
const comeBackPart = 4

// comeBack says when a request that was turned away everywhere may fit.
func (h *Handler) comeBack(c *call) time.Duration {
	left := time.Until(c.limit)
	if len(c.full) > 0 {
		return left / comeBackPart
	}
	return max(50*time.Millisecond, min(c.choice.Estimate, left/comeBackPart))
}

// refuse answers that the request has not run and when to come back.
func (h *Handler) refuse(c *call, reason string, after time.Duration) {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(max(after, 10*time.Millisecond).Seconds(), 'f', 2, 64))
	h.end(c, http.StatusServiceUnavailable, reason)
}

// end answers with a status of the gateway's own.
func (h *Handler) end(c *call, status int, outcome string) {
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
	if c.limit.IsZero() {
		h.note(c)
	}
}
