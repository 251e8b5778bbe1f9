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

// The fleet of the benchmarks: the model of the group "narrow" fits on three engines of
// four, that of the group "wide" on all. Each group has one model of the same name.
const (
	shareEngines     = 4
	shareSlots       = 16
	shareExtraSlots  = 4
	shareTokens      = 25
	shareWindow      = 5 * time.Second
	shareOperatorKey = "bench-operator"
	concurrencyLimit = 40
	rateLimit        = 40.0
	// demandFactor is the offered load as a multiple of a limit.
	demandFactor = 1.3
)

// shareFleet is two entries and four agents in this process, connected over loopback.
type shareFleet struct {
	b        *testing.B
	log      *logrus.Entry
	platform plat.Settings
	engines  []*engsim.Engine
	agents   []*node.Agent
	entries  []*node.Entry
	http     *http.Client
}

func newShareFleet(b *testing.B) *shareFleet {
	l := logrus.New()
	l.SetOutput(io.Discard)
	f := &shareFleet{b: b, log: l.WithField("bench", b.Name()), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	t := config.Table{Keys: []table.Key{{Name: "operator", Hash: ident.HashKey(shareOperatorKey), Operator: true}}}
	add := func(g table.Group, bytes int64, replicas int) {
		g.QueueBound = 1024
		t.Groups = append(t.Groups, g)
		t.Keys = append(t.Keys, table.Key{Name: g.Name, Hash: ident.HashKey(g.Name), Group: g.Name})
		t.Models = append(t.Models, table.Model{Name: g.Name, Groups: []string{g.Name}, Version: "v1", MemoryBytes: bytes, LeastCopies: replicas})
	}
	add(table.Group{Name: "narrow", Weight: 1}, 10*fleetModelBytes, 3)
	add(table.Group{Name: "wide", Weight: 3}, fleetModelBytes, shareEngines)
	add(table.Group{Name: "limited", Weight: 1, MaxConcurrent: concurrencyLimit}, fleetModelBytes, shareEngines)
	add(table.Group{Name: "rated", Weight: 1, MaxRequestsPerSecond: rateLimit}, fleetModelBytes, shareEngines)
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
			memory = 8 * fleetModelBytes // too small for the model of "narrow"
		}
		e, es, err := node.StartSimulatedEngine(config.Engine{Listen: "127.0.0.1:0", Weights: base, Engine: engsim.Settings{
			ID: fmt.Sprintf("engine-%d", i), MemoryTotalBytes: memory, KVBytes: fleetModelBytes, Slots: shareSlots + shareExtraSlots,
			TokenInterval: 20 * time.Millisecond, LoadBytesPerSecond: 100 * fleetModelBytes, ChecksFencingToken: true,
		}})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { e.Close(); es.Close() })
		f.engines = append(f.engines, e)
		id, domain := fmt.Sprintf("agent-%d", i), fmt.Sprintf("domain-%d", i)
		a, err := node.StartAgent(config.Agent{
			ID: id, FailureDomain: domain, Listen: config.AgentListen{Peers: "127.0.0.1:0", HTTP: "127.0.0.1:0"}, Platform: f.platform, Timing: timing,
			Endpoint: config.Endpoint{URL: "http://" + es.Address(), Slots: shareSlots, ExtraSlots: shareExtraSlots, QueueBound: 1024, ChecksFencingToken: true},
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

// call sends a request of a group to an entry and reports whether it was answered.
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

// runClosedLoop keeps a number of requests of a group in flight until the context ends,
// half of them at each entry.
func (f *shareFleet) runClosedLoop(ctx context.Context, wg *sync.WaitGroup, group string, workers int) {
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

// runOpenLoop sends requests of a group at a rate, every tenth to the second entry, until
// the context ends. Rejected requests are not retried.
func (f *shareFleet) runOpenLoop(ctx context.Context, wg *sync.WaitGroup, group string, rate float64) {
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
	for _, e := range f.engines {
		for _, r := range e.Executions() {
			out[r.Model] += float64(r.Tokens)
		}
	}
	return out
}

// countRequests returns how many requests run on the engines now and how many they have
// started so far.
func (f *shareFleet) countRequests() (now, started int) {
	for _, e := range f.engines {
		s, err := e.State()
		if err != nil {
			f.b.Fatal(err)
		}
		now += len(s.Running)
		started += len(e.Executions())
	}
	return now, started
}

// narrowShare returns the share of the tokens generated within a time that "narrow" gets.
func (f *shareFleet) narrowShare(d time.Duration) float64 {
	before := f.tokens()
	time.Sleep(d)
	after := f.tokens()
	narrow, wide := after["narrow"]-before["narrow"], after["wide"]-before["wide"]
	return narrow / (narrow + wide)
}

func (f *shareFleet) waitReady() {
	deadline := time.Now().Add(fleetReadyTimeout)
	for _, g := range []string{"narrow", "wide", "limited", "rated"} {
		for entry := range f.entries {
			for !f.call(f.b.Context(), entry, g, "ready") {
				if time.Now().After(deadline) {
					f.b.Fatalf("group %s is not served in time", g)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// setWeight changes the weight of a group over the admin interface.
func (f *shareFleet) setWeight(group string, weight float64) {
	body := fmt.Sprintf(`{"weight":%g,"queue_bound":1024}`, weight)
	req, err := http.NewRequestWithContext(f.b.Context(), http.MethodPut, "http://"+f.entries[0].AdminAddress()+"/admin/v1/table/groups/"+group, bytes.NewBufferString(body))
	if err != nil {
		f.b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+shareOperatorKey)
	req.Header.Set("If-Match", "1")
	resp, err := f.http.Do(req)
	if err != nil {
		f.b.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		f.b.Fatalf("edit failed with status %d: %s", resp.StatusCode, text)
	}
}

// BenchmarkShares measures the shares that two groups with weights 1:3 get of a running
// fleet when three endpoints of four serve the first, and how soon an edit of the weights
// to 3:3 takes effect.
// Use -benchtime 1x.
func BenchmarkShares(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	for range b.N {
		f := newShareFleet(b)
		f.waitReady()
		ctx, cancel := context.WithCancel(b.Context())
		var wg sync.WaitGroup
		f.runClosedLoop(ctx, &wg, "narrow", 150)
		f.runClosedLoop(ctx, &wg, "wide", 250)
		began := time.Now()
		for time.Since(began) < 90*time.Second {
			b.Logf("%3.0f s after the start: narrow has %.3f", time.Since(began).Seconds(), f.narrowShare(shareWindow))
		}
		before := f.narrowShare(30 * time.Second)
		b.ReportMetric(before, "share-at-1:3")
		b.ReportMetric(100*max(1-before/0.25, 1-(1-before)/0.75), "shortfall-at-1:3-%")
		f.setWeight("narrow", 3)
		began = time.Now()
		halfSeconds, nearSeconds := 0.0, 0.0
		for time.Since(began) < 90*time.Second {
			got, at := f.narrowShare(shareWindow), time.Since(began).Seconds()
			b.Logf("%3.0f s after the edit: narrow has %.3f", at, got)
			if halfSeconds == 0 && got >= (before+0.5)/2 {
				halfSeconds = at
			}
			if nearSeconds == 0 && got >= 0.5*0.95 {
				nearSeconds = at
			}
		}
		after := f.narrowShare(30 * time.Second)
		b.ReportMetric(halfSeconds, "s-to-half")
		b.ReportMetric(nearSeconds, "s-to-95%")
		b.ReportMetric(after, "share-at-3:3")
		b.ReportMetric(100*max(1-after/0.5, 1-(1-after)/0.5), "shortfall-at-3:3-%")
		cancel()
		wg.Wait()
	}
}

// BenchmarkLimits measures how much of a limit is used when one of two entries gets nine
// of ten requests, and the largest count seen on the engines.
func BenchmarkLimits(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	for range b.N {
		f := newShareFleet(b)
		f.waitReady()
		f.measureLimit("limited", demandFactor*concurrencyLimit/0.5) // a request runs for half a second
		time.Sleep(2 * time.Second)                                  // admitted requests end
		f.measureLimit("rated", demandFactor*rateLimit)
	}
}

func (f *shareFleet) measureLimit(group string, rate float64) {
	const settle, measure, poll = 20 * time.Second, 30 * time.Second, 5 * time.Millisecond
	ctx, cancel := context.WithCancel(f.b.Context())
	defer cancel()
	var wg sync.WaitGroup
	f.runOpenLoop(ctx, &wg, group, rate)
	maxRunning, sumRunning, samples, maxStartedPerSecond := 0, 0, 0, 0
	var startedCounts []int
	began := time.Now()
	startedBefore := 0
	for time.Since(began) < settle+measure {
		now, started := f.countRequests()
		maxRunning = max(maxRunning, now)
		startedCounts = append(startedCounts, started)
		if back := len(startedCounts) - int(time.Second/poll); back > 0 {
			maxStartedPerSecond = max(maxStartedPerSecond, started-startedCounts[back])
		}
		if time.Since(began) > settle {
			if samples == 0 {
				startedBefore = started
			}
			sumRunning += now
			samples++
		}
		time.Sleep(poll)
	}
	_, startedAfter := f.countRequests()
	f.b.ReportMetric(float64(maxRunning), group+"-most-running")
	f.b.ReportMetric(float64(sumRunning)/float64(samples), group+"-mean-running")
	f.b.ReportMetric(float64(maxStartedPerSecond), group+"-most-started-per-s")
	f.b.ReportMetric(float64(startedAfter-startedBefore)/measure.Seconds(), group+"-started/s")
	cancel()
	wg.Wait()
}
