package load

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/node"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

// The fleet of processes: the models and groups of the target size.
const (
	procModels = 530
	procGroups = 100
	procPhase  = 10 * time.Second
)

// procSize is the size of a fleet of processes.
type procSize struct {
	entries, agents, models int
	// copies is the least number of copies of each model.
	copies int
	// interval is the engines' time per token.
	interval time.Duration
}

// proc is one running process of the system.
type proc struct {
	id, role, metrics string
	cmd               *exec.Cmd
}

// procs is a platform and engines in this process with entries and agents as processes beside it.
type procs struct {
	b        *testing.B
	bin, dir string
	platform *pltsim.Platform
	settings plat.Settings
	all      []*proc
	callers  []string
	engines  []string
}

func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newProcs(b *testing.B, size procSize) *procs {
	p := &procs{b: b, dir: b.TempDir()}
	p.bin = filepath.Join(p.dir, "chervilhead")
	if out, err := exec.Command("go", "build", "-o", p.bin, "chervilhead/cmd/chervilhead").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	t := config.Table{Keys: []table.Key{{Name: "key", Hash: ident.HashKey(fleetKey), Group: "group-00"}}}
	for i := range procGroups {
		t.Groups = append(t.Groups, table.Group{Name: fmt.Sprintf("group-%02d", i), Weight: 1, QueueBound: 1024})
	}
	for i := range size.models {
		t.Models = append(t.Models, table.Model{
			Name: fmt.Sprintf("model-%03d", i), Groups: []string{"group-00"}, Version: "v1", MemoryBytes: fleetModelBytes, LeastCopies: size.copies,
		})
	}
	pl, srv, err := node.StartSimulatedPlatform(config.Platform{Listen: "127.0.0.1:0", LoadsPerSecond: 10000, LoadsAtOnce: 10000, Table: t})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(srv.Close)
	base := "http://" + srv.Address()
	p.platform, p.settings = pl, plat.Settings{Table: base, Objects: base, Weights: base, Hosts: base, Timeout: time.Second}
	b.Cleanup(p.stop)
	for i := range size.agents {
		p.addAgent(i, size.interval, int64(size.models))
	}
	for i := range size.entries {
		p.addEntry(i)
	}
	return p
}

func (p *procs) addAgent(i int, interval time.Duration, models int64) {
	e, srv, err := node.StartSimulatedEngine(config.Engine{Listen: "127.0.0.1:0", Weights: p.settings.Weights, Engine: engsim.Settings{
		ID: fmt.Sprintf("engine-%d", i), MemoryTotalBytes: (2*models + 8) * fleetModelBytes, KVBytes: fleetModelBytes, Slots: 32,
		TokenInterval: interval, LoadBytesPerSecond: 1 << 50, ChecksFencingToken: true,
	}})
	if err != nil {
		p.b.Fatal(err)
	}
	p.b.Cleanup(func() { e.Close(); srv.Close() })
	p.engines = append(p.engines, "http://"+srv.Address())
	cfg := config.Agent{
		Role: "agent", ID: fmt.Sprintf("agent-%03d", i), FailureDomain: fmt.Sprintf("domain-%02d", i%12), Platform: p.settings, Timing: config.DefaultTiming(),
		Listen:   config.AgentListen{Peers: freeAddress(p.b), HTTP: freeAddress(p.b)},
		Endpoint: config.Endpoint{URL: "http://" + srv.Address(), Slots: 32, QueueBound: 1024, ChecksFencingToken: true}, LogLevel: "warning",
	}
	p.start("agent", cfg.ID, cfg.Listen.HTTP, cfg)
	p.platform.Hosts.Set(store.Host{ID: cfg.ID, Role: store.RoleAgent, Address: cfg.Listen.Peers, FailureDomain: cfg.FailureDomain, State: store.HostLive})
}

func (p *procs) addEntry(i int) {
	cfg := config.Entry{
		Role: "entry", ID: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%02d", i), Platform: p.settings, Timing: config.DefaultTiming(),
		Limits: config.DefaultRequestLimits(), LoadsPerSecond: 10000, LogLevel: "warning",
		Listen: config.EntryListen{Callers: freeAddress(p.b), Admin: freeAddress(p.b), Peers: freeAddress(p.b)},
	}
	p.callers = append(p.callers, "http://"+cfg.Listen.Callers)
	p.start("entry", cfg.ID, cfg.Listen.Admin, cfg)
	p.platform.Hosts.Set(store.Host{ID: cfg.ID, Role: store.RoleEntry, Address: cfg.Listen.Peers, FailureDomain: cfg.FailureDomain, State: store.HostLive})
}

func (p *procs) start(role, id, metrics string, cfg any) {
	data, err := yaml.Marshal(cfg)
	if err != nil {
		p.b.Fatal(err)
	}
	file := filepath.Join(p.dir, id+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		p.b.Fatal(err)
	}
	cmd := exec.Command(p.bin, role, "--settings", file)
	cmd.Stderr = os.Stderr
	// One core makes the figures comparable with the aims, which are per core.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := cmd.Start(); err != nil {
		p.b.Fatal(err)
	}
	p.all = append(p.all, &proc{id: id, role: role, metrics: metrics, cmd: cmd})
}

func (p *procs) stop() {
	for _, q := range p.all {
		_ = q.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, q := range p.all {
		late := time.AfterFunc(20*time.Second, func() { _ = q.cmd.Process.Kill() })
		_ = q.cmd.Wait()
		late.Stop()
	}
}

// scrape returns the metrics of a process by name with labels.
func (q *proc) scrape() (map[string]float64, error) {
	resp, err := http.Get("http://" + q.metrics + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, ok := strings.Cut(s.Text(), "} ")
		if ok {
			name += "}"
		} else if name, value, ok = strings.Cut(s.Text(), " "); !ok || name == "#" {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out, nil
}

// sums adds up the metrics of all processes by role.
func (p *procs) sums() map[string]map[string]float64 {
	out := map[string]map[string]float64{"entry": {}, "agent": {}}
	for _, q := range p.all {
		m, err := q.scrape()
		if err != nil {
			p.b.Fatal(err)
		}
		out[q.role]["processes"]++
		for k, v := range m {
			out[q.role][k] += v
		}
	}
	return out
}

// settle returns once every model has its copies.
func (p *procs) settle(models int) {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(time.Second)
		ready := true
		for _, q := range p.all {
			_, err := q.scrape()
			ready = ready && err == nil
		}
		if ready && p.sums()["agent"]["chervilhead_agent_models_resident"] >= float64(models) {
			time.Sleep(5 * time.Second)
			return
		}
	}
	p.b.Logf("only %v models are resident", p.sums()["agent"]["chervilhead_agent_models_resident"])
}

// measure reports what each process of a role used during f.
func (p *procs) measure(name string, f func()) (before, after map[string]map[string]float64) {
	before = p.sums()
	began := time.Now()
	f()
	secs := time.Since(began).Seconds()
	after = p.sums()
	for _, role := range []string{"entry", "agent"} {
		n := after[role]["processes"]
		diff := func(key string) float64 { return (after[role][key] - before[role][key]) / n / secs }
		p.b.ReportMetric(100*diff("process_cpu_seconds_total"), name+"-"+role+"-%core")
		p.b.ReportMetric(after[role]["process_resident_memory_bytes"]/n/(1<<20), name+"-"+role+"-MB")
		p.b.ReportMetric(diff(`chervilhead_peer_bytes_total{direction="sent"}`), name+"-"+role+"-sentB/s")
		p.b.ReportMetric(diff(`chervilhead_peer_bytes_total{direction="received"}`), name+"-"+role+"-receivedB/s")
		for _, k := range slices.Sorted(maps.Keys(after[role])) {
			if d := diff(k); strings.HasPrefix(k, "chervilhead_platform_") && d > 0 {
				p.b.Logf("%s %s %s: %.3f/s per process", name, role, k, d)
			}
		}
	}
	return before, after
}

// BenchmarkControl measures the control work of running processes at several sizes, idle and while rows are edited.
// The figures of idle processes are steady rates, so that one iteration suffices: use -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	if testing.Short() {
		b.Skip("starts many processes")
	}
	for _, n := range []int{4, 8, 16, 32, 96} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			p := newProcs(b, procSize{entries: 3, agents: n, models: procModels, copies: 2, interval: 20 * time.Millisecond})
			p.settle(2 * procModels)
			for range b.N {
				p.measure("idle", func() { time.Sleep(procPhase) })
				p.measure("churn", func() { p.edit(b, procPhase) })
			}
		})
	}
}

// edit changes a group's weight every second, which is 125 times the target's rate.
func (p *procs) edit(b *testing.B, d time.Duration) {
	ed := edit.New(p.platform.Table, time.Now)
	g := table.Group{Name: "group-01", Weight: 1, QueueBound: 1024}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		t, err := edit.LoadTable(b.Context(), p.platform.Table)
		if err != nil {
			b.Fatal(err)
		}
		cur, _ := t.Group(g.Name)
		g.Weight++
		req := edit.Request{
			ID: ident.New("edit-"), Who: "benchmark",
			Ops: []edit.Op{{Sheet: table.SheetGroups, Name: g.Name, Row: g, Expect: cur.Revision}},
		}
		if _, err := ed.Apply(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRelay measures the processor time of entries and agents per relayed token at several numbers of streams.
func BenchmarkRelay(b *testing.B) {
	if testing.Short() {
		b.Skip("starts processes")
	}
	for _, streams := range []float64{8, 30, 60, 100} {
		b.Run(fmt.Sprintf("streams=%.0f", streams), func(b *testing.B) {
			benchRelay(b, procSize{entries: 3, agents: 4, models: 1, copies: 2, interval: 2 * time.Millisecond}, streams)
		})
	}
}

// BenchmarkRelayOne measures the same on a single entry, whose core more streams bring nearer to its limit.
func BenchmarkRelayOne(b *testing.B) {
	if testing.Short() {
		b.Skip("starts processes")
	}
	for _, streams := range []float64{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("streams=%.0f", streams), func(b *testing.B) {
			benchRelay(b, procSize{entries: 1, agents: 16, models: 1, copies: 16, interval: 2 * time.Millisecond}, streams)
		})
	}
}

func benchRelay(b *testing.B, size procSize, streams float64) {
	p := newProcs(b, size)
	p.settle(size.copies)
	cfg := p.load(size.interval, streams, 10*time.Second)
	for range b.N {
		var sum Summary
		before, after := p.measure("load", func() { sum = p.run(cfg) })
		for _, role := range []string{"entry", "agent"} {
			cpu := after[role]["process_cpu_seconds_total"] - before[role]["process_cpu_seconds_total"]
			b.ReportMetric(1e6*cpu/float64(sum.Tokens), role+"-us/token")
		}
		b.ReportMetric(sum.TokensPerSecond, "tokens/s")
		b.Logf("%s", sum.Line())
	}
}

// load returns settings that hold a number of streams open in the mean.
func (p *procs) load(interval time.Duration, streams float64, d time.Duration) Settings {
	cfg := DefaultSettings()
	cfg.Targets, cfg.Models, cfg.Keys, cfg.StreamShare = p.callers, []string{"model-000"}, []string{fleetKey}, 1
	cfg.Tokens, cfg.Duration = 500, d
	cfg.Rate = streams / (float64(cfg.Tokens) * interval.Seconds())
	return cfg
}

func (p *procs) run(cfg Settings) Summary {
	res, err := Run(p.b.Context(), cfg, nil)
	if err != nil {
		p.b.Fatal(err)
	}
	return res.FinalSummary()
}
