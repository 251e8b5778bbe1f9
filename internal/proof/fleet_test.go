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
	// A group with a hard limit on the requests in flight.
	cappedName  = "capped"
	cappedKey   = "capped-key"
	cappedLimit = 3
	adapterName = "ad"
	// poisonWord crashes an engine that runs a prompt with it.
	poisonWord = "poison"
	tokenTime  = 20 * time.Millisecond
	hostLag    = time.Second
	// platformDelay is how long a call to the platform takes; edits overlap in it.
	platformDelay = 2 * time.Millisecond
	linkDelay     = time.Millisecond
	// callGap is between two calls that a step sends at once.
	callGap = 37 * time.Microsecond
)

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

func agentName(i int) string { return fmt.Sprintf("a%d", i) }

func backName(i int) string { return fmt.Sprintf("back%d:80", i) }

// fleet is a whole system on one network in memory.
type fleet struct {
	kind kind
	net  *netsim.Network
	plat *pltsim.Platform
	// table, objects, weights and hosts are the faults of the platform's services.
	table, objects, weights, hosts *pltsim.Faults
	log                            *logrus.Entry
	engines                        []*engsim.Engine
	svc                            *svcsim.Service
	servers                        []*http.Server

	mu      sync.Mutex
	entries []*entryProc
	agents  []*agentProc
	leaving map[string]leaving
	// hostsBack is when the last outage of the host list alone ends.
	hostsBack time.Time
	// capped holds the ids of the limited group's requests that an agent has accepted
	// and that have not ended for their callers.
	capped map[string]bool
	// attempts holds the ids of accepted attempts.
	attempts map[string]bool
	broken   []string
	// started counts the processes that were started.
	started int
	calls   []*call
	// ends is the trace of the run: when each call ended and how.
	ends []string
	// accepted holds the ids of accepted edits; newest is the one with the highest revision.
	accepted []string
	newest   *accepted
	wg       sync.WaitGroup
	stops    sync.WaitGroup
}

func newFleet(k kind) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	faults := &pltsim.Faults{}
	f := &fleet{
		kind: k,
		net:  netsim.New(), log: log.WithField("test", "proof"), svc: svcsim.New(1500 * time.Millisecond),
		table: faults.ForService(pltsim.ServiceTable), objects: faults.ForService(pltsim.ServiceObjects), weights: faults.ForService(pltsim.ServiceWeights), hosts: faults.ForService(pltsim.ServiceHosts),
		leaving: map[string]leaving{}, capped: map[string]bool{}, attempts: map[string]bool{},
	}
	f.plat = &pltsim.Platform{
		Faults: faults, Table: pltsim.NewTable(faults), Objects: pltsim.NewObjects(faults),
		Weights: pltsim.NewWeights(faults, 2, 3), Hosts: pltsim.NewHosts(faults, hostLag),
	}
	f.net.MaxExtraDelay = linkDelay / 10
	f.net.SetFault("", "", netsim.Fault{Delay: linkDelay})
	f.seed()
	f.table.SetDelay(platformDelay)
	for i := range engines {
		e := engsim.New(engsim.Settings{
			ID: backName(i), MemoryTotalBytes: 100, KVBytes: 10, Slots: slots, TokenInterval: tokenTime + time.Duration(i)*callGap,
			PrefillPerToken: time.Millisecond, LoadBytesPerSecond: 30, PrefixBlocks: 8, ChecksFencingToken: i%2 == 0, RestartDelay: 2 * time.Second,
			CrashOn: poisonWord,
			Resume:  engsim.Resume{Enabled: i < engines/2, Grace: 2 * time.Second},
		}, f.plat.Weights)
		f.engines = append(f.engines, e)
		f.serve(backName(i), e.Handler())
	}
	f.serve(backName(serviceAgent), f.svc.Handler())
	for i := range engines + 1 {
		f.list(agentName(i), store.RoleAgent, store.HostLive)
		f.agents = append(f.agents, f.startAgent(i))
	}
	for i := range entries {
		f.list(entryName(i), store.RoleEntry, store.HostLive)
		f.entries = append(f.entries, f.startEntry(entryName(i)))
	}
	return f
}

func entryName(i int) string { return fmt.Sprintf("e%d", i) }

func (f *fleet) list(id string, role store.Role, state store.HostState) {
	f.plat.Hosts.Set(store.Host{ID: id, Role: role, Address: id, FailureDomain: "d0", State: state})
}

// firstTable returns the table: two copies of each model fit, also with one engine away.
func firstTable() table.Table {
	groups := []string{groupName, cappedName}
	ms := []table.Model{{Name: adapterName, Base: modelName(0), Groups: groups, Version: "1", MemoryBytes: 3, LeastCopies: 2}}
	for i := range models {
		ms = append(ms, table.Model{Name: modelName(i), Groups: groups, Version: "1", MemoryBytes: 25, LeastCopies: 2})
	}
	return table.New(0, []table.Group{{Name: groupName, Weight: 1, QueueBound: 64}, {Name: cappedName, Weight: 1, QueueBound: 64, MaxConcurrent: cappedLimit}}, ms,
		[]table.Service{{Name: serviceName, Groups: groups, NonIdempotent: []table.Route{{Method: http.MethodPost, Path: "/run"}}}},
		[]table.Key{{Name: "k", Hash: ident.HashKey(callerKey), Group: groupName}, {Name: "c", Hash: ident.HashKey(cappedKey), Group: cappedName}})
}

// seed writes the table and its copy in the object store.
func (f *fleet) seed() {
	ctx := context.Background()
	if _, err := edit.SeedTable(ctx, f.plat.Table, firstTable()); err != nil {
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
		e.end(false)
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
	time.Sleep(2 * time.Hour) // virtual: lets the timers of kept answers run out
}

func (f *fleet) violate(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// watchVersions checks that the documents of a process never go back.
func (f *fleet) watchVersions(p *proc) {
	newest := map[string]uint64{}
	p.docs.Subscribe(func(d gossip.Document) { // called with the store locked
		if d.Version < newest[d.Kind] {
			f.violate("R8: %s of %s went back from %d to %d", d.Kind, p.id, newest[d.Kind], d.Version)
		}
		newest[d.Kind] = d.Version
	})
}

// leaving is since when and how an agent was told to leave.
type leaving struct {
	at     time.Time
	signal bool
}

// accept checks an attempt that an agent has accepted.
func (f *fleet) accept(id string, s wire.Start) {
	f.mu.Lock()
	if f.attempts[s.AttemptID] { // a repeated message
		f.mu.Unlock()
		return
	}
	f.attempts[s.AttemptID] = true
	l, ok := f.leaving[id]
	from, grace := l.at, 3*time.Second
	if !l.signal {
		// The host list shows the change late, and a paused agent reads it only after its pause.
		grace += hostLag
		for _, p := range f.agents {
			if end := p.gate.end(); p.id == id && end.After(from) {
				from = end
			}
		}
		if f.hostsBack.After(from) {
			from = f.hostsBack
		}
	}
	over := f.admitted(s)
	f.mu.Unlock()
	if ok && time.Since(from) > grace {
		f.violate("R6: %s accepted an attempt %s after it had to leave", id, time.Since(l.at))
	}
	if over > cappedLimit {
		f.violate("limit: %d requests of group %s are in flight", over, cappedName)
	}
}

// admitted returns how many requests of the limited group are in flight with this
// one. A request whose caller has its answer no longer counts; f.mu is held.
func (f *fleet) admitted(s wire.Start) int {
	if s.Group != cappedName {
		return 0
	}
	for _, c := range f.calls {
		if c.capped && !c.done && bytes.Contains(s.Body, []byte(strconv.Quote(c.prompt()))) {
			f.capped[c.id] = true
		}
	}
	return len(f.capped)
}
