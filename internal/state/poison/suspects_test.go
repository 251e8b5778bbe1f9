package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is a crash of an endpoint, or if that is empty an answer, of a request whose parts are
// single letters.
type step struct {
	at       time.Duration
	parts    string
	endpoint string
}

func parts(s string) []string {
	var out []string
	for _, r := range s {
		out = append(out, string(r))
	}
	return out
}

// TestSuspects guards against a deadly part that is not blocked, and a sound one that is.
func TestSuspects(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name    string
		steps   []step
		at      time.Duration
		blocked string
	}{
		{"two crashes", []step{{0, "ad", "e1"}, {100 * ms, "ad", "e2"}}, 200 * ms, ""},
		{"three crashes of a new part beside an answered one", []step{{0, "a", ""}, {3000 * ms, "ad", "e1"}, {3100 * ms, "ad", "e2"}, {3200 * ms, "ad", "e3"}}, 3300 * ms, "d"},
		{"crashes of one endpoint incarnation count once", []step{{0, "ad", "e1"}, {1 * ms, "ad", "e1"}, {2 * ms, "ad", "e1"}}, 100 * ms, ""},
		{"an answer clears a part", []step{{0, "d", "e1"}, {1 * ms, "d", "e2"}, {2 * ms, "d", ""}, {5000 * ms, "d", "e3"}, {5100 * ms, "d", "e4"}}, 5200 * ms, ""},
		{"an answer clears a blocked part", []step{{0, "d", "e1"}, {1 * ms, "d", "e2"}, {2 * ms, "d", "e3"}, {3 * ms, "d", ""}}, 10 * ms, ""},
		{"endpoints that fail together don't block a common part", []step{{0, "a", ""}, {3000 * ms, "a", "e1"}, {3010 * ms, "a", "e2"}, {3020 * ms, "a", "e3"}, {3030 * ms, "a", "e4"}, {3040 * ms, "a", "e5"}}, 3100 * ms, ""},
		{"a part that was answered lately is not suspect", []step{{0, "a", "e1"}, {0, "a", ""}, {100 * ms, "a", "e2"}, {600 * ms, "a", "e3"}, {1100 * ms, "a", "e4"}, {1600 * ms, "a", "e5"}}, 1700 * ms, ""},
		{"a common part that becomes deadly", []step{{0, "a", ""}, {0, "x", ""}, {2100 * ms, "ax", "e1"}, {2500 * ms, "ax", "e2"}, {2900 * ms, "a", ""}, {3000 * ms, "ax", "e3"}, {3500 * ms, "ax", "e4"}}, 5000 * ms, "x"},
		{"a blocked part explains the crashes of its companions", []step{{0, "s", ""}, {3000 * ms, "sd", "e1"}, {4000 * ms, "sd", "e2"}, {5000 * ms, "sd", "e3"}, {6000 * ms, "sd", "e4"}, {7000 * ms, "s", "e5"}}, 9500 * ms, "d"},
		{"two deadly parts", []step{{0, "c", "e1"}, {1 * ms, "d", "e2"}, {2 * ms, "c", "e3"}, {3 * ms, "d", "e4"}, {4 * ms, "c", "e5"}, {5 * ms, "d", "e6"}}, 10 * ms, "cd"},
		{"a record expires", []step{{0, "d", "e1"}, {1 * ms, "d", "e2"}, {2 * ms, "d", "e3"}}, PartRecordTTL + time.Second, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// A second process hears of everything and has answered nothing itself.
			s, other := NewSuspects(), NewSuspects()
			for _, st := range tc.steps {
				now := start.Add(st.at)
				var recs []CrashRecord
				if st.endpoint == "" {
					recs = s.Answered(parts(st.parts), now)
				} else {
					recs = s.Crashed(parts(st.parts), st.endpoint, now)
				}
				for _, r := range recs {
					other.Add(r, now)
				}
			}
			got := ""
			for _, p := range parts("acdsx") {
				got += s.Blocked([]string{p}, start.Add(tc.at))
			}
			if got != tc.blocked {
				t.Errorf("blocked %q, want %q", got, tc.blocked)
			}
			// The other process may block more for want of answers of its own, but not less.
			for _, p := range parts(tc.blocked) {
				if p != "x" && other.Blocked([]string{p}, start.Add(tc.at)) == "" {
					t.Errorf("a process that heard of it all doesn't block %q", p)
				}
			}
		})
	}
}

// TestSuspectRecordsCommute guards against processes that hear of the same crashes in other orders and block other parts.
func TestSuspectRecordsCommute(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var recs []CrashRecord
		for i := range 12 {
			level := LevelShared
			if rng.IntN(6) == 0 {
				level = LevelCleared
			}
			recs = append(recs, CrashRecord{Fingerprint: partPrefix + string(rune('a'+rng.IntN(3))), ExpiresAt: start.Add(time.Minute), Crashes: []Crash{{ID: fmt.Sprint("e", i%5), Level: level}}})
		}
		a, b := NewSuspects(), NewSuspects()
		for _, r := range recs {
			a.Add(r, start)
		}
		for _, i := range rng.Perm(len(recs)) {
			b.Add(recs[i], start)
			b.Add(recs[i], start)
		}
		for _, p := range parts("abc") {
			if x, y := a.Blocked([]string{p}, start), b.Blocked([]string{p}, start); x != y {
				t.Errorf("seed %d: part %s: blocked %q and %q", seed, p, x, y)
			}
		}
	}
}

// TestSuspectsBounded guards against suspects and answers that fill the memory.
func TestSuspectsBounded(t *testing.T) {
	s := NewSuspects()
	for i := range 3 {
		s.Crashed([]string{"d"}, fmt.Sprint("e", i), start)
	}
	for i := range 4 * maxAnswered {
		s.Crashed([]string{fmt.Sprint("c", i)}, fmt.Sprint("e", i), start)
		s.Answered([]string{fmt.Sprint("a", i)}, start)
	}
	if len(s.parts) > maxSuspects || len(s.answered)+len(s.older) > 2*maxAnswered {
		t.Errorf("%d suspects, %d answered parts", len(s.parts), len(s.answered)+len(s.older))
	}
	if s.Blocked([]string{"d"}, start) == "" {
		t.Error("a blocked part was dropped for parts with one crash")
	}
}
