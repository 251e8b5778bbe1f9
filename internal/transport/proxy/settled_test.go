package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// resumptions returns the reason, the request and the record's source of each line on a resumption.
func (l *lockedBuffer) resumptions(t *testing.T) []string {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range bytes.Lines(l.Bytes()) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["reason"] != nil && fields["record"] != nil {
			out = append(out, fmt.Sprint(fields["reason"], " ", fields["request"], " ", fields["record"]))
		}
	}
	return out
}

// settle tells a gateway that the store names a version as the only one so far.
func (g *versionGateway) settle(version string) {
	g.handler.RestoreVersions(resume.Row{"s": {version: {Present: true}}})
}

// TestOneVersion guards against other decisions, or messages to keepers, in a service that has one version.
func TestOneVersion(t *testing.T) {
	for _, version := range []string{"", "one"} {
		f := newVersionFleet(t, version, version, version)
		for i, domain := range []string{"z0", "z1", "z2"} {
			g := f.gateway(domain, 3)
			g.settle(version)
			before := f.fakes[i].requests.Load()
			f.call(g, "r1", "")
			for _, header := range [][]string{{"Last-Event-Id", "2"}, {"Last-Event-Id", "2", "Resumes", "r1"}, {"Last-Event-Id", "2", "Resumes", "unknown"}, {"Last-Event-Id", "2", "Resumes", ""}} {
				if got := versionsIn(f.call(g, "r2", "", header...)); len(got) != 4 {
					t.Errorf("a resumption with %v got events of %v", header, got)
				}
			}
			f.keepers.silent.Store(true)
			f.call(g, "r3", "unknown")
			f.keepers.silent.Store(false)
			if n := f.fakes[i].requests.Load() - before; n != 6 {
				t.Errorf("%d of 6 requests went to the endpoint that a new stream goes to", n)
			}
			if got := g.logs.resumptions(t); len(got) != 0 {
				t.Errorf("resumptions were logged: %v", got)
			}
		}
		if n := f.keepers.sends.Load(); n != 0 {
			t.Errorf("records were sent %d times", n)
		}
	}
}

// TestRecordsOnceUnsettled guards against streams begun before a second version came whose records no other gateway finds.
func TestRecordsOnceUnsettled(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	x.settle("one")
	f.list(x, f.endpoints[0], f.endpoints[2])
	// The gateway has read version two, which no longer counts.
	x.handler.versions.history = resume.NewHistory(time.Now())
	x.settle("one")
	x.observe()
	first := f.begin(x, "r1")
	if n := f.keepers.sends.Load(); n != 0 {
		t.Fatalf("records were sent %d times while the service was settled", n)
	}
	f.list(x, f.endpoints...)
	x.Close()
	expectOneVersion(t, first, f.call(y, "r2", "r1"))
}

// TestKeepersSilent guards against a resumption that runs anywhere because the keepers don't answer.
func TestKeepersSilent(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	f.begin(x, "r1")
	f.keepers.silent.Store(true)
	expectRejected(t, f.call(y, "r2", "r1"))
	if got := y.logs.resumptions(t); len(got) != 1 || got[0] != "keepers_silent r2 silent" {
		t.Errorf("logged %v", got)
	}
}

// TestResumptionLogged guards against a resumption that was redirected or rejected without a line that says why.
func TestResumptionLogged(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	f.begin(x, "r1")
	f.call(y, "r2", "r1")
	f.call(y, "r3", "unknown")
	f.list(y, f.endpoints[1])
	f.call(y, "r4", "r1")
	want := []string{"redirected r2 keeper", "resumes_unknown r3 none", "version_gone r4 own"}
	if got := y.logs.resumptions(t); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("logged %v, want %v", got, want)
	}
}

// TestSplitRoute guards against a resumption that a split route sends to another service than the one that began its stream.
func TestSplitRoute(t *testing.T) {
	f := newVersionFleet(t, "one", "two")
	f.endpoints[1].Service = "o"
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	for i, g := range []*versionGateway{x, y} {
		targets := []fleet.Target{{Service: "s", Weight: 1}, {Service: "o", Weight: 1}}
		v := *g.view.Load()
		route, _ := v.Config.Route("test.example", "/a/x")
		// A draw of 0 takes the first target.
		route.Targets = []fleet.Target{targets[i], targets[1-i]}
		services := []fleet.Service{v.Config.Services()["s"], v.Config.Services()["o"]}
		v.Config = fleet.NewConfig(2, []fleet.Route{route}, services, v.Config.Limits)
		g.view.Store(&v)
	}
	expectOneVersion(t, f.begin(x, "r1"), f.call(y, "r2", "r1"))
	expectOneVersion(t, f.begin(y, "r3"), f.call(x, "r4", "r3"))
}

// TestModelNotAtVersion guards against a resumption that runs at another version because no endpoint of its own holds its model.
func TestModelNotAtVersion(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	g := f.gateway("z0", 1)
	f.begin(g, "r1")
	empty := []fleet.Endpoint{f.endpoints[0], f.endpoints[1], f.endpoints[2]}
	empty[0].Models, empty[2].Models = nil, nil
	f.list(g, empty...)
	expectRejected(t, f.call(g, "r2", "r1"))
	if n := f.fakes[1].requests.Load(); n != 0 {
		t.Errorf("%d requests reached the other version", n)
	}
}
