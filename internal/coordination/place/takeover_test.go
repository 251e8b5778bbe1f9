package place

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/table"
)

const takeoverTerm = 10 * time.Second

// plannerFleet is a fleet of entries that compete for the planner lease.
type plannerFleet struct {
	st   *pltsim.Table
	kill map[string]context.CancelFunc
}

func newPlannerFleet(ctx context.Context, entries int) *plannerFleet {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logger.WithField("test", true)
	faults := &pltsim.Faults{}
	hosts := pltsim.NewHosts(faults, 0)
	p := &plannerFleet{st: pltsim.NewTable(faults), kill: map[string]context.CancelFunc{}}
	docs := gossip.NewStore()
	docs.PutIfNewer(gossip.Document{Kind: gossip.KindTable, Version: 1, Data: table.Encode(table.New(1, nil, nil, nil, nil))})
	members := member.NewWatcher(hosts, time.Second, log)
	for i := range entries {
		id := fmt.Sprint("entry-", i)
		hosts.Set(store.Host{ID: id, Role: store.RoleEntry, State: store.HostLive})
		ctx, cancel := context.WithCancel(ctx)
		p.kill[id] = cancel
		go New(p.st, lease.New(p.st, lease.Settings{Key: PlannerLeaseKey, Holder: id, Term: takeoverTerm}), docs, members, log).Run(ctx)
	}
	go members.Run(ctx)
	return p
}

// holder returns the entry that holds the planner lease.
func (p *plannerFleet) holder(t *testing.T) string {
	row, err := p.st.Get(t.Context(), PlannerLeaseKey)
	if err != nil {
		t.Fatal(err)
	}
	var l lease.Row
	if err := json.Unmarshal(row.Value, &l); err != nil {
		t.Fatal(err)
	}
	return l.Holder
}

// TestTakeover guards against a fleet that, after its planner died, has no planner for longer
// than the lease's term plus one entry's wait between lease checks.
func TestTakeover(t *testing.T) {
	const deaths = 10
	for _, entries := range []int{3, 30, 340} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				p := newPlannerFleet(ctx, entries)
				time.Sleep(time.Minute)
				var takeovers []time.Duration
				for i := range min(deaths, entries-1) {
					// Each planner dies at a different point of its renewal interval.
					time.Sleep(takeoverTerm + time.Duration(i)*takeoverTerm/deaths)
					old := p.holder(t)
					p.kill[old]()
					died := time.Now()
					for p.holder(t) == old {
						time.Sleep(100 * time.Millisecond)
					}
					takeovers = append(takeovers, time.Since(died))
				}
				slices.Sort(takeovers)
				t.Logf("%d takeovers: median %s, longest %s", len(takeovers), takeovers[len(takeovers)/2], takeovers[len(takeovers)-1])
				if worst := takeovers[len(takeovers)-1]; worst > takeoverTerm+maxLeaseCheckWait*3/2 {
					t.Errorf("the fleet had no planner for %s", worst)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
