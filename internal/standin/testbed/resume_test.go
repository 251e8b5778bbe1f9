package testbed

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"chervilhead/platform/stub"
)

// expectViolation checks that exactly one violation was reported, by the rule.
func expectViolation(t *testing.T, c *Checker, rule string) {
	t.Helper()
	if got := c.Violations(); len(got) != 1 || !strings.HasPrefix(got[0], rule+": ") {
		t.Errorf("expected one violation of %s, got %q", rule, got)
	}
}

func newEnvironment(t *testing.T, cfg Settings) *Environment {
	t.Helper()
	cfg.HeartbeatInterval, cfg.EventInterval = 50*time.Millisecond, 5*time.Millisecond
	env, err := New(cfg)
	if err != nil {
		t.Skipf("the test needs loopback addresses other than 127.0.0.1: %v", err)
	}
	t.Cleanup(env.Close)
	return env
}

// TestMixedVersionsReported guards against a check of ORDER that misses a stream which a caller
// resumed, in its second resumption, at another version, or that reports one that stays.
func TestMixedVersionsReported(t *testing.T) {
	for name, versions := range map[string][]string{"mixed": {"1.4", "1.5"}, "kept": {"1.4"}} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t, Settings{EngineEndpoints: 2, StreamEvents: 100, SoftwareVersions: versions})
			c := NewClient(env.Checker)
			defer c.Close()
			req := Request{Gateway: env.EngineEndpoints[0].RegisteredAddress(), Route: env.Route("chat"), Model: Models[1], Deadline: 3 * time.Second, CancelAfter: 100 * time.Millisecond}
			for attempt, endpoint := range []int{0, 1} {
				res := c.Do(req)
				next, ok := req.Resumption(res)
				if res.Outcome != OutcomeCancelled || !ok || next.LastEvent <= req.LastEvent {
					t.Fatalf("attempt %d: %v %s, %d events", attempt, res.Outcome, res.Detail, res.LastEvent)
				}
				req = next
				req.Gateway = env.EngineEndpoints[endpoint].RegisteredAddress()
				if attempt == 0 {
					req.CancelAfter = 100 * time.Millisecond
				}
			}
			if res := c.Do(req); res.Outcome != OutcomeServed || !res.Ended {
				t.Fatalf("the last resumption: %v %s", res.Outcome, res.Detail)
			}
			if read, wentOn := env.Checker.Resumptions(); read != 2 || wentOn != 2 {
				t.Errorf("%d of %d resumptions went on", wentOn, read)
			}
			if name == "mixed" {
				expectViolation(t, env.Checker, "ORDER")
			} else if v := env.Checker.Violations(); len(v) > 0 {
				t.Errorf("got %q", v)
			}
		})
	}
}

// TestLostResumptionsReported guards against a check of LOST that passes a gateway which rejects
// resumptions, or that fails one which rejects new streams as often or has one endpoint left.
func TestLostResumptionsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		// begun of 24 new streams, wentOn of resumed resumptions, endpoints of the version.
		begun, wentOn, resumed, endpoints int
		want                              bool
	}{
		"half_as_often":         {24, 6, 12, 2, false},
		"below_half":            {24, 5, 12, 2, true},
		"all_rejected":          {24, 0, 40, 2, true},
		"new_ones_rejected_too": {10, 4, 12, 2, false},
		"too_few":               {24, 0, 11, 2, false},
		"one_endpoint":          {24, 0, 40, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewChecker()
			for range tc.endpoints {
				c.beginServing(softwareOf{modelService, "1.4"})
				c.serving[len(c.serving)-1].from = time.Now().Add(-time.Minute)
			}
			c.beginServing(softwareOf{modelService, "1.5"})
			route := stub.Route{Service: modelService}
			attempt := func(req Request, id string, served bool) {
				c.addRequest(id, &sentRequest{})
				c.addAttempt(req, id, served)
			}
			for n := range 24 {
				attempt(Request{Route: route}, "new", n < tc.begun)
			}
			c.addEvent(Request{}, "first", 1, "1.4")
			for n := range tc.resumed {
				attempt(Request{Route: route, Stream: "first", LastEvent: 1}, "again", n < tc.wentOn)
			}
			c.CheckResumptions(noExcuse)
			if tc.want {
				expectViolation(t, c, "LOST")
			} else if v := c.Violations(); len(v) > 0 {
				t.Errorf("got %q", v)
			}
		})
	}
}

// TestEndpointReturnsUnderItsID guards against a stand-in that removes the registration of an
// incarnation that uses the id of one that was killed before.
func TestEndpointReturnsUnderItsID(t *testing.T) {
	env := newEnvironment(t, Settings{EngineEndpoints: 1, SoftwareVersions: []string{"1.4"}})
	e := env.EngineEndpoints[0]
	id := e.ID()
	e.Kill()
	e.SetNextVersion("1.5", true)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	if e.ID() != id || e.SoftwareVersion() != "1.5" {
		t.Errorf("the endpoint returned as %s with version %s", e.ID(), e.SoftwareVersion())
	}
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := env.Store.Registrations(); !slices.Contains(got, id) {
			t.Fatalf("registered are %q", got)
		}
	}
}

// TestServing guards against a check of LOST that counts an endpoint which turns requests away as
// one that serves: the resumptions of its version fail then, and new streams go elsewhere.
func TestServing(t *testing.T) {
	software := softwareOf{modelService, "1.4"}
	for name, harm := range map[string]func(*Endpoint){
		"paused":  func(e *Endpoint) { e.Pause(time.Minute) },
		"limited": func(e *Endpoint) { e.LimitRate(1) },
		"leaving": func(e *Endpoint) { e.setLeaving() },
		"dead":    func(e *Endpoint) { e.Kill() },
		"rolled_out": func(e *Endpoint) {
			e.Kill()
			e.SetNextVersion("1.5", false)
			if err := e.Start(); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newEnvironment(t, Settings{EngineEndpoints: 2, SoftwareVersions: []string{"1.4"}})
			serves := func() bool {
				env.Checker.mu.Lock()
				defer env.Checker.mu.Unlock()
				now := time.Now()
				return env.Checker.servesLocked(software, now, now)
			}
			if !serves() {
				t.Error("two endpoints don't serve after their start")
			}
			harm(env.EngineEndpoints[0])
			if serves() {
				t.Error("two endpoints serve after one was harmed")
			}
		})
	}
	env := newEnvironment(t, Settings{EngineEndpoints: 1, SoftwareVersions: []string{"1.4"}})
	env.EngineEndpoints[0].Pause(50 * time.Millisecond)
	env.EngineEndpoints[0].LimitRate(1)
	env.EngineEndpoints[0].LimitRate(0)
	time.Sleep(150 * time.Millisecond)
	env.Checker.mu.Lock()
	defer env.Checker.mu.Unlock()
	if list := env.Checker.serving; len(list) != 2 || !list[1].to.IsZero() {
		t.Errorf("an endpoint whose pause and limit have ended does not serve: %d periods", len(list))
	}
}

// TestEvents guards against a check of ORDER that takes bytes that no endpoint wrote for an event,
// or misses an event that is repeated, lost or follows the last one.
func TestEvents(t *testing.T) {
	frame := func(id, version string, n int, mark string) string {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", n, mark+event(id, version, n))
	}
	for name, tc := range map[string]struct {
		body string
		last int
		ok   bool
	}{
		"whole":           {frame("r", "1.4", 4, "") + frame("r", "1.4", 5, endMark), 5, true},
		"cut_in_event":    {frame("r", "1.4", 4, "") + frame("r", "1.4", 5, "")[:9], 4, true},
		"no_event":        {"", 3, true},
		"unknown_version": {frame("r", "1.6", 4, ""), 3, false},
		"other_request":   {frame("s", "1.4", 4, ""), 3, false},
		"repeated":        {frame("r", "1.4", 3, ""), 3, false},
		"lost":            {frame("r", "1.4", 5, ""), 3, false},
		"after_the_end":   {frame("r", "1.4", 4, endMark) + frame("r", "1.4", 5, ""), 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(NewChecker())
			c.checker.beginServing(softwareOf{modelService, "1.4"})
			res := c.readEvents(Request{Stream: "first", LastEvent: 3}, Result{ID: "r", LastEvent: 3}, []byte(tc.body))
			if res.LastEvent != tc.last {
				t.Errorf("the last event is %d, want %d", res.LastEvent, tc.last)
			}
			if !tc.ok {
				expectViolation(t, c.checker, "ORDER")
			} else if v := c.checker.Violations(); len(v) > 0 {
				t.Errorf("got %q", v)
			}
		})
	}
}
