package control

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/clock"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// withVersions makes the cluster's endpoints be of versions; the empty string leaves one out.
func (c *cluster) withVersions(versions ...string) {
	old := c.view.Load()
	v := *old
	v.EndpointsConfirmedAt, v.Endpoints = time.Now(), map[string]fleet.Endpoint{}
	for i, version := range versions {
		id := fmt.Sprint("e", i)
		if e, ok := old.Endpoints[id]; ok && version != "" {
			e.SoftwareVersion = version
			v.Endpoints[id] = e
		}
	}
	c.view.Store(&v)
	c.plane.UpdateView(&v)
}

func (c *cluster) savedVersions(t *testing.T) map[string]savedVersion {
	t.Helper()
	row, err := c.store.Get(context.Background(), versionsKey)
	if err != nil {
		t.Fatal(err)
	}
	var s savedVersions
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &s); err != nil {
			t.Fatal(err)
		}
	}
	return s["s"]
}

// TestVersionsRow guards against versions that nobody knows of after a loss of all gateways, and against a write of the row for anything but a change.
func TestVersionsRow(t *testing.T) {
	c := startCluster(t, clusterConfig("a"), []string{"a"}, []string{"a"})
	c.withVersions("one", "one")
	until(t, "the row names version one", func() bool {
		return reflect.DeepEqual(c.savedVersions(t), map[string]savedVersion{"one": {Present: true}})
	})
	c.withVersions("one", "two")
	until(t, "the row names version two", func() bool { return len(c.savedVersions(t)) == 2 })
	c.withVersions("", "two")
	until(t, "version one is gone", func() bool {
		return reflect.DeepEqual(c.savedVersions(t), map[string]savedVersion{"one": {}, "two": {Present: true}})
	})
	version := func() uint64 {
		row, err := c.store.Get(context.Background(), versionsKey)
		if err != nil {
			t.Fatal(err)
		}
		return row.Version
	}
	before := version()
	time.Sleep(4 * leaseCheckInterval)
	if version() != before {
		t.Error("the row was written without a change")
	}
	saved, found, err := readVersions(context.Background(), c.store)
	if err != nil || !found {
		t.Fatalf("the row was not read: found %v, error %v", found, err)
	}
	h := resume.NewHistory(time.Now())
	h.Restore(saved.row(clock.Reading{}, 0))
	h.Observe(c.view.Load().Endpoints, time.Now())
	if v, settled := h.Settled("s", resume.Confirmation{At: time.Now()}, time.Now()); settled {
		t.Errorf("a gateway that starts when version one has left takes %q for the only version", v)
	}
}

// TestVersionsRowTimes guards against a version that counts for longer than the store's clock says, or for less if it has none.
func TestVersionsRowTimes(t *testing.T) {
	s := savedVersions{"s": {"old": {GoneAtMS: 10_000, GoneEra: 1}, "untimed": {}, "new": {Present: true}}}
	for _, tc := range []struct {
		now  clock.Reading
		want time.Duration
	}{
		{clock.Reading{Era: 1, Time: 50 * time.Second}, 38 * time.Second},
		{clock.Reading{}, 0},
		{clock.Reading{Era: 1, Time: 5 * time.Second}, 0},
		// A restored store's clock has another origin.
		{clock.Reading{Era: 2, Time: 50 * time.Second}, 0},
	} {
		got := s.row(tc.now, 2*time.Second)["s"]
		want := map[string]resume.RowEntry{"old": {GoneFor: tc.want}, "untimed": {}, "new": {Present: true}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("at %+v: %v, want %v", tc.now, got, want)
		}
	}
	w := versionsWriter{versions: map[string]map[string]knownVersion{"s": {"old": {goneAt: time.Unix(1000, 0)}, "new": {saved: savedVersion{Present: true}}}}}
	later := time.Unix(1000, 0).Add(goneVersionTTL)
	if next, changed := w.next(map[string]map[string]bool{"s": {"new": true}}, clock.Reading{}, clock.Reading{}, later); changed || len(next["s"]) != 1 {
		t.Errorf("after a minute: changed %v, versions %v; want no write, and the old version left out of the next", changed, next)
	}
}

// TestStreamRecordAtKeepers guards against a record of a stream that a gateway lacks and the keepers don't return, also after an engine left and with a keeper lost.
func TestStreamRecordAtKeepers(t *testing.T) {
	c := startCluster(t, clusterConfig("a"), []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"}, []string{"a"})
	c.withVersions("one", "one", "two", "two", "two")
	ctx := context.Background()
	var recs []resume.Record
	for i := range 50 {
		recs = append(recs, resume.Record{Key: resume.KeyOf("s", fmt.Sprint("r", i)), Service: "s", Version: fmt.Sprint("v", i%2)})
	}
	c.plane.SendStreamRecords("s", recs)
	time.Sleep(50 * time.Millisecond)
	check := func(when string) {
		t.Helper()
		for _, rec := range recs {
			if got, source := c.plane.QueryStreamRecord(ctx, "s", rec.Key); source != resume.KeeperRecord || got != rec {
				t.Errorf("%s: got %+v from %v, want %+v", when, got, source, rec)
			}
		}
	}
	check("all engines")
	c.withVersions("", "one", "two", "two", "two")
	check("an engine has left")
	began := time.Now()
	if _, source := c.plane.QueryStreamRecord(ctx, "s", 7); source != resume.NoRecord {
		t.Errorf("an unknown stream: source %v, want none", source)
	}
	if took := time.Since(began); took > streamQueryTimeout {
		t.Errorf("an unknown stream took %v, want an answer as soon as all keepers replied", took)
	}
	v := *c.view.Load()
	lost := v.Endpoints["e4"]
	lost.Address = "127.0.0.99:9"
	v.Endpoints = map[string]fleet.Endpoint{"e1": v.Endpoints["e1"], "e4": lost}
	c.view.Store(&v)
	began = time.Now()
	if _, source := c.plane.QueryStreamRecord(ctx, "s", 7); source != resume.KeepersSilent {
		t.Errorf("with a keeper that doesn't answer: source %v, want silent", source)
	}
	if took := time.Since(began); took > streamQueryTimeout+40*time.Millisecond {
		t.Errorf("a silent keeper held the query for %v, want 60 ms", took)
	}
}

// TestStreamRecordDatagrams guards against records that don't fit a datagram.
func TestStreamRecordDatagrams(t *testing.T) {
	recs := make([]resume.Record, 2000)
	for i := range recs {
		recs[i] = resume.Record{Key: 1<<63 + uint64(i), Service: "service", Version: "version", Revision: 1<<31 + resume.Revision(i)}
	}
	n := 0
	for _, m := range dgram.NewStreamRecords(recs) {
		if _, err := dgram.Encode(m); err != nil {
			t.Fatal(err)
		}
		n += len(m.Streams[0].Keys)
	}
	if n != len(recs) {
		t.Errorf("%d keys in the messages, want %d", n, len(recs))
	}
}

// TestRestoredVersionsRow guards against versions that the row loses because the store was restored from a copy which lacks them, or because the planner before died without writing them.
func TestRestoredVersionsRow(t *testing.T) {
	c := startCluster(t, clusterConfig("a"), []string{"a"}, []string{"a"})
	c.withVersions("one", "one")
	until(t, "the row names version one", func() bool { return len(c.savedVersions(t)) == 1 })
	old, err := c.store.Get(context.Background(), versionsKey)
	if err != nil {
		t.Fatal(err)
	}
	c.withVersions("one", "two")
	until(t, "the row names version two", func() bool { return len(c.savedVersions(t)) == 2 })
	c.withVersions("one", "")
	until(t, "version two is gone", func() bool { return !c.savedVersions(t)["two"].Present })
	c.store.mu.Lock()
	c.store.rows[versionsKey] = old
	c.store.mu.Unlock()
	until(t, "the row names version two again", func() bool {
		// The planner takes its lease anew, as it must after a restore; a refresh of the lease that is
		// in force resets the token.
		c.plane.planner.mu.Lock()
		c.plane.planner.fencingToken++
		c.plane.planner.mu.Unlock()
		_, ok := c.savedVersions(t)["two"]
		return ok
	})
}

// TestVersionsOfTakeover guards against a new planner that keeps from the row what it saw itself, or that writes the row for what has long been gone.
func TestVersionsOfTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		goneFor time.Duration
		saved   map[string]savedVersion
		want    map[string]savedVersion
		unsaved bool
	}{
		{"the row says it", time.Second, map[string]savedVersion{"one": {Present: true}, "two": {}}, map[string]savedVersion{"one": {Present: true}, "two": {}}, false},
		{"the row lacks a version that is gone", time.Second, map[string]savedVersion{"one": {Present: true}}, map[string]savedVersion{"one": {Present: true}, "two": {}}, true},
		{"it has long been gone", resume.SettleAfter, map[string]savedVersion{"one": {Present: true}}, map[string]savedVersion{"one": {Present: true}}, false},
		{"the row says that it is present", time.Second, map[string]savedVersion{"one": {Present: true}, "two": {Present: true}}, map[string]savedVersion{"one": {Present: true}, "two": {}}, true},
		{"the row lacks a version that is present", time.Second, map[string]savedVersion{"two": {}}, map[string]savedVersion{"one": {Present: true}, "two": {}}, true},
		{"the row names a third one", time.Second, map[string]savedVersion{"one": {Present: true}, "two": {}, "three": {}}, map[string]savedVersion{"one": {Present: true}, "two": {}, "three": {}}, false},
	} {
		w := versionsWriter{versions: map[string]map[string]knownVersion{"s": {"one": {saved: savedVersion{Present: true}}, "two": {goneAt: now.Add(-tc.goneFor)}}}}
		w.merge(savedVersions{"s": tc.saved}, now)
		got := map[string]savedVersion{}
		for v, k := range w.versions["s"] {
			got[v] = k.saved
		}
		if !reflect.DeepEqual(got, tc.want) || w.unsaved != tc.unsaved {
			t.Errorf("%s: %v, to be written %v; want %v, %v", tc.name, got, w.unsaved, tc.want, tc.unsaved)
		}
	}
}

// TestRowTellsWhenVersionsCame guards against a gateway that takes a version which has just come for one that was there all the while, or one that is back after seconds for one that has just come.
func TestRowTellsWhenVersionsCame(t *testing.T) {
	old := map[string]map[string]knownVersion{"s": {"one": {saved: savedVersion{Present: true}}}}
	came := clock.Reading{Era: 1, Time: 40 * time.Second}
	w := versionsWriter{versions: old}
	both := map[string]map[string]bool{"s": {"one": true, "two": true}}
	next, changed := w.next(both, came, came, time.Now())
	if !changed {
		t.Error("a version came without a write of the row")
	}
	w.versions = next
	next, _ = w.next(map[string]map[string]bool{"s": {"one": true}}, came, clock.Reading{Era: 1, Time: 45 * time.Second}, time.Now())
	w.versions = next
	next, _ = w.next(both, clock.Reading{Era: 1, Time: 48 * time.Second}, came, time.Now())
	for _, tc := range []struct {
		versions map[string]map[string]knownVersion
		now      clock.Reading
		want     resume.RowEntry
	}{
		// The time at which it went is rounded up to a millisecond.
		{w.versions, clock.Reading{Era: 1, Time: 50 * time.Second}, resume.RowEntry{CameFor: 8 * time.Second, GoneFor: 3*time.Second - time.Millisecond}},
		{next, clock.Reading{Era: 1, Time: 50 * time.Second}, resume.RowEntry{Present: true, CameFor: 8 * time.Second}},
		{next, clock.Reading{Era: 1, Time: 60 * time.Second}, resume.RowEntry{Present: true, CameFor: 18 * time.Second}},
		{next, clock.Reading{Era: 2, Time: 60 * time.Second}, resume.RowEntry{Present: true}},
	} {
		s := savedVersions{"s": {}}
		for v, k := range tc.versions["s"] {
			s["s"][v] = k.saved
		}
		got := s.row(tc.now, 2*time.Second)["s"]
		if got["two"] != tc.want || got["one"] != (resume.RowEntry{Present: true}) {
			t.Errorf("at %+v: %+v, want %+v", tc.now, got, tc.want)
		}
	}
}
