package testbed

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilhead/platform/stub"
)

// Resumption returns the request that continues a stream of which an attempt delivered a part, and
// false if there is nothing to continue: the caller has no event, or has all of them, or the
// stream can't be resumed.
func (r Request) Resumption(res Result) (Request, bool) {
	if !r.Route.Resumable || res.Ended || res.LastEvent == 0 {
		return Request{}, false
	}
	if r.Stream == "" {
		r.Stream = res.ID
	}
	r.LastEvent, r.CancelAfter, r.Resumes, r.WrongResumes = res.LastEvent, 0, "", false
	return r, true
}

// writeResumption writes the header fields of a request that resumes a stream.
func (c *Client) writeResumption(b *strings.Builder, req Request) {
	if req.Stream == "" {
		return
	}
	fmt.Fprintf(b, "%s: %d\r\n", c.headers.lastEvent, req.LastEvent)
	name := req.Stream
	if req.WrongResumes {
		name = req.Resumes
	}
	if name != "" {
		fmt.Fprintf(b, "%s: %s\r\n", c.headers.resumes, name)
	}
}

// checkStream checks a complete stream.
func (c *Client) checkStream(req Request, res Result, resp *http.Response, body []byte) Result {
	if resp.Header.Get(c.headers.signature) != sign(res.ID, nil) {
		c.checker.AddViolation("MIXED", "stream %s has the wrong signature %q", res.ID, resp.Header.Get(c.headers.signature))
	}
	res = c.readEvents(req, res, body)
	if !res.Ended {
		c.checker.AddViolation("ORDER", "stream %s ended without its end event, after event %d", res.ID, res.LastEvent)
	}
	return res
}

// readEvents checks that the complete events of a body are those of the request, each once and
// in order, and records which version wrote them.
func (c *Client) readEvents(req Request, res Result, body []byte) Result {
	frames := strings.Split(string(body), "\n\n")
	for i, e := range frames[:len(frames)-1] {
		n := req.LastEvent + i + 1
		head, data, _ := strings.Cut(e, "\ndata: ")
		data, end := strings.CutPrefix(data, endMark)
		version, ok := c.checker.writer(res.ID, n, data)
		if head != "id: "+strconv.Itoa(n) || !ok || res.Ended {
			c.checker.AddViolation("ORDER", "stream %s: event %d is %q", res.ID, n, e)
			return res
		}
		c.checker.addEvent(req, res.ID, n, version)
		res.LastEvent, res.Ended = n, end
	}
	return res
}

// recordAttempt records an attempt of a stream for CheckResumptions. A gateway didn't decide on
// what it never read, or on what the caller gave up before an answer; a key that is not known says
// nothing of the stream.
func (c *Client) recordAttempt(req Request, res Result) {
	served := res.LastEvent > req.LastEvent || res.Ended
	if req.Route.Kind != stub.KindStream || !req.Route.Resumable || req.WrongResumes || res.Outcome == OutcomeNotSent || res.Status == http.StatusUnauthorized || res.Outcome == OutcomeCancelled && !served {
		return
	}
	c.checker.addAttempt(req, res.ID, served)
}

// softwareOf names one version of the software of a service's endpoints.
type softwareOf struct{ service, version string }

// updateServing records whether the endpoint serves all new requests: it runs, doesn't leave, asks
// for no pause and names no rate limit. The caller holds mu.
func (e *Endpoint) updateServing() {
	serves := !e.ended && !e.leaving && !time.Now().Before(e.pausedUntil) && e.rateLimit == ""
	switch {
	case serves && e.endServing == nil:
		e.endServing = e.checker.beginServing(softwareOf{e.cfg.Service, e.cfg.SoftwareVersion})
	case !serves && e.endServing != nil:
		e.endServing()
		e.endServing = nil
	}
}

// servingPeriod is a time in which an endpoint incarnation served all new requests; a zero end
// means that it still does.
type servingPeriod struct {
	softwareOf
	from, to time.Time
}

// callerStream is a caller's stream over all of its attempts.
type callerStream struct {
	// version is the software version that wrote the first event, mixed is set once another one
	// wrote a later event.
	version string
	mixed   bool
}

// streamAttempt is an attempt of a stream that a gateway read.
type streamAttempt struct {
	service, gateway string
	sentAt, endedAt  time.Time
	// resumed is the version of the stream that the attempt resumes, nil for a new stream.
	resumed *string
	// served is set if the attempt delivered an event.
	served bool
}

// beginServing records that an endpoint incarnation serves all new requests until the returned
// function is called.
func (c *Checker) beginServing(software softwareOf) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &servingPeriod{softwareOf: software, from: time.Now()}
	c.serving = append(c.serving, p)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.to = time.Now()
	}
}

// writer returns the software version that wrote the data of an event, and false if none did.
func (c *Checker) writer(id string, n int, data string) (version string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.softwareLocked() {
		if data == event(id, s.version, n) {
			return s.version, true
		}
	}
	return "", false
}

// softwareLocked returns all software that served.
func (c *Checker) softwareLocked() map[softwareOf]bool {
	out := map[softwareOf]bool{}
	for _, p := range c.serving {
		out[p.softwareOf] = true
	}
	return out
}

// addEvent records an event of a caller's stream. All events of a stream must be written by one
// version, over all of the caller's attempts.
func (c *Checker) addEvent(req Request, attempt string, n int, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := req.Stream
	if id == "" {
		id = attempt
	}
	s, ok := c.streams[id]
	if !ok {
		s = &callerStream{version: version}
		c.streams[id] = s
	}
	if version != s.version && !s.mixed {
		s.mixed = true
		c.addViolationLocked("ORDER", "stream %s: version %q wrote event %d, in attempt %s at %s, version %q the first one", id, version, n, attempt, req.Gateway, s.version)
	}
}

func (c *Checker) addAttempt(req Request, id string, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := streamAttempt{service: req.Route.Service, gateway: req.Gateway, sentAt: c.requests[id].sentAt, endedAt: time.Now(), served: served}
	if req.Stream != "" {
		if s, ok := c.streams[req.Stream]; ok {
			a.resumed = &s.version
		}
	}
	c.attempts = append(c.attempts, a)
}

const (
	// minResumptions and minResumedShare are the platform's bound: of so many resumptions of a
	// version's streams at least this part of the share of new streams that begin must go on.
	minResumptions  = 12
	minResumedShare = 0.5
	// minEndpoints is the number of endpoints of the version that must serve for the bound to hold.
	minEndpoints = 2
	// registrationNotice is the age up to which gateways may not know of an endpoint's start
	// (docs/platform.md, "Beliefs").
	registrationNotice = time.Second
)

// CheckResumptions checks that resumptions of a version's streams go on nearly as often as new
// streams begin, while two endpoints of the version serve. excused reports whether what a
// gateway needs for resumptions was lost within a period.
func (c *Checker) CheckResumptions(excused func(gateway string, from, to time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.softwareLocked() {
		var begun, started, wentOn, resumed int
		for _, a := range c.attempts {
			if a.service != k.service || !c.servesLocked(k, a.sentAt.Add(-registrationNotice), a.endedAt) || excused(a.gateway, a.sentAt, a.endedAt) {
				continue
			}
			switch {
			case a.resumed == nil:
				started++
				if a.served {
					begun++
				}
			case *a.resumed == k.version:
				resumed++
				if a.served {
					wentOn++
				}
			}
		}
		c.counts["resumptions_judged"] += resumed
		if resumed < minResumptions || started == 0 {
			continue
		}
		if share, bound := float64(wentOn)/float64(resumed), minResumedShare*float64(begun)/float64(started); share < bound {
			c.addViolationLocked("LOST", "%d of %d resumptions of streams of version %q of service %s went on, and %d of %d new streams began, while two endpoints of the version served", wentOn, resumed, k.version, k.service, begun, started)
		}
	}
}

// servesLocked reports whether at least two endpoints of a version served during a whole period.
func (c *Checker) servesLocked(software softwareOf, from, to time.Time) bool {
	n := 0
	for _, p := range c.serving {
		if p.softwareOf == software && !p.from.After(from) && (p.to.IsZero() || p.to.After(to)) {
			n++
		}
	}
	return n >= minEndpoints
}

// Resumptions returns the number of resumptions that a gateway read, and of those that went on.
func (c *Checker) Resumptions() (read, wentOn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.resumed != nil {
			read++
			if a.served {
				wentOn++
			}
		}
	}
	return read, wentOn
}
