package peer_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

// targetTable returns a table of the target size: 40 groups, 530 models, 200 adapters.
func targetTable() table.Table {
	var (
		groups []table.Group
		models []table.Model
		keys   []table.Key
	)
	for i := range 40 {
		name := fmt.Sprintf("group-%02d", i)
		groups = append(groups, table.Group{Name: name, Weight: 1, MaxConcurrent: 100, QueueBound: 256, PriorityCeiling: 9})
		keys = append(keys, table.Key{Name: name, Hash: ident.HashKey(name), Group: name})
	}
	for i := range 730 {
		m := table.Model{Name: fmt.Sprintf("model-%03d", i), Groups: []string{fmt.Sprintf("group-%02d", i%40)}, Version: "v1", MemoryBytes: 10 << 30, LeastCopies: 2}
		if i >= 530 {
			m.Base, m.MemoryBytes, m.LeastCopies = fmt.Sprintf("model-%03d", i-530), 1<<28, 0
		}
		models = append(models, m)
	}
	return table.New(0, groups, models, nil, keys)
}

const (
	measuredEdits = 8
	editSpacing   = 8 * time.Second
	pollInterval  = 10 * time.Second
	slowDelay     = 1500 * time.Millisecond
)

// TestTimeToInForce guards against gossip that takes more than 6 s to bring a document in
// force on every node, or more than 7 KB/s per node, at the target sizes.
func TestTimeToInForce(t *testing.T) {
	for _, file := range []string{"testdata/relay_340", "testdata/relay_940", "testdata/relay_burst"} {
		t.Run(filepath.Base(file), func(t *testing.T) {
			if raceEnabled && file == "testdata/relay_940" {
				t.Skip("takes five minutes under the race detector; .ci/run runs it without")
			}
			datadriven.RunTest(t, file, runCase)
		})
	}
}

func runCase(t *testing.T, d *datadriven.TestData) string {
	var nodes int
	var service string
	d.ScanArgs(t, "nodes", &nodes)
	if d.HasArg("service") {
		d.ScanArgs(t, "service", &service)
	}
	var out string
	if d.HasArg("burst") {
		var kind string
		d.ScanArgs(t, "burst", &kind)
		synctest.Test(t, func(t *testing.T) { out = measureBurst(t, nodes, kind) })
		return out
	}
	synctest.Test(t, func(t *testing.T) { out = measureEdits(t, nodes, service) })
	return out
}

func measureEdits(t *testing.T, nodes int, service string) string {
	faults := &pltsim.Faults{}
	st := pltsim.NewTable(faults)
	if _, err := edit.SeedTable(t.Context(), st, targetTable()); err != nil {
		t.Fatal(err)
	}
	first, err := edit.LoadTable(t.Context(), st)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(nodes, 71)
	for i := range nodes {
		f.start(i, st, nil, pollInterval, edit.TableDocument(first), gossip.Document{Kind: gossip.KindPlan, Version: 1, Data: []byte(`{}`)})
	}
	defer f.stop()
	time.Sleep(pollInterval)
	if service == "slow" {
		faults.SetDelay(slowDelay)
	}
	for _, n := range f.nodes {
		n.bytes.Store(0)
	}
	readsBefore, _ := st.CallCounts()
	start := time.Now()
	times := make([][]time.Duration, nodes)
	for e := range measuredEdits {
		propagateEdit(t, f, st, faults, service, e, times)
	}
	seconds := time.Since(start).Seconds()
	readsAfter, _ := st.CallCounts()
	return summarize(f, times, seconds, float64(readsAfter-readsBefore))
}

// propagateEdit commits one edit, publishes it on one node and returns editSpacing after
// its start. It records when the edit comes into force on each node.
func propagateEdit(t *testing.T, f *fleet, st *pltsim.Table, faults *pltsim.Faults, service string, e int, times [][]time.Duration) {
	start := time.Now()
	g := table.Group{Name: fmt.Sprintf("group-%02d", e), Weight: float64(e + 2), MaxConcurrent: 100}
	res, err := edit.New(st, time.Now).Apply(t.Context(), edit.Request{
		ID: fmt.Sprint("edit-", e), Who: "operator", Ops: []edit.Op{{Sheet: table.SheetGroups, Name: g.Name, Row: g, Expect: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	accepted := time.Now()
	faults.SetUnavailable(service == "away")
	for i, n := range f.nodes {
		done := false
		n.docs.Subscribe(func(d gossip.Document) {
			if !done && d.Kind == gossip.KindTable && d.Version >= res.Entry.Revision {
				done = true
				times[i] = append(times[i], time.Since(accepted))
			}
		})
	}
	f.nodes[e*7%len(f.nodes)].docs.PutIfNewer(edit.TableDocument(res.Table))
	time.Sleep(editSpacing - time.Since(start))
	faults.SetUnavailable(false)
}

func summarize(f *fleet, times [][]time.Duration, seconds, reads float64) string {
	var all []time.Duration
	for _, ts := range times {
		all = append(all, ts...)
	}
	slices.Sort(all)
	quantile := func(q float64) time.Duration {
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(time.Millisecond)
	}
	var maxBytes, totalBytes int64
	for _, n := range f.nodes {
		maxBytes, totalBytes = max(maxBytes, n.bytes.Load()), totalBytes+n.bytes.Load()
	}
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "in force: %d of %d\n", len(all), measuredEdits*len(f.nodes))
	_, _ = fmt.Fprintf(&out, "time: median %v, 99th percentile %v, largest %v\n", quantile(0.5), quantile(0.99), quantile(1))
	_, _ = fmt.Fprintf(&out, "bytes/s per node: mean %.0f, largest %.0f\n", float64(totalBytes)/seconds/float64(len(f.nodes)), float64(maxBytes)/seconds)
	_, _ = fmt.Fprintf(&out, "state reads/s: %.0f\n", reads/seconds)
	return out.String()
}
