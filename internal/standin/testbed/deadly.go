package testbed

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// restartTime is how long an endpoint that crashed is away.
const restartTime = time.Second

// SetDeadlyPart makes each engine crash when it begins to write an answer on a prompt with a
// part, unless that is the prompt's last one, and start again; an empty part ends that.
func (env *Environment) SetDeadlyPart(part string) {
	for _, e := range env.EngineEndpoints {
		e.mu.Lock()
		e.deadlyPart = part
		e.mu.Unlock()
	}
}

// SetDeadlyBody makes each endpoint crash when it begins to run a request with a body, and start again.
func (env *Environment) SetDeadlyBody(body string) {
	for _, e := range slices.Concat(env.PlainEndpoints, env.EngineEndpoints) {
		e.mu.Lock()
		e.deadlyBody = body
		e.mu.Unlock()
	}
}

// crashOnBody ends the incarnation, and the request, if the request's body is deadly.
func (e *Endpoint) crashOnBody(r *http.Request, self, body string) {
	e.mu.Lock()
	deadly := body != "" && body == e.deadlyBody
	e.mu.Unlock()
	if !deadly {
		return
	}
	e.checker.addCrash()
	go e.crash(self)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// hasDeadlyPart reports whether a prompt holds a part other than as its last one.
func hasDeadlyPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	return part != "" && slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool {
		id, _, _ := strings.Cut(p, ":")
		return id == part
	})
}

// crashIfDeadly ends the incarnation, and the request, if the request's prompt is deadly.
func (e *Endpoint) crashIfDeadly(w http.ResponseWriter, r *http.Request, id, self string) {
	e.mu.Lock()
	deadly := hasDeadlyPart(r.Header.Get(e.headers.prompt), e.deadlyPart)
	e.mu.Unlock()
	if !deadly {
		return
	}
	w.Header().Set(e.headers.id, id)
	w.Header().Set(e.headers.signature, sign(id, nil))
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	e.checker.addCrash()
	go e.crash(self)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crash ends an incarnation and starts the next one, unless somebody else ends the endpoint meanwhile;
// several requests may crash it at once.
func (e *Endpoint) crash(self string) {
	e.lifecycle.Lock()
	e.mu.Lock()
	first := e.id == self && !e.crashing && !e.ended
	e.crashing = e.crashing || first
	e.mu.Unlock()
	if !first {
		e.lifecycle.Unlock()
		return
	}
	e.kill()
	kills := e.kills
	e.lifecycle.Unlock()
	time.Sleep(restartTime)
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	if e.kills == kills {
		// An error means that the environment was closed meanwhile.
		_ = e.Start()
	}
}

func (c *Checker) addCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// Crashes returns when endpoints began to crash under a deadly request or prompt part.
func (c *Checker) Crashes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.crashes)
}

// Arrived reports whether a request reached an endpoint, and when first.
func (c *Checker) Arrived(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.arrivals, func(a Arrival) bool { return a.ID == id })
	if i < 0 {
		return time.Time{}, false
	}
	return c.arrivals[i].At, true
}
