package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/place"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/share"
	"chervilhead/internal/state/table"
)

// BenchmarkPlanner measures the planner's work for one second at the target size over
// HTTP: with lease renewals alone, with a changed endpoint address, with usage reports,
// and when it reads all rows and computes the whole plan.
func BenchmarkPlanner(b *testing.B) {
	faults := &pltsim.Faults{}
	st := pltsim.NewTable(faults)
	p := &pltsim.Platform{Faults: faults, Table: st, Hosts: pltsim.NewHosts(faults, 0)}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	reg := prometheus.NewRegistry()
	c := plat.New(plat.Settings{Table: srv.URL, Hosts: srv.URL, Timeout: time.Minute}, srv.Client()).WithMetrics(plat.NewMetrics(reg))
	log := logrus.New()
	log.SetOutput(io.Discard)
	docs := gossip.NewStore()
	docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(benchTable(530, 100))})
	l := lease.New(c, lease.Settings{Key: place.PlannerLeaseKey, Holder: "planner", Term: time.Hour, Margin: time.Minute})
	pl := place.New(c, l, docs, member.NewWatcher(p.Hosts, time.Hour, log.WithField("bench", "")), log.WithField("bench", ""))
	eps := benchEndpoints(600)
	managers := make([]*lease.Manager, len(eps))
	refresh := func(i int) {
		info, _ := json.Marshal(eps[i])
		if err := managers[i].Refresh(b.Context(), info); err != nil {
			b.Fatal(err)
		}
	}
	for i, e := range eps {
		managers[i] = lease.New(st, lease.Settings{Key: place.EndpointLeasePrefix + e.ID, InfoKey: place.EndpointPrefix + e.ID, Holder: e.ID, Term: time.Hour})
		refresh(i)
	}
	step := func() {
		if err := pl.Step(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	for range 5 {
		step()
	}
	n := 0
	// renewals are the lease renewals of 600 endpoints in one second at the default timing.
	renewals := func() {
		for range 120 {
			refresh(n % len(eps))
			n++
		}
	}
	measure := func(name string, prepare, work func()) {
		b.Run(name, func(b *testing.B) {
			before, sentBefore := platformBytes(b, reg, "received"), platformBytes(b, reg, "sent")
			for range b.N {
				b.StopTimer()
				prepare()
				b.StartTimer()
				work()
			}
			b.ReportMetric((platformBytes(b, reg, "received")-before)/float64(b.N), "B/step")
			b.ReportMetric((platformBytes(b, reg, "sent")-sentBefore)/float64(b.N), "sentB/step")
		})
	}
	measure("renewals", renewals, step)
	measure("change", func() {
		renewals()
		eps[n%len(eps)].Address = fmt.Sprint("10.1.0.1:", n)
		refresh(n % len(eps))
	}, step)
	// usage adds reports of endpoints with four models, ten groups and eight models in
	// demand, at the rate of a fleet in which every endpoint is busy.
	usage := func() {
		renewals()
		for range int(float64(len(eps)) / share.ReportInterval(len(eps)).Seconds()) {
			i := n % len(eps)
			r := place.EndpointRow{Endpoint: eps[i], Usage: share.UsageReport{Incarnation: "inc-0123456789abcdef", Used: map[string]float64{}}}
			for k := range 8 {
				r.Models = append(r.Models, fmt.Sprintf("model-%04d", k))[:min(k+1, 4)]
				r.Demand = append(r.Demand, plan.Demand{Model: fmt.Sprintf("model-%04d", k), Engines: 0.25})
			}
			for k := range 10 {
				r.Usage.Used[fmt.Sprintf("group-%04d", k)] = float64(n) + 0.5
			}
			info, _ := json.Marshal(r)
			if err := managers[i].Refresh(b.Context(), info); err != nil {
				b.Fatal(err)
			}
			n++
		}
	}
	measure("usage", usage, step)
	measure("everything", renewals, func() {
		if _, err := c.Read(b.Context(), place.EndpointPrefix); err != nil {
			b.Fatal(err)
		}
		doc, err := place.PlanSource(c)(b.Context(), 0)
		if err != nil {
			b.Fatal(err)
		}
		prev, err := plan.Decode(doc.Data)
		if err != nil {
			b.Fatal(err)
		}
		plan.Compute(benchTable(530, 100), eps, prev)
	})
}

// platformBytes returns the bytes sent to the platform, or received from it.
func platformBytes(b *testing.B, reg *prometheus.Registry, direction string) float64 {
	families, err := reg.Gather()
	if err != nil {
		b.Fatal(err)
	}
	total := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "chervilhead_platform_bytes_total" && m.GetLabel()[0].GetValue() == direction {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}

// BenchmarkHostPoll measures a poll of a host list of the target size: the first poll,
// a poll without a change, and a poll after a change.
func BenchmarkHostPoll(b *testing.B) {
	faults := &pltsim.Faults{}
	p := &pltsim.Platform{Faults: faults, Table: pltsim.NewTable(faults), Hosts: pltsim.NewHosts(faults, 0)}
	host := func(i int) store.Host {
		return store.Host{
			ID: fmt.Sprintf("agent-%04d", i), Role: store.RoleAgent, Address: "10.0.0.1:7000",
			FailureDomain: fmt.Sprintf("domain-%02d", i%12), State: store.HostLive,
		}
	}
	for i := range 940 {
		p.Hosts.Set(host(i))
	}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	reg := prometheus.NewRegistry()
	c := plat.New(plat.Settings{Hosts: srv.URL, Timeout: time.Minute}, srv.Client()).WithMetrics(plat.NewMetrics(reg))
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := member.NewWatcher(c, time.Second, log.WithField("bench", ""))
	n := 0
	change := func() {
		h := host(n % 940)
		h.Address = fmt.Sprintf("10.0.1.1:%d", n)
		p.Hosts.Set(h)
		n++
	}
	for _, m := range []struct {
		name    string
		prepare func()
	}{
		{"first", func() { w = member.NewWatcher(c, time.Second, log.WithField("bench", "")) }},
		{"unchanged", func() {}},
		{"changed", change},
	} {
		b.Run(m.name, func(b *testing.B) {
			before := platformBytes(b, reg, "received")
			for range b.N {
				m.prepare()
				if err := w.Poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric((platformBytes(b, reg, "received")-before)/float64(b.N), "B/poll")
		})
	}
}
