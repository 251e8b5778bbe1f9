package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/state/budget"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/notice"
	"chervilhead/internal/state/resume"
)

// versionFleet is a service with endpoints of two versions, whose events hold their version, and
// gateways before them.
type versionFleet struct {
	t         *testing.T
	endpoints []fleet.Endpoint
	fakes     []*fakeEndpoint
	// breaks is the number of the next streams that break after two events.
	breaks atomic.Int64
	// turnsAway is set while the first endpoint turns requests away.
	turnsAway atomic.Bool
	keepers   *fakeKeepers
}

// newVersionFleet starts one endpoint for each version, each in a failure domain of its own.
func newVersionFleet(t *testing.T, versions ...string) *versionFleet {
	f := &versionFleet{t: t, keepers: newFakeKeepers()}
	for i, v := range versions {
		fake := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
			if i == 0 && f.turnsAway.Load() {
				reject(r, "", c)
				return
			}
			broken := f.breaks.Add(-1) >= 0
			startStream(c, r)
			sent := 0
			for id := 1; id <= 6; id++ {
				if fmt.Sprint(id) <= r.Header.Get("Last-Event-Id") {
					continue
				}
				writeChunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", id, v))
				if sent++; broken && sent == 2 {
					_ = c.Close()
					return
				}
			}
			writeChunk(c, "")
		})
		f.fakes = append(f.fakes, fake)
		f.endpoints = append(f.endpoints, fleet.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Address: fake.addr, FailureDomain: fmt.Sprintf("z%d", i), Slots: 4,
			Models: []fleet.Resident{{Model: "m"}}, SoftwareVersion: v, Incarnation: 1,
		})
	}
	return f
}

// versionGateway is a gateway of a versionFleet.
type versionGateway struct {
	gateway
	handler *Handler
	logs    lockedBuffer
}

// gateway starts a gateway in the failure domain of the endpoint that it prefers; attempts bounds
// the attempts within one response.
func (f *versionFleet) gateway(domain string, attempts int) *versionGateway {
	spec := &fleet.EngineSpec{Slots: 4, Models: map[string]fleet.Model{"m": {Name: "m", StoreLoadTime: time.Hour}}}
	var routes []fleet.Route
	for prefix, service := range map[string]string{"/a/": "s", "/other/": "o"} {
		routes = append(routes, fleet.Route{
			Name: prefix, Host: "test.example", Prefix: prefix, Kind: fleet.Stream, Timeout: 2 * time.Second, MaxAttempts: attempts, Resumable: true,
			Targets: []fleet.Target{{Service: service, Weight: 1}},
		})
	}
	g := &versionGateway{}
	g.view.Store(&watch.View{
		HasConfig: true, ConfigConfirmedAt: time.Now(),
		Config: fleet.NewConfig(1, routes, []fleet.Service{{Name: "s", Engine: spec}, {Name: "o", Engine: spec}}, fleet.Limits{BodyBytes: 1 << 20}),
	})
	log := logrus.New()
	log.SetOutput(&g.logs)
	log.SetFormatter(&logrus.JSONFormatter{})
	plane := versionPlane{fakeControlPlane{func() []fleet.State { return *g.states.Load() }, &g.noAdapterSlot, &g.noCapacity, notice.NewLeavers(), &g.keepersAbsent}, f.keepers}
	g.handler = New(Settings{
		Headers: testHeaders, FailureDomain: domain, Random: func(int64) int64 { return 0 }, ConfigStaleAfter: time.Minute, RetryBudget: budget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, FirstStart: true,
	}, g.view.Load, plane, http1.NewPool(time.Second), NewMetrics(prometheus.NewRegistry()), logrus.NewEntry(log))
	f.list(g, f.endpoints...)
	g.Server = httptest.NewServer(g.handler)
	f.t.Cleanup(g.Close)
	return g
}

// list makes a gateway read endpoints in the store.
func (f *versionFleet) list(g *versionGateway, endpoints ...fleet.Endpoint) {
	v := *g.view.Load()
	v.Endpoints, v.EndpointsConfirmedAt = map[string]fleet.Endpoint{}, time.Now()
	var states []fleet.State
	for _, e := range endpoints {
		v.Endpoints[e.ID] = e
		states = append(states, fleet.State{Endpoint: e})
	}
	g.view.Store(&v)
	g.states.Store(&states)
	g.observe()
}

// call is one of a caller's attempts; id is its request id, resumes what it resumes after event 2.
func (f *versionFleet) call(g *versionGateway, id, resumes string, header ...string) response {
	f.t.Helper()
	h := map[string]string{"Test-Request": id}
	if resumes != "" {
		h["Resumes"], h["Last-Event-Id"] = resumes, "2"
	}
	path := "/a/x"
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == "path" {
			path = header[i+1]
			continue
		}
		h[header[i]] = header[i+1]
	}
	a, err := g.do(f.t.Context(), f.t, "POST", path, h, "p")
	if err != nil && a.status != http.StatusOK {
		f.t.Fatalf("attempt %s: %v", id, err)
	}
	return a
}

// begin makes a caller begin a stream that breaks, and returns its first events.
func (f *versionFleet) begin(g *versionGateway, id string) response {
	f.t.Helper()
	f.breaks.Store(1)
	a := f.call(g, id, "")
	if n := len(versionsIn(a)); n != 2 {
		f.t.Fatalf("the broken stream has %d events, want 2: %+v", n, a)
	}
	f.breaks.Store(0)
	return a
}

var eventData = regexp.MustCompile(`data: (\S*)\n`)

// versionsIn returns the version of each event.
func versionsIn(answers ...response) []string {
	var out []string
	for _, a := range answers {
		for _, m := range eventData.FindAllStringSubmatch(a.body, -1) {
			out = append(out, m[1])
		}
	}
	return out
}

// expectOneVersion checks that a caller's attempts together delivered six events of one version.
func expectOneVersion(t *testing.T, answers ...response) {
	t.Helper()
	got := versionsIn(answers...)
	if len(got) != 6 || len(slices.Compact(slices.Clone(got))) != 1 {
		t.Errorf("the events are of versions %v, want six of one version", got)
	}
}

// expectRejected checks that a resumption was rejected as not run.
func expectRejected(t *testing.T, a response) {
	t.Helper()
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || len(versionsIn(a)) > 0 {
		t.Errorf("got %+v, want 503 with Retry-After", a)
	}
}

// TestVersionWithinResponse guards against a stream that goes on at another version after its first endpoint died.
func TestVersionWithinResponse(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	g := f.gateway("z0", 3)
	f.breaks.Store(1)
	expectOneVersion(t, f.call(g, "r1", ""))
	f.breaks.Store(2)
	if got := slices.Compact(versionsIn(f.call(g, "r2", ""))); len(got) != 1 {
		t.Errorf("the events are of versions %v after two deaths", got)
	}
}

// TestVersionOfResumption guards against a caller's resumption that reaches another version than the one that began its stream.
func TestVersionOfResumption(t *testing.T) {
	// Gateway y prefers the endpoint of the other version.
	for name, run := range map[string]func(f *versionFleet, x, y *versionGateway) []response{
		"same gateway": func(f *versionFleet, x, _ *versionGateway) []response {
			first := f.begin(x, "r1")
			f.list(x, f.endpoints[1:]...)
			return []response{first, f.call(x, "r2", "r1")}
		},
		"other gateway": func(f *versionFleet, x, y *versionGateway) []response {
			return []response{f.begin(x, "r1"), f.call(y, "r2", "r1")}
		},
		"gateway started later": func(f *versionFleet, x, _ *versionGateway) []response {
			first := f.begin(x, "r1")
			x.Close()
			return []response{first, f.call(f.gateway("z1", 1), "r2", "r1")}
		},
		"without the store": func(f *versionFleet, x, y *versionGateway) []response {
			first := f.begin(x, "r1")
			v := *y.view.Load()
			v.EndpointsConfirmedAt = time.Now().Add(-time.Minute)
			y.view.Store(&v)
			return []response{first, f.call(y, "r2", "r1")}
		},
		"resumption of a resumption": func(f *versionFleet, x, y *versionGateway) []response {
			first := f.begin(x, "r1")
			f.breaks.Store(1)
			second := f.call(y, "r2", "r1")
			x.Close()
			y.Close()
			return []response{first, second, f.call(f.gateway("z1", 1), "r3", "r1", "Last-Event-Id", "4")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFleet(t, "one", "two", "one")
			expectOneVersion(t, run(f, f.gateway("z0", 1), f.gateway("z1", 1))...)
		})
	}
}

// TestUnknownResumes guards against a resumption that runs although nothing tells the version of its stream.
func TestUnknownResumes(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	// Endpoint e1 serves the other service too.
	elsewhere := f.endpoints[1]
	elsewhere.ID, elsewhere.Service = "o1", "o"
	f.list(x, append(f.endpoints, elsewhere)...)
	f.list(y, append(f.endpoints, elsewhere)...)
	f.begin(x, "r1")
	runs := func() (n int64) {
		for _, e := range f.fakes {
			n += e.requests.Load()
		}
		return n
	}
	before := runs()
	for name, header := range map[string][]string{
		"missing":         {"Last-Event-Id", "2"},
		"empty":           {"Last-Event-Id", "2", "Resumes", ""},
		"unknown":         {"Last-Event-Id", "2", "Resumes", "r9"},
		"too long":        {"Last-Event-Id", "2", "Resumes", strings.Repeat("r", 201)},
		"control":         {"Last-Event-Id", "2", "Resumes", "r1\tr1"},
		"other service":   {"Last-Event-Id", "2", "Resumes", "r1", "path", "/other/x"},
		"without last id": {"Resumes", "r9"},
	} {
		t.Run(name, func(t *testing.T) {
			for i, g := range []*versionGateway{x, y} {
				began := time.Now()
				expectRejected(t, f.call(g, fmt.Sprint("u", i), "", header...))
				if took := time.Since(began); took > 500*time.Millisecond {
					t.Errorf("rejected after %v, want at once", took)
				}
			}
		})
	}
	if n := runs() - before; n != 0 {
		t.Errorf("%d of the resumptions ran", n)
	}
}

// TestForgedResumes guards against a forged Resumes that does more than to choose the version of the record that it names.
func TestForgedResumes(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	first, other := f.begin(x, "r1"), f.begin(y, "victim")
	for range 3 {
		if got := versionsIn(f.call(y, "r2", "victim")); slices.Contains(got, "one") || len(got) != 4 {
			t.Errorf("a resumption that names a stream of version two got events of %v", got)
		}
	}
	expectOneVersion(t, first, f.call(y, "r3", "r1"))
	expectOneVersion(t, other, f.call(x, "r4", "victim"))
}

// TestVersionUnseen guards against gateways that see different sets of endpoints and take the only version that they see for that of a stream.
func TestVersionUnseen(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	f.list(y, f.endpoints[1])
	first := f.begin(x, "r1")
	expectRejected(t, f.call(y, "r2", "r1"))
	f.list(y, f.endpoints...)
	expectOneVersion(t, first, f.call(y, "r3", "r1"))
}

// TestVersionGone guards against a resumption that waits, or runs elsewhere, once no endpoint of its version is left.
func TestVersionGone(t *testing.T) {
	f := newVersionFleet(t, "one", "two")
	g := f.gateway("z0", 1)
	f.begin(g, "r1")
	f.list(g, f.endpoints[1])
	began := time.Now()
	expectRejected(t, f.call(g, "r2", "r1"))
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("rejected after %v, want at once", took)
	}
}

// TestRestartUnseen guards against a stream that is taken for one of the version that its endpoint was registered with before it was restarted under its id and address.
func TestRestartUnseen(t *testing.T) {
	f := newVersionFleet(t, "two", "two", "one")
	g := f.gateway("z0", 3)
	stale := f.endpoints[0]
	stale.SoftwareVersion = "one"
	f.list(g, stale, f.endpoints[1], f.endpoints[2])
	states := slices.Clone(*g.states.Load())
	states[0].StatusSupersedes, states[0].Status = true, fleet.Status{ReceivedAt: time.Now(), Incarnation: 2, Alive: true, Models: stale.Models}
	g.states.Store(&states)
	f.breaks.Store(1)
	first := f.call(g, "r1", "")
	if got := versionsIn(first); len(got) != 2 || got[0] != "two" {
		t.Fatalf("the broken stream has events of %v", got)
	}
	for _, v := range versionsIn(f.call(g, "r2", "r1")) {
		if v != "two" {
			t.Errorf("the stream continues with an event of version %s", v)
		}
	}
}

// TestVersionReturns guards against a resumption at the endpoint that began the stream after it came back under its id and address with another version.
func TestVersionReturns(t *testing.T) {
	for name, incarnation := range map[string]int64{"another start": 2, "the same start": 1} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFleet(t, "one", "two", "one")
			g := f.gateway("z0", 1)
			first := f.begin(g, "r1")
			back := f.endpoints[1]
			back.ID, back.FailureDomain, back.Incarnation = "e0", "z0", incarnation
			f.list(g, back, f.endpoints[2])
			expectOneVersion(t, first, f.call(g, "r2", "r1"))
			f.list(g, back)
			expectRejected(t, f.call(g, "r3", "r1"))
		})
	}
}

// TestForgedResumesOfOtherService guards against a forged Resumes, sent to another service while the keepers are silent, that hides the record of the stream that it names.
func TestForgedResumesOfOtherService(t *testing.T) {
	f := newVersionFleet(t, "one", "two", "one")
	x, y := f.gateway("z0", 1), f.gateway("z1", 1)
	elsewhere := f.endpoints[1]
	elsewhere.ID, elsewhere.Service = "o1", "o"
	f.list(y, append(slices.Clone(f.endpoints), elsewhere)...)
	y.handler.RestoreVersions(resume.Row{"o": {"two": {Present: true}}})
	first := f.begin(x, "victim")
	f.keepers.silent.Store(true)
	if got := versionsIn(f.call(y, "r1", "victim", "path", "/other/x")); len(got) != 4 {
		t.Errorf("a resumption in a service of one version got events of %v", got)
	}
	f.keepers.silent.Store(false)
	expectOneVersion(t, first, f.call(y, "r2", "victim"))
}

// TestRestartUnseenOnceSettled guards against a stream of a restarted endpoint that continues within its response at the only version which the service was registered with.
func TestRestartUnseenOnceSettled(t *testing.T) {
	f := newVersionFleet(t, "two", "one", "one")
	g := f.gateway("z0", 3)
	stale := f.endpoints[0]
	stale.SoftwareVersion = "one"
	// The gateway has read no other version than one.
	g.handler.versions.history = resume.NewHistory(time.Now())
	g.settle("one")
	f.list(g, stale, f.endpoints[1], f.endpoints[2])
	states := slices.Clone(*g.states.Load())
	states[0].StatusSupersedes, states[0].Status = true, fleet.Status{ReceivedAt: time.Now(), Incarnation: 2, Alive: true, Models: stale.Models}
	g.states.Store(&states)
	f.breaks.Store(1)
	if got := versionsIn(f.call(g, "r1", "")); !slices.Equal(got, []string{"two", "two"}) {
		t.Errorf("the events are of versions %v, want the first two of version two", got)
	}
}
