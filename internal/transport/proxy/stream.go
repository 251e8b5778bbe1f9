package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"chervilhead/internal/protocol/events"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/transport/guard"
)

const (
	// streamBufferBytes is the size of one read; an event has some hundred bytes.
	streamBufferBytes = 4096
	// maxEventBytes bounds one event, all of which is read again with each part that arrives.
	maxEventBytes = 256 << 10
)

// relayStream relays events as they arrive, and only complete ones, so that a resumed stream
// never joins parts of two runs in one event.
func (h *Handler) relayStream(c *call, e fleet.Endpoint, resp *http1.Response, onFirst func()) attemptResult {
	flush := http.NewResponseController(c.w)
	unframed := resp.Framing == http1.FramingConnection
	// A body of another type is complete if its length or chunks say so.
	endsBetweenEvents := unframed || events.IsStream(resp.Header)
	buf := make([]byte, streamBufferBytes)
	var pending []byte
	reserved := shortAnswerBytes
	anyEvent := false
	c.order = c.order.Join()
	resumed := c.order.Continues()
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		parsed := events.Parse(pending)
		order, complete := c.order.WithEvents(pending[:parsed.Complete])
		notNext := complete < parsed.Complete
		if order.Continues() {
			// What precedes the first event of a resumption may belong to an error.
			complete = 0
		}
		if complete > 0 && parsed.Any {
			anyEvent = true
			h.recordAnswer(c, time.Now())
		}
		c.order = order
		c.partialEventBytes = len(pending) - complete
		if errors.Is(err, io.EOF) {
			switch {
			case parsed.Partial && (endsBetweenEvents || order.Begun()):
				err = errCutInsideEvent
			case (unframed || resumed) && !anyEvent:
				// An endpoint that dies before its first event ends the connection just so.
				err = errNoEvent
			case !notNext:
				complete = len(pending)
			}
		}
		if notNext {
			// The endpoint's bytes from here on belong to no event of this stream.
			err = errNotNextEvent
		}
		if complete > 0 {
			onFirst()
			now := time.Now()
			if !c.lastEventAt.IsZero() {
				c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
			}
			c.lastEventAt = now
			h.tracker.recordOutlived(e, c.sentAt)
			h.recordEvent(c, e)
			h.awaitRecord(c)
			h.writeStreamHeader(c, resp)
			if id := events.Parse(pending[:complete]).LastID; id != "" {
				c.lastEventID = id
			}
			_, werr := c.w.Write(pending[:complete])
			if werr == nil {
				werr = flush.Flush()
			}
			if werr != nil {
				c.outcome = "client_left"
				h.refreshRecord(c)
				return attemptDone{}
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		if errors.Is(err, io.EOF) {
			h.writeStreamHeader(c, resp)
			addTrailer(c.w, endToEndHeader(resp.Trailer()))
			h.tracker.recordResult(e, true)
			c.outcome = outcomeAnswered
			return attemptDone{}
		}
		switch {
		case err != nil:
		case len(pending) > maxEventBytes:
			err = errEventTooLong
		case len(pending) > reserved:
			// The buffer's capacity grows to less than twice its length.
			err = guard.Reserve(c.in, int64(2*len(pending)-reserved))
			reserved = 2 * len(pending)
		}
		if err != nil {
			if c.ctx.Err() == nil {
				h.tracker.recordResult(e, false)
			}
			broken := c.ctx.Err() == nil && !errors.Is(err, errNotNextEvent) && (unframed || !errors.Is(err, errNoEvent))
			return attemptFailed{mayHaveRun: true, connectionBroken: broken, reason: "stream_broken: " + err.Error()}
		}
	}
}

var (
	errEventTooLong   = errors.New("the event exceeds the gateway's size limit")
	errCutInsideEvent = errors.New("the stream ended inside an event")
	errNoEvent        = errors.New("the answer ended before its first event")
	errNotNextEvent   = errors.New("the endpoint's bytes are not the stream's next event")
)

// writeStreamHeader sends the response header once; when another endpoint resumes the stream,
// the header of the first one stands.
func (h *Handler) writeStreamHeader(c *call, resp *http1.Response) {
	if c.responseBegun {
		return
	}
	copyHeader(c.w.Header(), endToEndHeader(resp.Header))
	if resp.ContentLength >= 0 && !c.route.Resumable {
		c.w.Header()["Content-Length"] = resp.Header["Content-Length"]
	}
	c.w.WriteHeader(resp.Status)
	c.responseBegun, c.status = true, resp.Status
}
