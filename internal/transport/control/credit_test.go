package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/credit"
	"chervilhead/internal/state/fleet"
)

// quotaView returns a view with groups that have a quota in tokens.
func quotaView(groups int, perSecond float64) *watch.View {
	all := map[string]fleet.Group{}
	for i := range groups {
		name := fmt.Sprintf("group-%d", i)
		all[name] = fleet.Group{Name: name, Quota: fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: perSecond, Burst: perSecond}}
	}
	now := time.Now()
	return &watch.View{HasConfig: true, Config: fleet.NewConfig(1, nil, nil, fleet.Limits{}).WithGroups(all, nil), ConfigConfirmedAt: now, EndpointsConfirmedAt: now}
}

// TestQuotaOverGateways guards against gateways that don't get credit from another one that is
// the planner, that use more than the quota together, or that call a quota used up when the
// planner is gone.
func TestQuotaOverGateways(t *testing.T) {
	rows, view := &rows{rows: map[string]store.Row{}}, quotaView(1, 100_000)
	group := view.Config.Groups()["group-0"]
	a := startTestGateway(t, "a", rows, view)
	until(t, "the first gateway is the planner", a.plans)
	b := startTestGateway(t, "b", rows, view)
	until(t, "the second gateway knows the planner", func() bool { return b.planner.holderAddr() == a.cfg.Listen })
	// The planner announces the number of gateways each time that it has read the endpoints.
	a.planner.gateways.Store(2)
	until(t, "the bucket is full", func() bool {
		a.pool.mu.Lock()
		defer a.pool.mu.Unlock()
		return a.pool.pool != nil && a.pool.pool.Level("group-0") >= 100_000
	})
	began, used := time.Now(), 0.0
	for time.Since(began) < time.Second {
		for _, g := range []*testGateway{a, b} {
			wait, ok := g.Credits().Take(context.Background(), group, 5000, 0)
			if ok {
				used += 5000
			} else if wait <= 0 || wait > time.Second || !g.Credits().Confirmed() {
				t.Fatalf("refused for %v", wait)
			}
		}
		time.Sleep(time.Millisecond)
	}
	// Burst and one second's rate are to be used; the platform allows a tenth and 110,000 more.
	if took := time.Since(began).Seconds(); used < 200_000-10_000 || used > (100_000*took+100_000)*1.1+110_000 {
		t.Errorf("%v tokens used", used)
	}
	// The lease lapsed and was renewed with the same term: gateways may have used their shares.
	a.pool.mu.Lock()
	lapsed := a.pool.pool
	a.pool.handledAt = a.pool.handledAt.Add(-2 * maxPoolGap)
	a.pool.mu.Unlock()
	_, ok := a.pool.handle(credit.Request{Gateway: "c"})
	a.pool.mu.Lock()
	if !ok || a.pool.pool == lapsed {
		t.Error("a pool goes on after the lease lapsed")
	}
	a.pool.mu.Unlock()
	a.planner.mu.Lock()
	a.planner.leaseUntil = time.Time{}
	a.planner.mu.Unlock()
	if _, ok := a.pool.handle(credit.Request{Gateway: "b"}); ok {
		t.Error("a gateway without the lease grants credit")
	}
	// Until the planner's silence is noticed, nobody knows what is left of the quota.
	unknown := 0
	for lost := time.Now(); time.Since(lost) < time.Second; time.Sleep(time.Millisecond) {
		asked := time.Now()
		if wait, ok := b.Credits().Take(context.Background(), group, 5000, 0); !ok && time.Since(asked) >= creditWait {
			if unknown++; wait != 0 {
				t.Errorf("refused for %v without a reply", wait)
			}
		}
	}
	if unknown == 0 {
		t.Error("no request waited for the lost planner")
	}
}

// TestWaitForCredit guards against requests within their group's quota that are refused after a
// change of the planner, which begins with an empty bucket, although the quota covers them soon.
func TestWaitForCredit(t *testing.T) {
	rows, view := &rows{rows: map[string]store.Row{}}, quotaView(1, 100_000)
	group := view.Config.Groups()["group-0"]
	a := startTestGateway(t, "a", rows, view)
	until(t, "the gateway is the planner", a.plans)
	a.planner.gateways.Store(1)
	// Half of the quota is asked for, which the platform counts as permitted in every window.
	for i := range 20 {
		if wait, ok := a.Credits().Take(context.Background(), group, 5000, 200*time.Millisecond); !ok {
			t.Errorf("request %d was refused for %v, with 200 ms to wait", i, wait)
		}
		time.Sleep(100 * time.Millisecond)
	}
	began := time.Now()
	if wait, ok := a.Credits().Take(context.Background(), group, 1e6, 200*time.Millisecond); ok || wait <= 200*time.Millisecond {
		t.Errorf("a request of ten seconds' quota: served %v, wait %v", ok, wait)
	}
	if took := time.Since(began); took > 150*time.Millisecond {
		t.Errorf("a request that the quota can't cover in time was refused after %v", took)
	}
}

// TestNoQuotaNoRequest guards against requests for credit while no group has a quota.
func TestNoQuotaNoRequest(t *testing.T) {
	p, _ := planeWith(t, 0)
	if p.Credits().anyLimited() {
		t.Error("credit is asked for without a quota")
	}
}

// TestCreditMessageSize guards against messages for the designed and for many groups that don't
// fit a datagram.
func TestCreditMessageSize(t *testing.T) {
	for _, groups := range []int{1, 4, 16, 1000} {
		now := time.Now()
		view := quotaView(groups, 1e9)
		a := credit.NewAccount("gateway-123.example", now.UnixNano(), now)
		for _, g := range view.Config.Groups() {
			a.Arrive(now, g, 1e9)
			a.Take(now, g, 1e9, 1)
			a.Wait(g.Name, 1e9)
		}
		r, _ := a.Next(now)
		m := &dgram.CreditRequest{Gateway: r.Gateway, GatewayIncarnation: r.Incarnation, Sequence: r.Sequence}
		reply := &dgram.CreditGrant{Term: 1 << 40, GatewayIncarnation: r.Incarnation, Sequence: r.Sequence}
		for _, e := range r.Entries {
			m.Groups = append(m.Groups, dgram.GroupCredit(e))
			reply.Groups = append(reply.Groups, dgram.GroupGrant{Granted: 1e9, WaitMs: 1000})
		}
		request, err := dgram.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		grant, err := dgram.Encode(reply)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d groups, %d in the message: request %d bytes, grant %d bytes", groups, len(r.Entries), len(request), len(grant))
	}
}

// BenchmarkCreditRequest measures the planner's work for a request from each of so many gateways
// on four of 16 groups, as TestPlannerWork in state/credit counts, from the datagram to the encoded reply, without the two system calls.
func BenchmarkCreditRequest(b *testing.B) {
	for _, gateways := range []int{31, 340} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			view := quotaView(16, 610_000)
			f := credit.Fleet{Groups: view.Config.Groups(), Gateways: gateways}
			pool := credit.NewPool(1, time.Now())
			var groups []dgram.GroupCredit
			for i := range 4 {
				name := fmt.Sprintf("group-%d", i)
				groups = append(groups, dgram.GroupCredit{Group: name, Held: 1000, Need: 100, Least: 100, Ahead: 100, UsedPerSecond: 1000})
			}
			var requests [][]byte
			for i := range gateways {
				data, err := dgram.Encode(&dgram.CreditRequest{Gateway: fmt.Sprintf("gateway-%d", i), GatewayIncarnation: 1, Sequence: 1, Groups: groups})
				if err != nil {
					b.Fatal(err)
				}
				requests = append(requests, data)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m, err := dgram.Decode(requests[i%gateways])
				if err != nil {
					b.Fatal(err)
				}
				grant, _ := pool.Handle(time.Now(), requestOf(m.(*dgram.CreditRequest), uint64(i)), f)
				if _, err := dgram.Encode(grantOf(m.(*dgram.CreditRequest), grant)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func requestOf(m *dgram.CreditRequest, seq uint64) credit.Request {
	m.Sequence = seq
	return fromCreditRequest(m)
}

// TestFallbackAfterLossOfAllHosts guards against gateways that each take a share of a quota as if they were alone, because the keepers have heard of no other one yet.
func TestFallbackAfterLossOfAllHosts(t *testing.T) {
	const perSecond = 100_000
	view := quotaView(1, perSecond)
	p, _ := planeWith(t, 0)
	p.view = func() *watch.View { return view }
	p.handleEndpointState(&dgram.EndpointState{Address: "10.0.0.1:1", KeeperIncarnation: 1, MessageSequence: 1, Alive: true, Gateways: 1})
	used := 0.0
	began := time.Now()
	for time.Since(began) < 3*time.Second {
		if _, ok := p.Credits().Take(t.Context(), view.Config.Groups()["group-0"], 10, 0); ok {
			used += 10
		}
	}
	// A twentieth of the quota's rate is five times the share of one of a hundred gateways.
	if most := perSecond / 20 * time.Since(began).Seconds(); used > most {
		t.Errorf("%v tokens used without a planner, want at most %v", used, most)
	}
}
