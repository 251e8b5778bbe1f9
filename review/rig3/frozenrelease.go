package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

// stream is a client's stream, over one answer or two.
type stream struct {
	id     string
	events []event
	// ended is set once the last event has come.
	ended bool
	// resumedAt is set once the client has taken the stream up again, and goesOn if that was answered
	// with a further event.
	resumedAt time.Time
	goesOn    bool
	statuses  []string
	// first is the address that the client was sent to first.
	first string
}

// event is one event as the client got it.
type event struct {
	id      int
	version string
}

const (
	lastEvent = 30
	// judgedStreams is the number of streams taken up from which the rule judges.
	judgedStreams = 12
)

var errTooFewStreams = errors.New("too few streams for the rule")

// serveStream writes events that name the software version of the runner.
func serveStream(pause time.Duration) func(*runner, http.ResponseWriter, *http.Request, []byte) {
	return func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		rw.Header().Set("Content-Type", "text/event-stream")
		for n := from + 1; n <= lastEvent; n++ {
			stub.Sleep(req.Context(), pause)
			if req.Context().Err() != nil {
				return
			}
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, version)
			_ = http.NewResponseController(rw).Flush()
			r.made(req.Header.Get(headerPrefix + "Request-Id"))
		}
	}
}

// readStream opens a stream, or takes it up again, and reads events until it ends or breaks, or none has
// come for a gap, or leave is closed. It returns the status and the Retry-After of the answer.
func (w *world) readStream(p *proc, s *stream, gap, deadline time.Duration, leave <-chan struct{}) (status int, after time.Duration) {
	id := fmt.Sprintf("r%06d", lastRequest.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	go func() {
		select {
		case <-leave:
			cancel()
		case <-ctx.Done():
		}
	}()
	idle := time.AfterFunc(gap, cancel)
	defer idle.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front+"/lot/1", strings.NewReader("lot of "+s.id+id))
	if err != nil {
		return 0, 0
	}
	req.Host = routeHost
	for k, v := range map[string]string{"Request-Id": id, "Model": "m0", "Token-Count": "826,290", "Prompt-Prefix": "5c1e07a2:198," + id[1:] + ":628", "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)} {
		req.Header.Set(headerPrefix+k, v)
	}
	if n := len(s.events); n > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.events[n-1].id))
		req.Header.Set("Resumes", s.id)
	} else {
		s.id, s.first = id, p.name
	}
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: d.DialContext}
	resp, err := t.RoundTrip(req)
	if err != nil {
		w.note("client", "%s at %s: %v", id, p.name, err)
		return 0, 0
	}
	defer resp.Body.Close()
	secs, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	sc := bufio.NewScanner(resp.Body)
	if resp.StatusCode != http.StatusOK {
		sc.Scan()
		w.note("client", "%s at %s, takes up %q: status %d, %s", id, p.name, s.id, resp.StatusCode, sc.Text())
		return resp.StatusCode, time.Duration(secs * float64(time.Second))
	}
	next := 0
	for sc.Scan() {
		line := sc.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			next, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			s.events = append(s.events, event{next, v})
			s.ended = next == lastEvent
			idle.Reset(gap)
		}
	}
	return resp.StatusCode, 0
}

// frozenRelease plays LOST: a gateway stands still while a release of the model runners begins, and its
// clients take their streams up again at other gateways.
func frozenRelease(w *world) (broken bool, err error) {
	const (
		gateways, old = 3, 8
		streams       = 24
		// gap is the longest of two seconds, four times the objective and eight times the pause.
		gap      = 4 * time.Second
		deadline = 15 * time.Second
		freeze   = 6 * time.Second
	)
	spec := &stub.Engine{Slots: 64, CacheTokens: 231_707, WeightsMB: 220_000, AdapterSlots: 5, LoadsPerS: 2.1, Models: []stub.Model{{Name: "m0", WeightsMB: 65_100, AdapterMB: 40, LoadS: 5, WarmS: 0.38, DiskS: 1}}}
	w.configure(func(c *stub.Config) {
		c.Limits = stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000}
		c.Services = []stub.Service{{Name: "redac", HealthPath: "/healthz", MaxConns: 360, Engine: spec}}
		c.Routes = []stub.Route{{Name: "lot-check", Host: routeHost, Prefix: "/lot/", Kind: stub.KindStream, TimeoutMS: 15000, ObjectiveMS: 500, GapObjectiveMS: 500, Service: "redac", MaxAttempts: 2, Resumable: true}}
	})
	addSide := func(version string) error {
		r, err := w.addVersion("redac", version, newEngine(spec, "m0"), serveStream(250*time.Millisecond))
		if err == nil {
			_, err = w.addKeeper(r)
		}
		return err
	}
	for range old {
		if err := addSide("v1"); err != nil {
			return false, err
		}
	}
	var fronts []*proc
	for range gateways {
		g, err := w.addGateway()
		if err != nil {
			return false, err
		}
		fronts = append(fronts, g)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// A service counts as settled once its versions have been known for half a minute.
	time.Sleep(33 * time.Second)

	var clients sync.WaitGroup
	leave := make(chan struct{})
	list := make([]*stream, streams)
	for i := range list {
		list[i] = &stream{}
		clients.Go(func() {
			s := list[i]
			w.readStream(fronts[0], s, gap, deadline, leave)
			if s.ended || len(s.events) == 0 {
				return
			}
			s.resumedAt = time.Now()
			before := len(s.events)
			for try := range 2 {
				status, after := w.readStream(fronts[1+(i+try)%2], s, gap, deadline/2, nil)
				s.statuses = append(s.statuses, strconv.Itoa(status))
				if s.goesOn = len(s.events) > before; s.goesOn || status != http.StatusServiceUnavailable {
					return
				}
				time.Sleep(after)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	frozen := time.Now()
	if w.trouble {
		fronts[0].signal(syscall.SIGSTOP, false)
	} else {
		time.AfterFunc(gap, func() { close(leave) })
	}
	time.Sleep(1500 * time.Millisecond)
	if err := addSide("v2"); err != nil {
		return false, err
	}
	w.note("release", "the first runner of v2 is registered, %.1f s after the freeze", time.Since(frozen).Seconds())
	// New streams begin at the gateways that run.
	var begun, asked int
	for i := 0; time.Since(frozen) < freeze; i++ {
		s := &stream{}
		stop := make(chan struct{})
		time.AfterFunc(400*time.Millisecond, func() { close(stop) })
		w.readStream(fronts[1+i%2], s, gap, deadline, stop)
		if asked++; len(s.events) > 0 {
			begun++
		}
	}
	if w.trouble {
		fronts[0].signal(syscall.SIGCONT, false)
	}
	clients.Wait()
	taken, on := 0, 0
	for _, s := range list {
		if s.resumedAt.IsZero() {
			continue
		}
		if taken++; s.goesOn {
			on++
		}
		versions := map[string]bool{}
		for _, e := range s.events {
			versions[e.version] = true
		}
		w.note("stream", "%s begun at %s: %d events of %d versions, taken up %.2f s after the freeze, goes on %v, statuses %v", s.id, s.first, len(s.events), len(versions), s.resumedAt.Sub(frozen).Seconds(), s.goesOn, s.statuses)
	}
	w.note("check", "%d streams taken up at gateways in touch, %d go on; %d of %d new streams began", taken, on, begun, asked)
	if taken < judgedStreams || asked == 0 {
		return false, fmt.Errorf("%w: %d taken up, %d begun anew", errTooFewStreams, taken, asked)
	}
	return float64(on)/float64(taken) < float64(begun)/float64(asked)/2, nil
}
