package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
)

// withGroups returns a copy of a view with the next configuration version, in which groups hold
// keys named KEY=GROUP.
func withGroups(v *watch.View, keys ...string) *watch.View {
	w := *v
	routes := []fleet.Route{}
	for _, prefix := range []string{"/a/", "/public/"} {
		r, _ := v.Config.Route("test.example", "/a/")
		r.Name, r.Prefix, r.Public = prefix, prefix, prefix == "/public/"
		routes = append(routes, r)
	}
	svc, _ := v.Config.Service("s")
	groups, digests := map[string]fleet.Group{}, map[fleet.KeyDigest]string{}
	for _, k := range keys {
		key, name, _ := strings.Cut(k, "=")
		groups[name] = fleet.Group{Name: name}
		digests[fleet.DigestKey(key)] = name
	}
	w.Config = fleet.NewConfig(v.Config.Version+1, routes, []fleet.Service{svc}, v.Config.Limits).WithGroups(groups, digests)
	return &w
}

// startKeyedGateway starts a gateway whose callers need one of two keys.
func startKeyedGateway(t *testing.T, kind fleet.RouteKind, endpoints ...*fakeEndpoint) *gateway {
	t.Helper()
	g := startGateway(t, kind, false, endpoints...)
	g.view.Store(withGroups(g.view.Load(), "key-one=one", "key-two=two"))
	return g
}

// TestKeys guards against a request that runs without a valid key, one with a valid key that
// doesn't, and a key or a caller's own group that reaches the endpoint.
func TestKeys(t *testing.T) {
	e := startEndpoint(t, serveOK)
	g := startKeyedGateway(t, fleet.AtMostOnce, e)
	for _, tc := range []struct {
		name, path string
		lines      []string
		status     int
		group      string
	}{
		{"valid", "/a/x", []string{"Api-Key: key-one"}, 200, "one"},
		{"other group", "/a/x", []string{"api-KEY:   key-two "}, 200, "two"},
		{"forged group", "/a/x", []string{"Api-Key: key-one", "Test-Group: two"}, 200, "one"},
		{"group named as hop by hop", "/a/x", []string{"Api-Key: key-one", "Connection: Test-Group, Api-Key"}, 200, "one"},
		{"key as trailer beside a valid one", "/a/x", []string{"Api-Key: key-one", "Trailer: Api-Key"}, 200, "one"},
		{"key as trailer only", "/a/x", []string{"Trailer: Api-Key"}, 401, ""},
		{"missing", "/a/x", nil, 401, ""},
		{"unknown", "/a/x", []string{"Api-Key: key-three"}, 401, ""},
		{"empty", "/a/x", []string{"Api-Key:"}, 401, ""},
		{"two equal fields", "/a/x", []string{"Api-Key: key-one", "Api-Key: key-one"}, 401, ""},
		{"two keys in a field", "/a/x", []string{"Api-Key: key-one, key-one"}, 401, ""},
		{"inner space", "/a/x", []string{"Api-Key: key-one key-one"}, 401, ""},
		{"too long", "/a/x", []string{"Api-Key: " + strings.Repeat("k", 257)}, 401, ""},
		{"public", "/public/x", nil, 200, ""},
		{"public with a key and a forged group", "/public/x", []string{"Api-Key: unknown", "Test-Group: two"}, 200, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := e.requests.Load()
			status, body := g.raw(t, tc.path, tc.lines)
			if status != tc.status {
				t.Fatalf("status %d, body %q, want %d", status, body, tc.status)
			}
			if ran := e.requests.Load() > before; ran != (status == 200) {
				t.Fatalf("status %d, the endpoint got the request: %v", status, ran)
			}
			if status != 200 {
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			r := e.lastRequest
			if got := r.Header.Values("Test-Group"); strings.Join(got, ",") != tc.group {
				t.Errorf("the endpoint got group %q, want %q", got, tc.group)
			}
			if r.Header.Values("Api-Key") != nil || r.Trailer.Values("Api-Key") != nil || strings.Contains(fmt.Sprint(r.Header, r.Trailer), "key-") {
				t.Errorf("the key reached the endpoint: %v %v", r.Header, r.Trailer)
			}
		})
	}
}

// raw sends a request with header lines as they are and a chunked body, whose trailer holds a
// key if the lines announce one.
func (g *gateway) raw(t *testing.T, path string, lines []string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	trailer := ""
	if slices.Contains(lines, "Trailer: Api-Key") {
		trailer = "Api-Key: key-two\r\n"
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test.example\r\nTest-Request: id-1\r\nTest-Deadline: 2000\r\nTransfer-Encoding: chunked\r\n%s\r\n1\r\nx\r\n0\r\n%s\r\n",
		path, strings.Join(append(lines, ""), "\r\n"), trailer)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// TestKeyUnknownWhileStale guards against 401 for a key that a configuration allows which the
// gateway hasn't read.
func TestKeyUnknownWhileStale(t *testing.T) {
	g := startKeyedGateway(t, fleet.AtMostOnce, startEndpoint(t, serveOK))
	stale := *g.view.Load()
	stale.ConfigConfirmedAt = time.Now().Add(-time.Minute)
	g.view.Store(&stale)
	for key, want := range map[string]int{"new": 503, "key-one": 200} {
		a, err := g.do(context.Background(), t, "GET", "/a/x", map[string]string{"Api-Key": key}, "")
		if err != nil || a.status != want || want == 503 && a.header.Get("Retry-After") == "" {
			t.Errorf("key %s: response %+v, error %v, want status %d", key, a, err, want)
		}
	}
}

// TestKeyRevokedDuringWait guards against a waiting request that runs after its key was removed,
// and a running one that ends with its key.
func TestKeyRevokedDuringWait(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	begin := sync.OnceFunc(func() { close(began) })
	e := startEndpoint(t, func(r *http.Request, body string, c net.Conn) {
		begin()
		<-finish
		serveOK(r, body, c)
	})
	g := startKeyedGateway(t, fleet.Stream, e)
	ask := func(model string, status chan<- int) {
		a, err := g.do(context.Background(), t, "POST", "/a/x", map[string]string{"Api-Key": "key-one", "Test-Model": model}, "p")
		if err != nil {
			t.Error(err)
		}
		status <- a.status
	}
	running, waiting := make(chan int, 1), make(chan int, 1)
	go ask("m", running)
	<-began
	g.noAdapterSlot.Store(true)
	go ask("m/adapter", waiting)
	time.Sleep(60 * time.Millisecond)
	g.view.Store(withGroups(g.view.Load(), "key-two=two"))
	g.noAdapterSlot.Store(false)
	if got := <-waiting; got != http.StatusUnauthorized {
		t.Errorf("a request that waited got status %d, want 401", got)
	}
	close(finish)
	if got := <-running; got != http.StatusOK {
		t.Errorf("a running request got status %d, want 200", got)
	}
	if n := e.requests.Load(); n != 1 {
		t.Errorf("the endpoint got %d requests, want 1", n)
	}
}

// TestEnginePriority guards against engines that rank routes before groups, and against other
// priorities than before without groups.
func TestEnginePriority(t *testing.T) {
	group := func(p int) fleet.Group { return fleet.Group{Name: "g", Priority: p, HasPriority: true} }
	for _, tc := range []struct {
		grouped     bool
		group       fleet.Group
		route, want int
	}{
		{false, fleet.Group{}, 0, 3},
		{false, fleet.Group{}, 9, 9},
		{true, group(0), 0, 1},
		{true, group(0), 7, 3},
		{true, group(1), 0, 4},
		{true, fleet.Group{Name: "g"}, 1, 5},
		{true, fleet.Group{}, 1, 5},
		{true, group(2), 2, 9},
		{true, group(50), 50, 9},
	} {
		c := &call{route: fleet.Route{Priority: tc.route}, group: tc.group, access: access{grouped: tc.grouped}}
		if got := c.priority(); got != tc.want {
			t.Errorf("%+v: priority %d", tc, got)
		}
	}
}

// FuzzCallerKey guards against a header that passes for a key by the rules of callers' contract
// though it breaks one of them.
func FuzzCallerKey(f *testing.F) {
	for _, s := range []string{"k", "", "a,b", "a b", strings.Repeat("x", 257)} {
		f.Add(s, "", false)
		f.Add(s, s, true)
	}
	f.Fuzz(func(t *testing.T, first, second string, two bool) {
		h := http.Header{"Api-Key": {first}}
		if two {
			h.Add("Api-Key", second)
		}
		key, refusal := callerKey(h, "Api-Key")
		if (refusal == "") != (key != "") {
			t.Fatalf("key %q, refusal %q", key, refusal)
		}
		if refusal == "" && (two || key != first || len(key) > 256 || len(strings.Fields(key)) != 1 || strings.ContainsAny(key, ", \t")) {
			t.Fatalf("header %q passes as key %q", h, key)
		}
	})
}

// TestWithoutGroups guards against a configuration without groups whose requests are served
// otherwise than before: refused for a key, with another priority or with a group.
func TestWithoutGroups(t *testing.T) {
	e := startEndpoint(t, serveOK)
	g := startGateway(t, fleet.Stream, false, e)
	g.handler.cfg.Revocation = Revocation{Strict: true, Bound: 5 * time.Second}
	var want http.Header
	for _, header := range []map[string]string{nil, {"Api-Key": "any"}, {"Api-Key": "a b", "Test-Group": "forged"}} {
		a, err := g.do(context.Background(), t, "POST", "/a/x", header, "p")
		if err != nil || a.status != 200 {
			t.Fatalf("header %v: response %+v, error %v", header, a, err)
		}
		e.mu.Lock()
		got := e.lastRequest.Header.Clone()
		e.mu.Unlock()
		got.Del("Test-Deadline")
		if want == nil {
			want = got
		}
		if fmt.Sprint(got) != fmt.Sprint(want) || got.Get("Test-Priority") != "3" {
			t.Errorf("header %v: the endpoint got %v, want %v", header, got, want)
		}
	}
}
