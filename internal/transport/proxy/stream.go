package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fleet"
)

const (
	// streamBufferBytes is the size of one read; an event has some hundred bytes.
	streamBufferBytes = 4096
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// relayStream relays events as they arrive, and only complete ones, so that a resumed stream
// never joins parts of two runs in one event.
func (h *Handler) relayStream(c *call, e fleet.Endpoint, resp *http1.Response, onFirst func()) attemptResult {
	flush := http.NewResponseController(c.w)
	buf := make([]byte, streamBufferBytes)
	var pending []byte
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		complete := completeEventsLen(pending)
		c.partialEventBytes = len(pending) - complete
		if errors.Is(err, io.EOF) {
			complete = len(pending)
		}
		if complete > 0 {
			onFirst()
			now := time.Now()
			if !c.lastEventAt.IsZero() {
				c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
			}
			c.lastEventAt = now
			h.writeStreamHeader(c, resp)
			if id := lastEventID(pending[:complete]); id != "" {
				c.lastEventID = id
			}
			_, werr := c.w.Write(pending[:complete])
			if werr == nil {
				werr = flush.Flush()
			}
			if werr != nil {
				c.outcome = "client_left"
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
		if err == nil && len(pending) > maxEventBytes {
			err = errEventTooLong
		}
		if err != nil {
			if c.ctx.Err() == nil {
				h.tracker.recordResult(e, false)
			}
			return attemptFailed{mayHaveRun: true, connectionBroken: c.ctx.Err() == nil, reason: "stream_broken"}
		}
	}
}

var errEventTooLong = errors.New("the event exceeds the gateway's size limit")

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

var eventSeparator = []byte("\n\n")

// completeEventsLen returns the length in bytes of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	i := bytes.LastIndex(b, eventSeparator)
	if i < 0 {
		return 0
	}
	return i + len(eventSeparator)
}

// lastEventID returns the id of the last event in b that has one.
func lastEventID(b []byte) string {
	var id string
	for line := range bytes.SplitSeq(b, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}
