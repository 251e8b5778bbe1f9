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

// eventsOf returns the length of the streams of a model or an adapter.
func eventsOf(model string) int {
	if strings.Contains(model, "/") {
		return int(shortStream / streamPause)
	}
	return streamEvents
}

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
	events := eventsOf(in.Header.Get(headerModel))
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
}

// stream sends a request for a stream and reads its events.
func (c *client) stream(g *proc, name string) stream {
	return c.streamOf(g, modelName, name, streamDeadline)
}

// streamOf sends a request for a stream of a model or adapter and reads its events.
func (c *client) streamOf(g *proc, model, name string, deadline time.Duration) stream {
	s := stream{id: fmt.Sprintf("%08x-%d", rand.Uint32(), requests.Add(1))}
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
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	c.f.rec.add("%s sent to %s: stream %s", s.id, g.name, name)
	defer func() {
		c.f.rec.add("%s answered: status %d, %d events of versions %v from %v, complete: %v", s.id, s.status, s.events, s.versions, s.runners, s.complete)
	}()
	_, err := fmt.Fprintf(c.conn, "POST /chat/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Chervilhead-Model: %s\r\nX-Chervilhead-Token-Count: 900,%d\r\nX-Chervilhead-Prompt-Prefix: aa:200,%x:700\r\nContent-Length: %d\r\n\r\n%s",
		name, routeHost, headerID, s.id, headerDeadline, deadline.Milliseconds(), model, tokensPerEvent*eventsOf(model), requests.Load(), len(name), name)
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
	lines := bufio.NewScanner(resp.Body)
	ended := false
	for lines.Scan() {
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
	s.complete = lines.Err() == nil && ended && s.events == streamEvents
	if lines.Err() != nil || resp.Close {
		c.drop()
	}
	return s
}
