package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/fleet"
)

const (
	// streamBuffer is the size of a read in bytes; an event is some hundred bytes.
	streamBuffer = 4096
	// maxEvent bounds an event in bytes.
	maxEvent = 1 << 20
)

// stream passes events on as they arrive, only whole ones, so that the events of two
// runs are never joined within one.
func (h *Handler) stream(c *call, e fleet.Endpoint, resp *http1.Response, begin func()) verdict {
	flush := http.NewResponseController(c.w)
	buf := make([]byte, streamBuffer)
	var pending []byte
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		whole := eventsEnd(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 {
			begin()
			h.begin(c, resp)
			if id := lastEventID(pending[:whole]); id != "" {
				c.lastID = id
			}
			_, werr := c.w.Write(pending[:whole])
			if werr == nil {
				werr = flush.Flush()
			}
			if werr != nil {
				c.outcome = "client_left"
				return finished{}
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			h.begin(c, resp)
			addTrailer(c.w, forward(resp.Trailer()))
			h.track.result(e, true)
			c.outcome = "answered"
			return finished{}
		}
		if err == nil && len(pending) > maxEvent {
			err = errLongEvent
		}
		if err != nil {
			if c.ctx.Err() == nil {
				h.track.result(e, false)
			}
			return another{ran: true, broken: c.ctx.Err() == nil, reason: "stream_broken"}
		}
	}
}

var errLongEvent = errors.New("an event is longer than the gateway passes on")

// begin sends the answer's header; the header of the first endpoint stays when another
// one goes on with the stream.
func (h *Handler) begin(c *call, resp *http1.Response) {
	if c.begun {
		return
	}
	copyHeader(c.w.Header(), forward(resp.Header))
	if resp.ContentLength >= 0 && !c.route.Resumable {
		c.w.Header()["Content-Length"] = resp.Header["Content-Length"]
	}
	c.w.WriteHeader(resp.Status)
	c.begun, c.status = true, resp.Status
}

var eventEnd = []byte("\n\n")

// eventsEnd returns the length of the whole events at the start of b.
func eventsEnd(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
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
