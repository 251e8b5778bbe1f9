package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/node"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

// The fleet of the benchmark: the group "narrow" fits on three engines of four, the
// group "wide" on all. Their models bear the names of the groups.
const (
	shareEngines = 4
	shareSlots   = 16
	shareExtra   = 4
	shareTokens  = 25
	shareWindow  = 5 * time.Second
	shareKeyOps  = "bench-operator"
	limitOfGroup = 40
	rateOfGroup  = 40.0
	// limitDemand is the demand as a multiple of a limit; a request runs for half a second.
	limitDemand = 1.3
)

// shareFleet is two entries and four agents in this process, over loopback.
type shareFleet struct {
	b        *testing.B
	log      *logrus.Entry
	platform plat.Settings
	sims     []*engsim.Engine
	agents   []*node.Agent
	entries  []*node.Entry
	http     *http.Client
}

func newShareFleet(b *testing.B) *shareFleet {
	l := logrus.New()
	l.SetOutput(io.Discard)
	f := &shareFleet{b: b, log: l.WithField("bench", b.Name()), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	t := config.Table{Keys: []table.Key{{Name: "operator", Hash: ident.HashKey(shareKeyOps), Operator: true}}}
	add := func(g table.Group, bytes int64, copies int) {
		g.QueueBound = 1024
		t.Groups = append(t.Groups, g)
		t.Keys = append(t.Keys, table.Key{Name: g.Name, Hash: ident.HashKey(g.Name), Group: g.Name})
		t.Models = append(t.Models, table.Model{Name: g.Name, Groups: []string{g.Name}, Version: "v1", MemoryBytes: bytes, LeastCopies: copies})
	}
	add(table.Group{Name: "narrow", Weight: 1}, 10*fleetModelBytes, 3)
	add(table.Group{Name: "wide", Weight: 3}, fleetModelBytes, shareEngines)
	add(table.Group{Name: "limited", Weight: 1, MaxConcurrent: limitOfGroup}, fleetModelBytes, shareEngines)
	add(table.Group{Name: "rated", Weight: 1, MaxRequestsPerSecond: rateOfGroup}, fleetModelBytes, shareEngines)
	p, srv, err := node.StartSimulatedPlatform(config.Platform{Listen: "127.0.0.1:0", LoadsPerSecond: 100, LoadsAtOnce: 100, Table: t})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(srv.Close)
	base := "http://" + srv.Address()
	f.platform = plat.Settings{Table: base, Objects: base, Weights: base, Hosts: base, Timeout: time.Second}
	timing := config.DefaultTiming()
	timing.DrainDelay = 0
	b.Cleanup(f.stop)
	for i := range shareEngines {
		memory := 20 * fleetModelBytes
		if i == shareEngines-1 {
			memory = 8 * fleetModelBytes // "narrow" doesn't fit
		}
		e, es, err := node.StartSimulatedEngine(config.Engine{Listen: "127.0.0.1:0", Weights: base, Engine: engsim.Settings{
			ID: fmt.Sprintf("engine-%d", i), MemoryTotalBytes: memory, KVBytes: fleetModelBytes, Slots: shareSlots + shareExtra,
			TokenInterval: 20 * time.Millisecond, LoadBytesPerSecond: 100 * fleetModelBytes, ChecksFencingToken: true,
		}})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { e.Close(); es.Close() })
		f.sims = append(f.sims, e)
		id, domain := fmt.Sprintf("agent-%d", i), fmt.Sprintf("domain-%d", i)
		a, err := node.StartAgent(config.Agent{
			ID: id, FailureDomain: domain, Listen: config.AgentListen{Peers: "127.0.0.1:0", HTTP: "127.0.0.1:0"}, Platform: f.platform, Timing: timing,
			Endpoint: config.Endpoint{URL: "http://" + es.Address(), Slots: shareSlots, ExtraSlots: shareExtra, QueueBound: 1024, ChecksFencingToken: true},
		}, f.log)
		if err != nil {
			b.Fatal(err)
		}
		f.agents = append(f.agents, a)
		p.Hosts.Set(store.Host{ID: id, Role: store.RoleAgent, Address: a.PeerAddress(), FailureDomain: domain, State: store.HostLive})
	}
	for i := range 2 {
		id, domain := fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i)
		e, err := node.StartEntry(config.Entry{
			ID: id, FailureDomain: domain, Platform: f.platform, Timing: timing, Limits: config.DefaultRequestLimits(),
			Listen: config.EntryListen{Callers: "127.0.0.1:0", Admin: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		}, f.log)
		if err != nil {
			b.Fatal(err)
		}
		f.entries = append(f.entries, e)
		p.Hosts.Set(store.Host{ID: id, Role: store.RoleEntry, Address: e.PeerAddress(), FailureDomain: domain, State: store.HostLive})
	}
	return f
}

func (f *shareFleet) stop() {
	for _, e := range f.entries {
		e.Stop()
	}
	for _, a := range f.agents {
		a.StopWithoutHandover()
	}
}

// call sends a request of a group over an entry and reports whether it was answered.
func (f *shareFleet) call(ctx context.Context, entry int, group, prompt string) bool {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"prompt":%q}`, group, shareTokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entries[entry].CallerAddress()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+group)
	resp, err := f.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// work keeps a number of requests of a group in flight until the context ends, half of
// them over each entry.
func (f *shareFleet) work(ctx context.Context, wg *sync.WaitGroup, group string, workers int) {
	for w := range workers {
		entry := w % len(f.entries)
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if !f.call(ctx, entry, group, fmt.Sprintf("%s %d %d", group, w, n)) {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
}

// offer sends requests of a group at a rate, every tenth over the second entry, until
// the context ends. Refused requests do not come back.
func (f *shareFleet) offer(ctx context.Context, wg *sync.WaitGroup, group string, rate float64) {
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			entry := 0
			if n%10 == 9 {
				entry = 1
			}
			wg.Go(func() { f.call(ctx, entry, group, fmt.Sprintf("%s %d", group, n)) })
		}
	})
}

// tokens counts the tokens that the engines generated for each model.
func (f *shareFleet) tokens() map[string]float64 {
	out := map[string]float64{}
	for _, e := range f.sims {
		for _, r := range e.Executions() {
			out[r.Model] += float64(r.Tokens)
		}
	}
	return out
}

// running counts the requests that run on the engines and those started so far.
func (f *shareFleet) running() (now, started int) {
	for _, e := range f.sims {
		s, err := e.State()
		if err != nil {
			f.b.Fatal(err)
		}
		now += len(s.Running)
		started += len(e.Executions())
	}
	return now, started
}

// narrowShare returns the part of the accelerator time that "narrow" gets within a time.
func (f *shareFleet) narrowShare(d time.Duration) float64 {
	before := f.tokens()
	time.Sleep(d)
	after := f.tokens()
	narrow, wide := after["narrow"]-before["narrow"], after["wide"]-before["wide"]
	return narrow / (narrow + wide)
}

func (f *shareFleet) ready() {
	deadline := time.Now().Add(fleetReadyTimeout)
	for _, g := range []string{"narrow", "wide", "limited", "rated"} {
		for entry := range f.entries {
			for !f.call(f.b.Context(), entry, g, "ready") {
				if time.Now().After(deadline) {
					f.b.Fatalf("group %s isn't served", g)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// setWeight edits a group over the operators' interface.
func (f *shareFleet) setWeight(group string, weight float64) {
	body := fmt.Sprintf(`{"weight":%g,"queue_bound":1024}`, weight)
	req, err := http.NewRequestWithContext(f.b.Context(), http.MethodPut, "http://"+f.entries[0].AdminAddress()+"/admin/v1/table/groups/"+group, bytes.NewBufferString(body))
	if err != nil {
		f.b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+shareKeyOps)
	req.Header.Set("If-Match", "1")
	resp, err := f.http.Do(req)
	if err != nil {
		f.b.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		f.b.Fatalf("edit gets %d %s", resp.StatusCode, text)
	}
}

// BenchmarkShares measures what two groups with weights 1:3 get of a running fleet when
// the first is served at three endpoints of four, and how soon an edit to 3:3 shows.
// Use -benchtime 1x.
func BenchmarkShares(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	for range b.N {
		f := newShareFleet(b)
		f.ready()
		ctx, cancel := context.WithCancel(b.Context())
		var wg sync.WaitGroup
		f.work(ctx, &wg, "narrow", 150)
		f.work(ctx, &wg, "wide", 250)
		began := time.Now()
		for time.Since(began) < 90*time.Second {
			b.Logf("%3.0f s after the start: narrow has %.3f", time.Since(began).Seconds(), f.narrowShare(shareWindow))
		}
		before := f.narrowShare(30 * time.Second)
		b.ReportMetric(before, "share-at-1:3")
		b.ReportMetric(100*max(1-before/0.25, 1-(1-before)/0.75), "shortfall-at-1:3-%")
		f.setWeight("narrow", 3)
		began = time.Now()
		half, near := 0.0, 0.0
		for time.Since(began) < 90*time.Second {
			got, at := f.narrowShare(shareWindow), time.Since(began).Seconds()
			b.Logf("%3.0f s after the edit: narrow has %.3f", at, got)
			if half == 0 && got >= (before+0.5)/2 {
				half = at
			}
			if near == 0 && got >= 0.5*0.95 {
				near = at
			}
		}
		after := f.narrowShare(30 * time.Second)
		b.ReportMetric(half, "s-to-half")
		b.ReportMetric(near, "s-to-95%")
		b.ReportMetric(after, "share-at-3:3")
		b.ReportMetric(100*max(1-after/0.5, 1-(1-after)/0.5), "shortfall-at-3:3-%")
		cancel()
		wg.Wait()
	}
}

// BenchmarkLimits measures how much of a limit is used when nine of ten requests come
// over one of two entries, and the largest count that the engines saw.
func BenchmarkLimits(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	for range b.N {
		f := newShareFleet(b)
		f.ready()
		f.limit("limited", limitDemand*limitOfGroup/0.5)
		time.Sleep(2 * time.Second) // what was admitted ends
		f.limit("rated", limitDemand*rateOfGroup)
	}
}

func (f *shareFleet) limit(group string, rate float64) {
	const settle, measure, poll = 20 * time.Second, 30 * time.Second, 5 * time.Millisecond
	ctx, cancel := context.WithCancel(f.b.Context())
	defer cancel()
	var wg sync.WaitGroup
	f.offer(ctx, &wg, group, rate)
	most, sum, n, mostStarted := 0, 0, 0, 0
	var starts []int
	began := time.Now()
	first := 0
	for time.Since(began) < settle+measure {
		now, started := f.running()
		most = max(most, now)
		starts = append(starts, started)
		if back := len(starts) - int(time.Second/poll); back > 0 {
			mostStarted = max(mostStarted, started-starts[back])
		}
		if time.Since(began) > settle {
			if n == 0 {
				first = started
			}
			sum += now
			n++
		}
		time.Sleep(poll)
	}
	_, last := f.running()
	f.b.ReportMetric(float64(most), group+"-most-running")
	f.b.ReportMetric(float64(sum)/float64(n), group+"-mean-running")
	f.b.ReportMetric(float64(mostStarted), group+"-most-started-per-s")
	f.b.ReportMetric(float64(last-first)/measure.Seconds(), group+"-started/s")
	cancel()
	wg.Wait()
}
