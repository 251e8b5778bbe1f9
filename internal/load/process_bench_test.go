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

// The numbers of models and groups at the target size, and the length of a measurement.
const (
	targetModels  = 530
	targetGroups  = 100
	phaseDuration = 10 * time.Second
)

// processFleetSize describes a fleet of processes.
type processFleetSize struct {
	entries, agents, models int
	// replicas is the least number of replicas of each model.
	replicas int
	// tokenInterval is the engines' time per token.
	tokenInterval time.Duration
}

// process is one running entry or agent.
type process struct {
	id, role, metricsAddress string
	cmd                      *exec.Cmd
}

// processFleet is a simulated platform and engines in this process, with entries and
// agents as child processes.
type processFleet struct {
	b                *testing.B
	bin, dir         string
	platform         *pltsim.Platform
	platformSettings plat.Settings
	processes        []*process
	targets          []string
	engines          []string
}

func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newProcessFleet(b *testing.B, size processFleetSize) *processFleet {
	p := &processFleet{b: b, dir: b.TempDir()}
	p.bin = filepath.Join(p.dir, "chervilhead")
	if out, err := exec.Command("go", "build", "-o", p.bin, "chervilhead/cmd/chervilhead").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	t := config.Table{Keys: []table.Key{{Name: "key", Hash: ident.HashKey(fleetKey), Group: "group-00"}}}
	for i := range targetGroups {
		t.Groups = append(t.Groups, table.Group{Name: fmt.Sprintf("group-%02d", i), Weight: 1, QueueBound: 1024})
	}
	for i := range size.models {
		t.Models = append(t.Models, table.Model{
			Name: fmt.Sprintf("model-%03d", i), Groups: []string{"group-00"}, Version: "v1", MemoryBytes: fleetModelBytes, LeastCopies: size.replicas,
		})
	}
	pl, srv, err := node.StartSimulatedPlatform(config.Platform{Listen: "127.0.0.1:0", LoadsPerSecond: 10000, LoadsAtOnce: 10000, Table: t})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(srv.Close)
	base := "http://" + srv.Address()
	p.platform, p.platformSettings = pl, plat.Settings{Table: base, Objects: base, Weights: base, Hosts: base, Timeout: time.Second}
	b.Cleanup(p.stop)
	for i := range size.agents {
		p.addAgent(i, size.tokenInterval, int64(size.models))
	}
	for i := range size.entries {
		p.addEntry(i)
	}
	return p
}

func (p *processFleet) addAgent(i int, interval time.Duration, models int64) {
	e, srv, err := node.StartSimulatedEngine(config.Engine{Listen: "127.0.0.1:0", Weights: p.platformSettings.Weights, Engine: engsim.Settings{
		ID: fmt.Sprintf("engine-%d", i), MemoryTotalBytes: (2*models + 8) * fleetModelBytes, KVBytes: fleetModelBytes, Slots: 32,
		TokenInterval: interval, LoadBytesPerSecond: 1 << 50, ChecksFencingToken: true,
	}})
	if err != nil {
		p.b.Fatal(err)
	}
	p.b.Cleanup(func() { e.Close(); srv.Close() })
	p.engines = append(p.engines, "http://"+srv.Address())
	cfg := config.Agent{
		Role: "agent", ID: fmt.Sprintf("agent-%03d", i), FailureDomain: fmt.Sprintf("domain-%02d", i%12), Platform: p.platformSettings, Timing: config.DefaultTiming(),
		Listen:   config.AgentListen{Peers: freeAddress(p.b), HTTP: freeAddress(p.b)},
		Endpoint: config.Endpoint{URL: "http://" + srv.Address(), Slots: 32, QueueBound: 1024, ChecksFencingToken: true}, LogLevel: "warning",
	}
	p.start("agent", cfg.ID, cfg.Listen.HTTP, cfg)
	p.platform.Hosts.Set(store.Host{ID: cfg.ID, Role: store.RoleAgent, Address: cfg.Listen.Peers, FailureDomain: cfg.FailureDomain, State: store.HostLive})
}

func (p *processFleet) addEntry(i int) {
	cfg := config.Entry{
		Role: "entry", ID: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%02d", i), Platform: p.platformSettings, Timing: config.DefaultTiming(),
		Limits: config.DefaultRequestLimits(), LoadsPerSecond: 10000, LogLevel: "warning",
		Listen: config.EntryListen{Callers: freeAddress(p.b), Admin: freeAddress(p.b), Peers: freeAddress(p.b)},
	}
	p.targets = append(p.targets, "http://"+cfg.Listen.Callers)
	p.start("entry", cfg.ID, cfg.Listen.Admin, cfg)
	p.platform.Hosts.Set(store.Host{ID: cfg.ID, Role: store.RoleEntry, Address: cfg.Listen.Peers, FailureDomain: cfg.FailureDomain, State: store.HostLive})
}

func (p *processFleet) start(role, id, metrics string, cfg any) {
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
	// One core per process, as the performance targets are per core.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := cmd.Start(); err != nil {
		p.b.Fatal(err)
	}
	p.processes = append(p.processes, &process{id: id, role: role, metricsAddress: metrics, cmd: cmd})
}

func (p *processFleet) stop() {
	for _, q := range p.processes {
		_ = q.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, q := range p.processes {
		killTimer := time.AfterFunc(20*time.Second, func() { _ = q.cmd.Process.Kill() })
		_ = q.cmd.Wait()
		killTimer.Stop()
	}
}

// scrape returns the metrics of a process, keyed by name with labels.
func (q *process) scrape() (map[string]float64, error) {
	resp, err := http.Get("http://" + q.metricsAddress + "/metrics")
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

// metricsByRole returns the sums of the metrics over the processes of each role; the
// key "processes" holds their number.
func (p *processFleet) metricsByRole() map[string]map[string]float64 {
	out := map[string]map[string]float64{"entry": {}, "agent": {}}
	for _, q := range p.processes {
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

// awaitReplicas waits until the agents report a number of replicas as resident. After
// 30 s it logs how many are and returns.
func (p *processFleet) awaitReplicas(replicas int) {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(time.Second)
		ready := true
		for _, q := range p.processes {
			_, err := q.scrape()
			ready = ready && err == nil
		}
		if ready && p.metricsByRole()["agent"]["chervilhead_agent_models_resident"] >= float64(replicas) {
			time.Sleep(5 * time.Second)
			return
		}
	}
	p.b.Logf("only %v replicas are resident", p.metricsByRole()["agent"]["chervilhead_agent_models_resident"])
}

// measureProcesses runs f and reports the resources that each process of a role used meanwhile, as means.
func (p *processFleet) measureProcesses(name string, f func()) (before, after map[string]map[string]float64) {
	before = p.metricsByRole()
	start := time.Now()
	f()
	secs := time.Since(start).Seconds()
	after = p.metricsByRole()
	for _, role := range []string{"entry", "agent"} {
		n := after[role]["processes"]
		rate := func(key string) float64 { return (after[role][key] - before[role][key]) / n / secs }
		p.b.ReportMetric(100*rate("process_cpu_seconds_total"), name+"-"+role+"-%core")
		p.b.ReportMetric(after[role]["process_resident_memory_bytes"]/n/(1<<20), name+"-"+role+"-MB")
		p.b.ReportMetric(rate(`chervilhead_peer_bytes_total{direction="sent"}`), name+"-"+role+"-sentB/s")
		p.b.ReportMetric(rate(`chervilhead_peer_bytes_total{direction="received"}`), name+"-"+role+"-receivedB/s")
		for _, k := range slices.Sorted(maps.Keys(after[role])) {
			if d := rate(k); strings.HasPrefix(k, "chervilhead_platform_") && d > 0 {
				p.b.Logf("%s %s %s: %.3f/s per process", name, role, k, d)
			}
		}
	}
	return before, after
}

// BenchmarkControl measures the control plane's cost in running processes at several
// fleet sizes, idle and while rows are edited. Idle processes have steady rates, so that
// one iteration suffices: use -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	if testing.Short() {
		b.Skip("starts many processes")
	}
	for _, n := range []int{4, 8, 16, 32, 96} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			p := newProcessFleet(b, processFleetSize{entries: 3, agents: n, models: targetModels, replicas: 2, tokenInterval: 20 * time.Millisecond})
			p.awaitReplicas(2 * targetModels)
			for range b.N {
				p.measureProcesses("idle", func() { time.Sleep(phaseDuration) })
				p.measureProcesses("churn", func() { p.editRows(b, phaseDuration) })
			}
		})
	}
}

// editRows changes a group's weight every second, 125 times the target rate of edits.
func (p *processFleet) editRows(b *testing.B, d time.Duration) {
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

// BenchmarkRelay measures the CPU time of entries and agents per relayed token at several numbers of streams.
func BenchmarkRelay(b *testing.B) {
	if testing.Short() {
		b.Skip("starts processes")
	}
	for _, streams := range []float64{8, 30, 60, 100} {
		b.Run(fmt.Sprintf("streams=%.0f", streams), func(b *testing.B) {
			benchRelay(b, processFleetSize{entries: 3, agents: 4, models: 1, replicas: 2, tokenInterval: 2 * time.Millisecond}, streams)
		})
	}
}

// BenchmarkRelayOne measures the same with a single entry, which more streams bring
// closer to saturating its core.
func BenchmarkRelayOne(b *testing.B) {
	if testing.Short() {
		b.Skip("starts processes")
	}
	for _, streams := range []float64{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("streams=%.0f", streams), func(b *testing.B) {
			benchRelay(b, processFleetSize{entries: 1, agents: 16, models: 1, replicas: 16, tokenInterval: 2 * time.Millisecond}, streams)
		})
	}
}

func benchRelay(b *testing.B, size processFleetSize, streams float64) {
	p := newProcessFleet(b, size)
	p.awaitReplicas(size.replicas)
	cfg := p.loadSettings(size.tokenInterval, streams, 10*time.Second)
	for range b.N {
		var sum Summary
		before, after := p.measureProcesses("load", func() { sum = p.runLoad(cfg) })
		for _, role := range []string{"entry", "agent"} {
			cpu := after[role]["process_cpu_seconds_total"] - before[role]["process_cpu_seconds_total"]
			b.ReportMetric(1e6*cpu/float64(sum.Tokens), role+"-us/token")
		}
		b.ReportMetric(sum.TokensPerSecond, "tokens/s")
		b.Logf("%s", sum.Line())
	}
}

// loadSettings returns settings that keep a number of streams open on average.
func (p *processFleet) loadSettings(interval time.Duration, streams float64, d time.Duration) Settings {
	cfg := DefaultSettings()
	cfg.Targets, cfg.Models, cfg.Keys, cfg.StreamShare = p.targets, []string{"model-000"}, []string{fleetKey}, 1
	cfg.Tokens, cfg.Duration = 500, d
	cfg.Rate = streams / (float64(cfg.Tokens) * interval.Seconds())
	return cfg
}

func (p *processFleet) runLoad(cfg Settings) Summary {
	res, err := Run(p.b.Context(), cfg, nil)
	if err != nil {
		p.b.Fatal(err)
	}
	return res.FinalSummary()
}
