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

// TestMergeOrder guards against books that differ after the same marks arrived in
// another order or repeatedly, and against a verdict that is lost in a merge.
func TestMergeOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	mark := rapid.Custom(func(t *rapid.T) CrashRecord {
		m := CrashRecord{Fingerprint: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "fp"), ExpiresAt: now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "life")) * time.Minute)}
		for range rapid.IntRange(1, 3).Draw(t, "n") {
			m.Crashes = append(m.Crashes, Crash{ID: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id")), Level: Level(rapid.IntRange(1, 3).Draw(t, "level"))})
		}
		return m
	})
	rapid.Check(t, func(t *rapid.T) {
		marks := rapid.SliceOfN(mark, 1, 8).Draw(t, "marks")
		order := rapid.Permutation(slices.Concat(marks, marks)).Draw(t, "order")
		x, y := New(), New()
		worst := map[string]bool{}
		for _, m := range marks {
			x.Add(m, now)
			worst[m.Fingerprint] = worst[m.Fingerprint] || m.Verdict() == Blocked
		}
		for _, m := range order {
			y.Add(m, now)
		}
		for _, fp := range []string{"a", "b"} {
			mx, _ := x.Get(fp, now)
			my, _ := y.Get(fp, now)
			if !slices.Equal(mx.Crashes, my.Crashes) || !mx.ExpiresAt.Equal(my.ExpiresAt) {
				t.Fatalf("%q: %+v in one order, %+v in another", fp, mx, my)
			}
			if worst[fp] != (x.Verdict(fp, now) == Blocked) {
				t.Fatalf("%q: verdict %v, condemned by a mark: %v", fp, x.Verdict(fp, now), worst[fp])
			}
		}
	})
}

// TestBounds guards against a book that grows without limit, drops a verdict before a
// suspicion, or keeps a mark past its lifetime.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New()
	b.Add(CrashRecord{Fingerprint: "bad", ExpiresAt: now.Add(time.Minute), Crashes: []Crash{{"1", LevelAlone}}}, now)
	for i := range MaxRecords + 100 {
		b.Add(CrashRecord{Fingerprint: fmt.Sprint(i), ExpiresAt: now.Add(time.Hour), Crashes: []Crash{{"1", LevelShared}}}, now)
	}
	if len(b.marks) != MaxRecords || b.Verdict("bad", now) != Blocked {
		t.Fatalf("%d marks, verdict %v", len(b.marks), b.Verdict("bad", now))
	}
	if v := b.Verdict("bad", now.Add(time.Minute)); v != Clean {
		t.Fatalf("verdict %v after the lifetime", v)
	}
}
