package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The software versions of engines.
const (
	oldVersion = "1"
	newVersion = "2"
)

const (
	// streamDeadline is how long a client waits for a stream.
	streamDeadline = 12 * time.Second
	// shortStream is the time of a stream of an adapter.
	shortStream = time.Second
	// tokensPerEvent is the number of tokens that an event holds.
	tokensPerEvent = 5
)

// serveStream sends the events of a run that follow the last one that the caller has.
func (r *runner) serveStream(w http.ResponseWriter, in *http.Request, instance, version, reqID string) {
	from := 0
	if last := in.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		from = n
	}
	w.Header().Set(headerSeal, seal(reqID, nil))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	events, err := strconv.Atoi(in.URL.Query().Get("events"))
	if err != nil {
		events = streamEvents
	}
	for n := from + 1; n <= events; n++ {
		t := time.NewTimer(streamPause)
		select {
		case <-t.C:
		case <-in.Context().Done():
			t.Stop()
			panic(http.ErrAbortHandler)
		}
		last := ""
		if n == events {
			last = " end"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s%s\n\n", n, version, instance, last); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
}

// stream is what a caller got of a stream in one answer.
type stream struct {
	id                string
	status            int
	versions, runners []string
	events            int
	complete          bool
	sentAt            time.Time
	// last is the last event that the caller has.
	last       int
	retryAfter time.Duration
}

// streamRequest is a request for a stream.
type streamRequest struct {
	model, name string
	deadline    time.Duration
	// events is the length of the stream.
	events int
	// resumes is the id of the attempt that got the first event, and lastEvent the last event that the
	// caller has, if the request takes a stream up again.
	resumes   string
	lastEvent int
}

// newStream returns the request for a new stream of a model or an adapter, or of the plain service if it
// names none.
func newStream(model, name string, deadline time.Duration) streamRequest {
	events := streamEvents
	if strings.Contains(model, "/") {
		events = int(shortStream / streamPause)
	}
	return streamRequest{model: model, name: name, deadline: deadline, events: events}
}

// stream sends a request for a stream and reads its events.
func (c *client) stream(g *proc, q streamRequest) stream {
	s := stream{id: fmt.Sprintf("%08x-%d", rand.Uint32(), requests.Add(1)), sentAt: time.Now(), last: q.lastEvent}
	if c.conn != nil && c.conn.RemoteAddr().String() != g.callers {
		c.drop()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", g.callers, time.Second)
		if err != nil {
			return s
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	conn := c.conn
	c.open.Store(&conn)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	c.f.rec.add("%s sent to %s: stream %s after event %d of %q", s.id, g.name, q.name, q.lastEvent, q.resumes)
	defer func() {
		c.f.rec.add("%s answered: status %d, %d events of versions %v from %v, complete: %v", s.id, s.status, s.events, s.versions, s.runners, s.complete)
	}()
	resumption := ""
	if q.resumes != "" {
		resumption = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", q.resumes, q.lastEvent)
	}
	prefix, model := "talk", ""
	if q.model != "" {
		prefix = "chat"
		model = fmt.Sprintf("%s: %s\r\nX-Chervilhead-Token-Count: 900,%d\r\nX-Chervilhead-Prompt-Prefix: aa:200,%x:700\r\n", headerModel, q.model, tokensPerEvent*q.events, requests.Load())
	}
	_, err := fmt.Fprintf(c.conn, "POST /%s/%s?events=%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s%sContent-Length: %d\r\n\r\n%s",
		prefix, q.name, q.events, routeHost, headerID, s.id, headerDeadline, q.deadline.Milliseconds(), resumption, model, len(q.name), q.name)
	if err != nil {
		c.drop()
		return s
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.drop()
		return s
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	s.retryAfter, _ = time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	lines := bufio.NewScanner(resp.Body)
	ended := false
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(id)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		fields := strings.Fields(data)
		if len(fields) < 2 {
			continue
		}
		s.events++
		ended = len(fields) > 2
		if !slices.Contains(s.versions, fields[0]) {
			s.versions = append(s.versions, fields[0])
		}
		if !slices.Contains(s.runners, fields[1]) {
			s.runners = append(s.runners, fields[1])
		}
	}
	s.complete = lines.Err() == nil && ended && s.last == q.events
	if lines.Err() != nil || resp.Close {
		c.drop()
	}
	return s
}
