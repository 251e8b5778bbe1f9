package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/netsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/standin/svcsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

const (
	entries      = 2
	engines      = 4
	serviceAgent = engines
	models       = 4
	slots        = 2
	retention    = 6 * time.Second
	serviceName  = "confirm"
	callerKey    = "key"
	groupName    = "g"
	// limitedGroup has a hard limit of concurrencyLimit requests in flight.
	limitedGroup     = "capped"
	limitedKey       = "capped-key"
	concurrencyLimit = 3
	adapterName      = "ad"
	// poisonWord in a prompt crashes the engine that runs it.
	poisonWord    = "poison"
	tokenInterval = 20 * time.Millisecond
	hostListLag   = time.Second
	// platformDelay is the duration of a call to the platform; it lets edits overlap.
	platformDelay = 2 * time.Millisecond
	linkDelay     = time.Millisecond
	// callGap is the time between the calls of one step.
	callGap = 37 * time.Microsecond
)

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

func agentName(i int) string { return fmt.Sprintf("a%d", i) }

func backendAddress(i int) string { return fmt.Sprintf("back%d:80", i) }

// fleet is a whole system on one in-memory network.
type fleet struct {
	kind caseKind
	net  *netsim.Network
	plat *pltsim.Platform
	// table, objects, weights and hosts control the faults of the platform's services.
	table, objects, weights, hosts *pltsim.Faults
	log                            *logrus.Entry
	engines                        []*engsim.Engine
	svc                            *svcsim.Service
	servers                        []*http.Server

	mu      sync.Mutex
	entries []*entryProc
	agents  []*agentProc
	leaving map[string]drainStart
	// hostListOutageEnd is the end of the last outage of the host list alone.
	hostListOutageEnd time.Time
	// limitedInFlight holds the ids of the limited group's calls that an agent has accepted
	// and whose callers still wait.
	limitedInFlight map[string]bool
	// attempts holds the ids of attempts that an agent has accepted.
	attempts   map[string]bool
	violations []string
	// startedProcs is the number of processes started so far; it seeds the next one.
	startedProcs int
	calls        []*call
	// resultLog has a line for each finished call: time, id, outcome, status and body size.
	resultLog []string
	// accepted holds the ids of accepted edits; newest is the one with the highest revision.
	accepted     []string
	newest       *acceptedEdit
	wg           sync.WaitGroup
	replacements sync.WaitGroup
}

func newFleet(k caseKind) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	faults := &pltsim.Faults{}
	f := &fleet{
		kind: k,
		net:  netsim.New(), log: log.WithField("test", "proof"), svc: svcsim.New(1500 * time.Millisecond),
		table: faults.ForService(pltsim.ServiceTable), objects: faults.ForService(pltsim.ServiceObjects), weights: faults.ForService(pltsim.ServiceWeights), hosts: faults.ForService(pltsim.ServiceHosts),
		leaving: map[string]drainStart{}, limitedInFlight: map[string]bool{}, attempts: map[string]bool{},
	}
	f.plat = &pltsim.Platform{
		Faults: faults, Table: pltsim.NewTable(faults), Objects: pltsim.NewObjects(faults),
		Weights: pltsim.NewWeights(faults, 2, 3), Hosts: pltsim.NewHosts(faults, hostListLag),
	}
	f.net.MaxExtraDelay = linkDelay / 10
	f.net.SetFault("", "", netsim.Fault{Delay: linkDelay})
	f.seedTable()
	f.table.SetDelay(platformDelay)
	for i := range engines {
		e := engsim.New(engsim.Settings{
			ID: backendAddress(i), MemoryTotalBytes: 100, KVBytes: 10, Slots: slots, TokenInterval: tokenInterval + time.Duration(i)*callGap,
			PrefillPerToken: time.Millisecond, LoadBytesPerSecond: 30, PrefixBlocks: 8, ChecksFencingToken: i%2 == 0, RestartDelay: 2 * time.Second,
			CrashOn: poisonWord,
			Resume:  engsim.Resume{Enabled: i < engines/2, Grace: 2 * time.Second},
		}, f.plat.Weights)
		f.engines = append(f.engines, e)
		f.serve(backendAddress(i), e.Handler())
	}
	f.serve(backendAddress(serviceAgent), f.svc.Handler())
	for i := range engines + 1 {
		f.setHost(agentName(i), store.RoleAgent, store.HostLive)
		f.agents = append(f.agents, f.startAgent(i))
	}
	for i := range entries {
		f.setHost(entryName(i), store.RoleEntry, store.HostLive)
		f.entries = append(f.entries, f.startEntry(entryName(i)))
	}
	return f
}

func entryName(i int) string { return fmt.Sprintf("e%d", i) }

func (f *fleet) setHost(id string, role store.Role, state store.HostState) {
	f.plat.Hosts.Set(store.Host{ID: id, Role: role, Address: id, FailureDomain: "d0", State: state})
}

// initialTable returns a table whose models fit twice each, even with one engine missing.
func initialTable() table.Table {
	groups := []string{groupName, limitedGroup}
	ms := []table.Model{{Name: adapterName, Base: modelName(0), Groups: groups, Version: "1", MemoryBytes: 3, LeastCopies: 2}}
	for i := range models {
		ms = append(ms, table.Model{Name: modelName(i), Groups: groups, Version: "1", MemoryBytes: 25, LeastCopies: 2})
	}
	return table.New(0, []table.Group{{Name: groupName, Weight: 1, QueueBound: 64}, {Name: limitedGroup, Weight: 1, QueueBound: 64, MaxConcurrent: concurrencyLimit}}, ms,
		[]table.Service{{Name: serviceName, Groups: groups, NonIdempotent: []table.Route{{Method: http.MethodPost, Path: "/run"}}}},
		[]table.Key{{Name: "k", Hash: ident.HashKey(callerKey), Group: groupName}, {Name: "c", Hash: ident.HashKey(limitedKey), Group: limitedGroup}})
}

// seedTable writes the initial table and its backup in the object store.
func (f *fleet) seedTable() {
	ctx := context.Background()
	if _, err := edit.SeedTable(ctx, f.plat.Table, initialTable()); err != nil {
		panic(err)
	}
	first, err := edit.LoadTable(ctx, f.plat.Table)
	if err != nil {
		panic(err)
	}
	if err := edit.SaveBackup(ctx, f.plat.Objects, edit.TableDocument(first)); err != nil {
		panic(err)
	}
}

func (f *fleet) serve(address string, h http.Handler) {
	l, err := f.net.Listen(address)
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: h}
	f.servers = append(f.servers, srv)
	go srv.Serve(l)
}

func (f *fleet) close() {
	for _, e := range f.entries {
		e.shutDown(false)
		e.e.Close()
	}
	for _, a := range f.agents {
		a.close(false)
	}
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.net.ResetConnections("", "")
	time.Sleep(2 * time.Hour) // virtual time: lets the retention timers of answers expire
}

func (f *fleet) violate(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// watchVersions checks that document versions of a process never decrease.
func (f *fleet) watchVersions(p *proc) {
	newest := map[string]uint64{}
	p.docs.Subscribe(func(d gossip.Document) { // called with the store locked
		if d.Version < newest[d.Kind] {
			f.violate("R8: document %s of %s went back from version %d to %d", d.Kind, p.id, newest[d.Kind], d.Version)
		}
		newest[d.Kind] = d.Version
	})
}

// drainStart is when and how an agent was told to drain.
type drainStart struct {
	at     time.Time
	signal bool
}

// checkAccepted checks an accepted attempt: the agent is not past the grace period of its
// drain, and the group's limit holds.
func (f *fleet) checkAccepted(id string, s wire.Start) {
	f.mu.Lock()
	if f.attempts[s.AttemptID] { // a duplicate message
		f.mu.Unlock()
		return
	}
	f.attempts[s.AttemptID] = true
	drain, ok := f.leaving[id]
	from, grace := drain.at, 3*time.Second
	if !drain.signal {
		// The host list shows the change late, and a paused agent reads it only after its pause.
		grace += hostListLag
		for _, p := range f.agents {
			if end := p.gate.pauseEnd(); p.id == id && end.After(from) {
				from = end
			}
		}
		if f.hostListOutageEnd.After(from) {
			from = f.hostListOutageEnd
		}
	}
	inFlight := f.countLimited(s)
	f.mu.Unlock()
	if ok && time.Since(from) > grace {
		f.violate("R6: %s accepted an attempt %s after it was told to drain", id, time.Since(drain.at))
	}
	if inFlight > concurrencyLimit {
		f.violate("limit: %d requests of group %s are in flight", inFlight, limitedGroup)
	}
}

// countLimited returns the number of requests of the limited group in flight, this one
// included, or 0 for another group. A request whose call has ended does not count. f.mu is held.
func (f *fleet) countLimited(s wire.Start) int {
	if s.Group != limitedGroup {
		return 0
	}
	for _, c := range f.calls {
		if c.limited && !c.done && bytes.Contains(s.Body, []byte(strconv.Quote(c.prompt()))) {
			f.limitedInFlight[c.id] = true
		}
	}
	return len(f.limitedInFlight)
}
