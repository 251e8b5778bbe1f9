package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"chervilhead/internal/cmds"
	"chervilhead/internal/config"
	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/node"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/svcsim"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
)

// roleVariable is the environment variable that makes the test binary run as the product.
const roleVariable = "CHERVILHEAD_PROOF_ROLE"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) == "" {
		os.Exit(m.Run())
	}
	// The process must not outlive the test, which holds the other end of its standard input.
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	if err := cmds.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cmds.ExitCode(err))
	}
	os.Exit(0)
}

const (
	smokeEngines = 3
	// smokeTimeout bounds each wait; it is no latency requirement.
	smokeTimeout = 2 * time.Minute
)

// smoke is a fleet of real processes on loopback; the stand-ins run in the test process.
type smoke struct {
	*fleet
	t        *testing.T
	settings plat.Settings
	procs    map[string]*exec.Cmd
	ports    int
	dir      string
}

// address returns an unused loopback address. Its host part is derived from the process ID,
// so that other processes do not use the same ports.
func (s *smoke) address() string {
	s.ports++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16%64, pid>>8%256, 1+pid%254, 10000+s.ports)
}

func startSmoke(t *testing.T) *smoke {
	s := &smoke{t: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}, fleet: &fleet{svc: svcsim.New(100 * time.Millisecond)}}
	first := initialTable()
	p, srv, err := node.StartSimulatedPlatform(config.Platform{
		Listen: s.address(), HostLag: 100 * time.Millisecond, LoadsPerSecond: 100, LoadsAtOnce: 100,
		Table: config.Table{Groups: first.Groups, Models: first.Models, Services: first.Services, Keys: first.Keys},
	})
	s.must(err)
	t.Cleanup(srv.Close)
	s.plat = p
	base := "http://" + srv.Address()
	s.settings = plat.Settings{Table: base, Objects: base, Weights: base, Hosts: base, Timeout: time.Second}
	timing := config.Timing{TablePoll: time.Second, HostPoll: 200 * time.Millisecond, LeaseTerm: 2 * time.Second, OrderDelay: 200 * time.Millisecond, DrainDelay: 300 * time.Millisecond}
	for i := range smokeEngines {
		e, srv, err := node.StartSimulatedEngine(config.Engine{Listen: s.address(), Weights: base, Engine: engsim.Settings{
			ID: backendAddress(i), MemoryTotalBytes: 100, KVBytes: 10, Slots: 4, TokenInterval: 5 * time.Millisecond,
			PrefillPerToken: time.Millisecond, LoadBytesPerSecond: 1000, PrefixBlocks: 8, ChecksFencingToken: i%2 == 0, RestartDelay: 200 * time.Millisecond,
		}})
		s.must(err)
		t.Cleanup(srv.Close)
		s.engines = append(s.engines, e)
		s.addAgent(i, timing, config.Endpoint{URL: "http://" + srv.Address(), Slots: 4, QueueBound: 64, ChecksFencingToken: i%2 == 0})
	}
	svc, err := node.StartSimulatedService(config.Service{Listen: s.address()}, s.svc)
	s.must(err)
	t.Cleanup(svc.Close)
	s.addAgent(smokeEngines, timing, config.Endpoint{URL: "http://" + svc.Address(), Service: serviceName, Slots: 4, QueueBound: 64})
	for i := range entries {
		c := config.Entry{
			Role: "entry", ID: entryName(i), FailureDomain: "d0", Platform: s.settings, Timing: timing, Limits: config.DefaultRequestLimits(), LogLevel: "error",
			Listen: config.EntryListen{Callers: s.address(), Admin: s.address(), Peers: s.address()},
		}
		s.plat.Hosts.Set(store.Host{ID: c.ID, Role: store.RoleEntry, Address: c.Listen.Peers, FailureDomain: "d0", State: store.HostLive})
		s.write(c.ID, c)
		s.entries = append(s.entries, &entryProc{proc: &proc{id: c.Listen.Callers}})
	}
	t.Cleanup(func() {
		for id := range s.procs {
			s.stop(id, syscall.SIGKILL)
		}
	})
	for _, id := range []string{"a0", "a1", "a2", "a3", "e0", "e1"} {
		s.start(id)
	}
	s.waitReady()
	return s
}

func (s *smoke) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *smoke) addAgent(i int, timing config.Timing, ep config.Endpoint) {
	c := config.Agent{
		Role: "agent", ID: agentName(i), FailureDomain: fmt.Sprintf("d%d", i%2), Platform: s.settings, Timing: timing, Endpoint: ep, LogLevel: "error",
		Listen: config.AgentListen{Peers: s.address(), HTTP: s.address()},
	}
	s.plat.Hosts.Set(store.Host{ID: c.ID, Role: store.RoleAgent, Address: c.Listen.Peers, FailureDomain: c.FailureDomain, State: store.HostLive})
	s.write(c.ID, c)
}

func (s *smoke) file(id string) string { return filepath.Join(s.dir, id+".yaml") }

func (s *smoke) write(id string, settings any) {
	data, err := yaml.Marshal(settings)
	s.must(err)
	s.must(os.WriteFile(s.file(id), data, 0o600))
}

// start starts a process from its settings file.
func (s *smoke) start(id string) {
	role := map[byte]string{'a': "agent", 'e': "entry"}[id[0]]
	cmd := exec.Command(os.Args[0], role, "--settings", s.file(id))
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	cmd.Stderr = os.Stderr
	_, err := cmd.StdinPipe()
	s.must(err)
	s.must(cmd.Start())
	s.procs[id] = cmd
}

// stop sends a signal to a process and returns the result of waiting for it to exit.
func (s *smoke) stop(id string, sig syscall.Signal) error {
	cmd := s.procs[id]
	delete(s.procs, id)
	s.must(cmd.Process.Signal(sig))
	overdue := time.AfterFunc(smokeTimeout, func() { _ = cmd.Process.Kill() })
	defer overdue.Stop()
	return cmd.Wait()
}

// sendCall sends a call to an entry over the network.
func (s *smoke) sendCall(p *entryProc, c *call) {
	ctx, cancel := context.WithTimeout(context.Background(), smokeTimeout)
	defer cancel()
	req := c.request(ctx)
	req.RequestURI, req.URL.Scheme, req.URL.Host = "", "http", p.id
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.recordResult(c, &http.Response{}, "", true)
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	s.recordResult(c, res, string(body), err != nil && strings.Contains(err.Error(), "connection reset"))
}

// waitReady waits until every entry serves every model and the service.
func (s *smoke) waitReady() {
	deadline := time.Now().Add(smokeTimeout)
	for i, p := range s.entries {
		for j := range models + 1 {
			for n := 0; ; n++ {
				c := &call{id: fmt.Sprintf("ready-%d-%d-%d-%d", i, j, n, deadline.UnixNano()), model: modelName(j), maxTokens: 1, service: j == models}
				if s.sendCall(p, c); c.outcome == fault.OutcomeComplete {
					break
				}
				if time.Now().After(deadline) {
					s.t.Fatalf("%s is not served through %s: status %d, %s", c.model, p.id, c.status, c.body)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// sendDuring sends requests of several kinds through the given entries until during returns.
func (s *smoke) sendDuring(name string, through []*entryProc, during func()) {
	done := make(chan struct{})
	for i := range 8 {
		s.wg.Go(func() {
			for n := 0; ; n++ {
				c := &call{id: fmt.Sprintf("%s-%d-%d", name, i, n), model: modelName((i + n) % models), maxTokens: 1 + (37*n+11*i)%120, stream: n%2 == 0, chat: i == 2}
				switch i {
				case 3:
					c.nonIdempotent = true
				case 4:
					c.nonIdempotent, c.idempotencyKey = true, c.id
				case 5:
					c.service, c.nonIdempotent, c.stream = true, true, false
				}
				s.mu.Lock()
				s.calls = append(s.calls, c)
				s.mu.Unlock()
				s.sendCall(through[(i+n)%len(through)], c)
				if c.idempotencyKey != "" {
					again := c.resend()
					s.mu.Lock()
					s.calls = append(s.calls, again)
					s.mu.Unlock()
					s.sendCall(through[(i+n+1)%len(through)], again)
				}
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // lets requests be in flight
	during()
	close(done)
	s.wg.Wait()
}

// restartGracefully stops processes by SIGTERM and restarts them.
func (s *smoke) restartGracefully(ids ...string) {
	for _, id := range ids {
		if err := s.stop(id, syscall.SIGTERM); err != nil {
			s.violate("R7: %s ended with %v after SIGTERM", id, err)
		}
		s.start(id)
	}
}

// TestSmoke guards against failures that only real processes, sockets and signals show.
func TestSmoke(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := startSmoke(t)
	all := s.entries
	s.sendDuring("agents", all, func() { s.restartGracefully("a0", "a3", "a1"); s.waitReady() })
	// A draining entry finishes its calls, and the load balancer sends it no new ones.
	s.sendDuring("entry", all[1:], func() { s.restartGracefully("e0"); s.waitReady() })
	s.checkCalls(calm)
	s.sendDuring("edit", all, s.edit)
	s.sendDuring("kills", all, func() {
		for _, id := range []string{"a1", "e1", "a3", "a0"} {
			_ = s.stop(id, syscall.SIGKILL)
			s.start(id)
			s.waitReady()
		}
		s.engines[2].Crash()
		s.waitReady()
	})
	s.checkCalls(faulty)
	s.checkMemory()
	s.checkEdits()
	for _, violation := range s.violations {
		t.Error(violation)
	}
	t.Logf("%d calls", len(s.calls))
}

// edit makes two edits of the same row, one after the other.
func (s *smoke) edit() {
	for i := range 2 {
		t, err := edit.LoadTable(s.t.Context(), s.plat.Table)
		s.must(err)
		row, _ := t.Group(groupName)
		row.Weight = float64(2 + i)
		id := fmt.Sprintf("edit-%d", i)
		res, err := edit.New(s.plat.Table, time.Now).Apply(s.t.Context(), edit.Request{ID: id, Who: "op", Ops: []edit.Op{{Sheet: table.SheetGroups, Name: groupName, Row: row, Expect: row.Revision}}})
		s.must(err)
		s.accepted, s.newest = append(s.accepted, id), &acceptedEdit{res.Entry.Revision, row.Weight}
	}
}
