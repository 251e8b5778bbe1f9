package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

const (
	// A notice has the sheet's events; the pauses are those of an engine that has cached most of the prompt.
	noticeEvents = 10
	firstPause   = 40 * time.Millisecond
	eventPause   = 22 * time.Millisecond
	// The dose of `garble` without a length in the site file: half of the runners break off 5 in 100 answers
	// for 5 s. It comes again after a pause.
	garbleShare = 0.05
	garbleTime  = 5 * time.Second
	garblePause = time.Second
	// The dose of `herd_kill` in the site files: half of the machines lose power for 2 s. It comes again after a
	// pause.
	lostTime  = 2 * time.Second
	lostPause = 3 * time.Second
	// takeUpPause is how long a client waits before it takes up a stream that broke.
	takeUpPause = time.Second
	// mixedAllowed is the rule's bound.
	mixedAllowed = 2
)

// notice is a client's stream over all of its answers.
type notice struct {
	id       string
	versions []string
	ended    bool
	takenUp  int
	trail    []string
}

// serveNotice writes events that name the software version of the runner; while garbles says so, it breaks
// off some of them.
func serveNotice(garbles func() bool) func(*runner, http.ResponseWriter, *http.Request, []byte) {
	return func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
		from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		breakAt := 0
		if garbles() && rand.Float64() < garbleShare {
			breakAt = from + 1 + rand.IntN(noticeEvents-from)
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		if breakAt > 0 {
			// Without a length the answer ends with its channel.
			rw.Header().Set("Transfer-Encoding", "identity")
		}
		for n := from + 1; n <= noticeEvents; n++ {
			pause := eventPause
			if n == from+1 {
				pause = firstPause
			}
			stub.Sleep(req.Context(), pause)
			if req.Context().Err() != nil {
				return
			}
			if n == breakAt {
				r.w.note("garble", "%s breaks off %s inside event %d", r.address, req.Header.Get(headerPrefix+"Request-Id"), n)
				fmt.Fprintf(rw, "id: %d\nda", n)
				return
			}
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, r.version)
			_ = http.NewResponseController(rw).Flush()
			r.made(req.Header.Get(headerPrefix + "Request-Id"))
		}
	}
}

// readNotice sends one attempt of a notice and reads its events, or those up to one at which the client's
// channel breaks (0 for none). It returns the status and the Retry-After of the answer.
func (w *world) readNotice(p *proc, s *notice, deadline time.Duration, breakAt int) (status int, after time.Duration) {
	id := fmt.Sprintf("r%06d", lastRequest.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front+"/lot/1", strings.NewReader("lot of "+id))
	if err != nil {
		return 0, 0
	}
	req.Host = routeHost
	for k, v := range map[string]string{"Request-Id": id, "Model": "m0", "Token-Count": "826,45", "Prompt-Prefix": "5c1e07a2:198," + id[1:] + ":628", "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)} {
		req.Header.Set(headerPrefix+k, v)
	}
	if n := len(s.versions); n > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(n))
		req.Header.Set("Resumes", s.id)
	} else {
		s.id = id
	}
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: d.DialContext}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	if resp.StatusCode != http.StatusOK {
		secs, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		sc.Scan()
		s.trail = append(s.trail, fmt.Sprintf("%s at %s: %d %s", id, p.name, resp.StatusCode, sc.Text()))
		return resp.StatusCode, time.Duration(secs * float64(time.Second))
	}
	before := len(s.versions)
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
			s.versions = append(s.versions, v)
			if s.ended = len(s.versions) == noticeEvents; len(s.versions) == breakAt {
				break
			}
		}
	}
	s.trail = append(s.trail, fmt.Sprintf("%s at %s: events %d to %d of %v", id, p.name, before+1, len(s.versions), s.versions[before:]))
	return resp.StatusCode, 0
}

// doubtfulVersion plays ORDER: runners of two software versions serve side by side, all of them full. Half of
// them break off a few of their answers, and half of the machines are lost for a while, now and then. Clients
// take their streams up again.
func doubtfulVersion(w *world) (broken bool, err error) {
	const (
		gateways              = 2
		runners, old, garbled = 4, 2, 2
		slots, queue          = 64, 4
		clients               = 300
		length                = 80 * time.Second
		deadline              = 6 * time.Second
		// The sheet's clients retry once.
		tries = 2
	)
	spec := &stub.Engine{Slots: slots, CacheTokens: 231_707, WeightsMB: 220_000, AdapterSlots: 5, LoadsPerS: 2.1, Models: []stub.Model{{Name: "m0", WeightsMB: 65_100, AdapterMB: 40, LoadS: 5, WarmS: 0.38, DiskS: 1}}}
	w.configure(func(c *stub.Config) {
		c.Limits = stub.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeoutMS: 5000, IdleTimeoutMS: 30_000}
		c.Services = []stub.Service{{Name: "redac", HealthPath: "/healthz", MaxConns: 360, Engine: spec}}
		c.Routes = []stub.Route{{Name: "lot-check", Host: routeHost, Prefix: "/lot/", Kind: stub.KindStream, TimeoutMS: 6000, ObjectiveMS: 600, GapObjectiveMS: 400, Service: "redac", MaxAttempts: 3, Resumable: true}}
	})
	var garbling atomic.Bool
	never := func() bool { return false }
	// lost are half of the machines: all of this class but one.
	var lost []*proc
	for i := range runners {
		version, garbles := "v2", never
		if i < old {
			version = "v1"
		} else if i >= runners-garbled {
			garbles = garbling.Load
		}
		r, err := w.addVersion("redac", version, newEngine(spec, "m0"), serveNotice(garbles))
		if err != nil {
			return false, err
		}
		r.queue = queue
		k, err := w.addKeeper(r)
		if err != nil {
			return false, err
		}
		if i > 0 {
			lost = append(lost, k)
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
	time.Sleep(3 * time.Second)

	end := time.Now().Add(length)
	go func() {
		for w.trouble && time.Now().Before(end) {
			garbling.Store(true)
			time.Sleep(garbleTime)
			garbling.Store(false)
			time.Sleep(garblePause)
		}
	}()
	go func() {
		for w.trouble && time.Now().Add(lostPause+lostTime).Before(end) {
			time.Sleep(lostPause)
			for _, p := range lost {
				p.signal(syscall.SIGKILL, true)
			}
			time.Sleep(lostTime)
			for _, p := range lost {
				if err := p.start(); err != nil {
					w.note("process", "%s: %v", p.name, err)
				}
			}
		}
	}()
	var mu sync.Mutex
	var begun, takenUp, goOn, mixed int
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for time.Now().Before(end) {
				s := &notice{}
				by := time.Now().Add(deadline)
				breakAt := 0
				if !w.trouble && rand.Float64() < garbleShare {
					// The client's own channel breaks instead.
					breakAt = 1 + rand.IntN(noticeEvents-1)
				}
				for try := 0; try < tries && !s.ended && time.Until(by) > 0; try++ {
					had := len(s.versions)
					status, after := w.readNotice(fronts[rand.IntN(gateways)], s, time.Until(by), breakAt)
					if had > 0 && status == http.StatusOK && len(s.versions) > had {
						s.takenUp++
					}
					breakAt = 0
					if status == http.StatusOK && !s.ended {
						after = takeUpPause
					}
					time.Sleep(min(after, time.Until(by)/3))
				}
				versions := map[string]bool{}
				for _, v := range s.versions {
					versions[v] = true
				}
				mu.Lock()
				if len(s.versions) > 0 {
					begun++
				}
				if len(s.trail) > 1 && len(s.versions) > 0 {
					takenUp++
				}
				if s.takenUp > 0 {
					goOn++
				}
				if len(versions) > 1 {
					mixed++
					w.note("mixed", "%s: %s", s.id, strings.Join(s.trail, "; "))
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	away := 0
	for _, r := range w.runners {
		away += r.turnedAway()
	}
	w.note("check", "%d streams begun, %d in several attempts, %d went on after a break, %d hold events of two versions; runners turned %d requests away", begun, takenUp, goOn, mixed, away)
	if goOn < judgedStreams {
		return false, fmt.Errorf("%w: %d taken up", errTooFewStreams, goOn)
	}
	return mixed > mixedAllowed, nil
}
