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

// FleetStatus is the status of every process in the host list, of the endpoints and of the plan.
type FleetStatus struct {
	Nodes     []wire.Status         `json:"nodes"`
	Endpoints []wire.EndpointStatus `json:"endpoints"`
	// Unplaced lists the models without a replica in the placement plan in force.
	Unplaced []UnplacedModel `json:"unplaced,omitempty"`
}

// UnplacedModel is a model without a replica, the reason, and what an operator can do about it.
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
	writeJSON(w, http.StatusOK, out)
}

// unplacedModels returns the models without a replica in the placement plan in force.
func (a *API) unplacedModels() []UnplacedModel {
	doc := a.docs.Get(gossip.KindPlan)
	if doc.Version == 0 {
		return nil
	}
	p, err := plan.Decode(doc.Data)
	if err != nil {
		a.log.WithError(err).Error("plan document does not decode; the status omits unplaced models")
		return nil
	}
	var out []UnplacedModel
	for _, name := range p.Unplaced {
		out = append(out, UnplacedModel{Model: name, Reason: p.UnplacedReasons[name], Remedy: p.UnplacedReasons[name].Remedy()})
	}
	return out
}

// CollectStatus asks every process in the host list for its status. The endpoint of an
// agent that does not answer within a second has the state away.
func (a *API) CollectStatus(ctx context.Context) FleetStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	self := a.self()
	hosts := a.members.View().Peers(self.ID)
	nodes := make([]wire.Status, len(hosts)+1)
	nodes[len(hosts)] = self
	sem := make(chan struct{}, maxStatusCalls)
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			nodes[i] = a.fetchStatus(ctx, h)
		})
	}
	wg.Wait()
	out := FleetStatus{Nodes: nodes, Endpoints: []wire.EndpointStatus{}, Unplaced: a.unplacedModels()}
	slices.SortFunc(out.Nodes, func(x, y wire.Status) int { return strings.Compare(x.ID, y.ID) })
	for _, n := range out.Nodes {
		if n.Endpoint != nil {
			out.Endpoints = append(out.Endpoints, *n.Endpoint)
		}
	}
	return out
}

func (a *API) fetchStatus(ctx context.Context, h store.Host) wire.Status {
	var s wire.Status
	conn, err := a.pool.Get(ctx, h.Address)
	if err == nil {
		err = conn.Call(ctx, wire.MethodStatus, struct{}{}, &s)
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

// NodeRevision is the table revision in force on one node; Revision is 0 if the node did not answer.
type NodeRevision struct {
	ID       string `json:"id"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
	// LagMillis is the time from when the newest revision came into force on the first node
	// until it did on this one.
	LagMillis int64 `json:"lag_ms"`
}

// Propagation is the progress of the newest table revision across the nodes.
type Propagation struct {
	Revision uint64 `json:"revision"`
	// Complete means that the revision is in force on every listed node.
	Complete bool `json:"complete"`
	// LastMillis is the largest LagMillis of the nodes that have the revision.
	LastMillis int64          `json:"last_ms"`
	Pending    int            `json:"pending"`
	Nodes      []NodeRevision `json:"nodes"`
}

func (a *API) getPropagation(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, computePropagation(a.CollectStatus(r.Context()).Nodes))
}

// computePropagation compares only the ages of the revision, so that the nodes need no
// synchronized clocks.
func computePropagation(nodes []wire.Status) Propagation {
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
