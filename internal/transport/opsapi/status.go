package opsapi

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/plan"
)

// FleetStatus is the state of the fleet.
type FleetStatus struct {
	Nodes     []wire.Status         `json:"nodes"`
	Endpoints []wire.EndpointStatus `json:"endpoints"`
	// Unplaced lists the models without a copy in the plan in force.
	Unplaced []UnplacedModel `json:"unplaced,omitempty"`
}

// UnplacedModel is a model without a copy, and what an operator can do about it.
type UnplacedModel struct {
	Model  string      `json:"model"`
	Reason plan.Reason `json:"reason"`
	Remedy string      `json:"remedy"`
}

func (a *API) getStatus(w http.ResponseWriter, r *http.Request) {
	out := a.CollectStatus(r.Context())
	for i := range out.Nodes {
		out.Nodes[i].RevisionAgeMillis = 0
	}
	reply(w, http.StatusOK, out)
}

// unplaced returns the models that the plan in force gives no copy.
func (a *API) unplaced() []UnplacedModel {
	doc := a.docs.Get(gossip.KindPlan)
	if doc.Version == 0 {
		return nil
	}
	p, err := plan.Decode(doc.Data)
	if err != nil {
		a.log.WithError(err).Error("plan document does not decode; models without a copy are not shown")
		return nil
	}
	var out []UnplacedModel
	for _, name := range p.Unplaced {
		out = append(out, UnplacedModel{Model: name, Reason: p.UnplacedReasons[name], Remedy: p.UnplacedReasons[name].Remedy()})
	}
	return out
}

// CollectStatus asks every process for its status; those that do not answer are shown as away.
func (a *API) CollectStatus(ctx context.Context) FleetStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	self := a.self()
	hosts := a.members.View().Peers(self.ID)
	nodes := make([]wire.Status, len(hosts)+1)
	nodes[len(hosts)] = self
	places := make(chan struct{}, statusAtOnce)
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			nodes[i] = a.ask(ctx, h)
		})
	}
	wg.Wait()
	out := FleetStatus{Nodes: nodes, Endpoints: []wire.EndpointStatus{}, Unplaced: a.unplaced()}
	slices.SortFunc(out.Nodes, func(x, y wire.Status) int { return strings.Compare(x.ID, y.ID) })
	for _, n := range out.Nodes {
		if n.Endpoint != nil {
			out.Endpoints = append(out.Endpoints, *n.Endpoint)
		}
	}
	return out
}

func (a *API) ask(ctx context.Context, h store.Host) wire.Status {
	var s wire.Status
	link, err := a.pool.Get(ctx, h.Address)
	if err == nil {
		err = link.Call(ctx, wire.MethodStatus, struct{}{}, &s)
	}
	if err == nil {
		return s
	}
	s = wire.Status{ID: h.ID, Role: string(h.Role), FailureDomain: h.FailureDomain, Leaving: h.State == store.HostLeaving}
	if h.Role == store.RoleAgent {
		s.Endpoint = &wire.EndpointStatus{ID: h.ID, FailureDomain: h.FailureDomain, State: "away", Models: []string{}}
	}
	return s
}

// NodeRevision is the table revision in force on one node; 0 means that the node did not answer.
type NodeRevision struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
	// LagMillis is the time from the first node that had the newest revision to this one.
	LagMillis int64 `json:"lag_ms"`
}

// Propagation says how far the newest revision has spread.
type Propagation struct {
	Revision uint64 `json:"revision"`
	// Complete means that every listed node has the revision.
	Complete bool `json:"complete"`
	// LastMillis is the time from the first to the last node that has the revision.
	LastMillis int64          `json:"last_ms"`
	Pending    int            `json:"pending"`
	Nodes      []NodeRevision `json:"nodes"`
}

func (a *API) getPropagation(w http.ResponseWriter, r *http.Request) {
	reply(w, http.StatusOK, propagation(a.CollectStatus(r.Context()).Nodes))
}

// propagation compares ages only, so that it needs no common clock.
func propagation(nodes []wire.Status) Propagation {
	out := Propagation{Nodes: make([]NodeRevision, len(nodes))}
	var oldest int64
	for _, n := range nodes {
		switch {
		case n.Revision > out.Revision:
			out.Revision, oldest = n.Revision, n.RevisionAgeMillis
		case n.Revision == out.Revision:
			oldest = max(oldest, n.RevisionAgeMillis)
		}
	}
	for i, n := range nodes {
		out.Nodes[i] = NodeRevision{ID: n.ID, Role: n.Role, Revision: n.Revision}
		if n.Revision < out.Revision {
			out.Pending++
			continue
		}
		out.Nodes[i].LagMillis = oldest - n.RevisionAgeMillis
		out.LastMillis = max(out.LastMillis, out.Nodes[i].LagMillis)
	}
	out.Complete = out.Pending == 0
	return out
}
