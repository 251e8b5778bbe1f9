package poison

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203") // a flag on the command line takes precedence
	flag.Parse()
	os.Exit(m.Run())
}

// TestMergeOrder guards against registries that differ after the same records arrived in
// another order or repeatedly, and against a verdict that is lost in a merge.
func TestMergeOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	record := rapid.Custom(func(t *rapid.T) CrashRecord {
		rec := CrashRecord{Fingerprint: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "fp"), ExpiresAt: now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "life")) * time.Minute)}
		for range rapid.IntRange(1, 3).Draw(t, "n") {
			rec.Crashes = append(rec.Crashes, Crash{ID: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id")), Level: Level(rapid.IntRange(1, 3).Draw(t, "level"))})
		}
		return rec
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(record, 1, 8).Draw(t, "marks")
		order := rapid.Permutation(slices.Concat(records, records)).Draw(t, "order")
		x, y := New(), New()
		blocked := map[string]bool{}
		for _, rec := range records {
			x.Add(rec, now)
			blocked[rec.Fingerprint] = blocked[rec.Fingerprint] || rec.Verdict() == Blocked
		}
		for _, rec := range order {
			y.Add(rec, now)
		}
		for _, fp := range []string{"a", "b"} {
			mx, _ := x.Get(fp, now)
			my, _ := y.Get(fp, now)
			if !slices.Equal(mx.Crashes, my.Crashes) || !mx.ExpiresAt.Equal(my.ExpiresAt) {
				t.Fatalf("%q: %+v in one order, %+v in another", fp, mx, my)
			}
			if blocked[fp] != (x.Verdict(fp, now) == Blocked) {
				t.Fatalf("%q: verdict %v, blocked by one of the records: %v", fp, x.Verdict(fp, now), blocked[fp])
			}
		}
	})
}

// TestBounds guards against a registry that grows without limit, drops a blocked record
// before a suspect one, or keeps a record past its expiry.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Add(CrashRecord{Fingerprint: "bad", ExpiresAt: now.Add(time.Minute), Crashes: []Crash{{"1", LevelAlone}}}, now)
	for i := range MaxRecords + 100 {
		r.Add(CrashRecord{Fingerprint: fmt.Sprint(i), ExpiresAt: now.Add(time.Hour), Crashes: []Crash{{"1", LevelShared}}}, now)
	}
	if len(r.records) != MaxRecords || r.Verdict("bad", now) != Blocked {
		t.Fatalf("got %d records, verdict %v", len(r.records), r.Verdict("bad", now))
	}
	if v := r.Verdict("bad", now.Add(time.Minute)); v != Clean {
		t.Fatalf("got verdict %v after the expiry", v)
	}
}
