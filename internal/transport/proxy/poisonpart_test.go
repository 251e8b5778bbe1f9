package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

func TestSharedPartKeys(t *testing.T) {
	one := sharedPartKeys("s", "aa:300,dd:30,x:1")
	if len(one) != 2 {
		t.Fatalf("got %d keys, want those of all parts but the last", len(one))
	}
	for prompt, same := range map[string]bool{"bb:1,dd:40,y:1": true, "cc:1,bb:1, DD:30,y:1": true, "aa:300,dd:30": false, "bb:1,ee:30,y:1": false, "dd": false, "": false} {
		if got := slices.Contains(sharedPartKeys("s", prompt), one[1]); got != same {
			t.Errorf("%q: holds the part dd as a shared one: %v, want %v", prompt, got, same)
		}
	}
	if slices.Contains(sharedPartKeys("other", "dd:30,x:1"), one[1]) {
		t.Error("a part of another service, which runs other software, has the same key")
	}
}

// TestDeadlyPartBlocked guards against requests with a deadly part that reach endpoints though the gateway knows of it, and against a rejection of others.
func TestDeadlyPartBlocked(t *testing.T) {
	crash := func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		if strings.Contains(r.Header.Get("Test-Prompt"), "dd:") {
			_ = c.Close()
			return
		}
		writeChunk(c, event(1))
		writeChunk(c, "")
	}
	endpoints := []*fakeEndpoint{startEndpoint(t, crash), startEndpoint(t, crash), startEndpoint(t, crash), startEndpoint(t, crash), startEndpoint(t, crash), startEndpoint(t, crash)}
	g := startGateway(t, fleet.Stream, false, endpoints...)
	do := func(id, prompt string) response {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		a, err := g.do(ctx, t, "POST", "/a/x", map[string]string{"Test-Request": id, "Test-Prompt": prompt}, id)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	for i := range 30 {
		// The endpoint that crashed comes back as another incarnation.
		states := slices.Clone(*g.states.Load())
		for k := range states {
			states[k].Incarnation = int64(i)
		}
		g.states.Store(&states)
		if a := do(fmt.Sprint("sound-", i), fmt.Sprintf("aa:300,s:20,%d:5", i)); a.status != http.StatusOK {
			t.Errorf("sound request %d: status %d", i, a.status)
		}
		a := do(fmt.Sprint("deadly-", i), fmt.Sprintf("aa:300,s:20,dd:9,%d:5", i))
		if want := map[bool]int{true: 502, false: 503}[i < 3]; a.status != want || a.status == 503 && a.header.Get("Retry-After") == "" {
			t.Errorf("deadly request %d: status %d, want %d, with Retry-After if it is 503", i, a.status, want)
		}
	}
	reached := int64(0)
	for _, e := range endpoints {
		reached += e.requests.Load()
	}
	if reached != 30+3 {
		t.Errorf("%d requests reached endpoints, want 30 sound and 3 others", reached)
	}
}

// TestBlockWhileWaiting guards against a request that reaches an endpoint after its part became known while it waited for a model.
func TestBlockWhileWaiting(t *testing.T) {
	e := startEndpoint(t, serveOK)
	g := startGateway(t, fleet.Stream, false, e)
	h := g.Config.Handler.(*Handler)
	g.configure(fleet.Route{Timeout: 2 * time.Second}, fleet.Model{Name: "m", StoreLoadTime: 200 * time.Millisecond})
	states := *g.states.Load()
	empty := slices.Clone(states)
	empty[0].Models = nil
	g.states.Store(&empty)
	time.AfterFunc(100*time.Millisecond, func() {
		key := sharedPartKeys("s", "dd:1,x:1")[0]
		rec := poison.CrashRecord{Fingerprint: "part:" + key, ExpiresAt: time.Now().Add(time.Minute)}
		for i := range 3 {
			rec.Crashes = append(rec.Crashes, poison.Crash{ID: fmt.Sprint("e", i), Level: poison.LevelShared})
		}
		h.MergeCrashRecord(rec)
		g.states.Store(&states)
	})
	if a, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Prompt": "aa:1,dd:1,x:1"}, "p"); err != nil || a.body != "crashes_endpoints\n" || e.requests.Load() != 0 {
		t.Errorf("status %d, %q, error %v, %d requests at the endpoint; want a rejection and none", a.status, a.body, err, e.requests.Load())
	}
}
