package place

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/share"
	"chervilhead/internal/state/table"
)

// TestShares guards against a group that gets less than its fair share because only a few
// endpoints serve it while another group uses the whole fleet, and against usage reports
// that are counted twice because they are read twice.
func TestShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := logger.WithField("test", true)
		faults := &pltsim.Faults{}
		st, docs := pltsim.NewTable(faults), gossip.NewStore()
		tab := table.New(1, []table.Group{{Name: "few", Weight: 1}, {Name: "all", Weight: 1}}, nil, nil, nil)
		docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(tab)})
		p := New(st, lease.New(st, lease.Settings{Key: PlannerLeaseKey, Holder: "p", Term: 10 * time.Second}), docs,
			member.NewWatcher(pltsim.NewHosts(faults, 0), time.Second, log), log)
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		write := func(id string, used map[string]float64, waiting ...string) {
			info, _ := json.Marshal(EndpointRow{
				Endpoint: plan.Endpoint{ID: id, FailureDomain: "d", CapacityBytes: 1},
				Usage:    share.UsageReport{Incarnation: "i", Used: used, Waiting: waiting},
			})
			if _, err := st.Commit(ctx, store.Txn{Writes: []store.Write{{Key: EndpointPrefix + id, Value: info}}}); err != nil {
				t.Fatal(err)
			}
		}
		for s := 0.0; s < 120; s += 15 {
			write("a", map[string]float64{"few": s * 10, "all": s * 10}, "few", "all")
			write("b", map[string]float64{"all": s * 20}, "all")
			time.Sleep(15 * time.Second)
		}
		cancel()
		synctest.Wait()
		var got ShareDocument
		if err := json.Unmarshal(docs.Get(gossip.KindShare).Data, &got); err != nil {
			t.Fatal(err)
		}
		if got.Factors.Of("few") < 2 || got.Factors.Of("all") > 0.5 {
			t.Fatalf("factors %v after two minutes of 10 against 30 units a second", got.Factors)
		}
	})
}
