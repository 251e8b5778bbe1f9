package resume

import (
	"strings"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// TestRecords guards against records that last too long, fill the memory or tell one caller's version for another's.
func TestRecords(t *testing.T) {
	r := NewRecords()
	one := Record{Key: 1, Service: "s", Version: "one"}
	r.Put(one, at(0))
	r.Put(Record{Key: 2, Service: "s", Version: "two"}, at(0))
	r.Put(one, at(20))
	if got, ok := r.Get(1, at(49)); !ok || got != one {
		t.Errorf("a refreshed record: %v, %v", got, ok)
	}
	if _, ok := r.Get(2, at(30)); ok {
		t.Error("a record lasts for 30 s or more")
	}
	r.Put(Record{Key: 1, Service: "s", Version: "two"}, at(49))
	r.Put(one, at(49))
	if got, ok := r.Get(1, at(49)); ok || len(r.OfService("s", at(49))) != 0 {
		t.Errorf("two versions under one key: got %v, want none", got)
	}
	for i := range uint64(MaxRecords + 1) {
		r.Put(Record{Key: 100 + i, Service: "s", Version: "one"}, at(50))
	}
	_, oldest := r.Get(100, at(50))
	_, second := r.Get(101, at(50))
	if n := len(r.OfService("s", at(50))); n != MaxRecords || oldest || !second {
		t.Errorf("%d records kept, the oldest %v, the second %v", n, oldest, second)
	}
}

func endpoints(versions ...string) map[string]fleet.Endpoint {
	out := map[string]fleet.Endpoint{}
	for _, v := range versions {
		out[v] = fleet.Endpoint{ID: v, Service: "s", SoftwareVersion: v}
	}
	return out
}

// TestSettled guards against a service that counts as settled while streams of another version may be resumed, and against one that never settles.
func TestSettled(t *testing.T) {
	rowOf := func(entries map[string]RowEntry) Row { return Row{"s": entries} }
	for _, tc := range []struct {
		name string
		row  Row
		// reads are the versions read each second from the start on; the last is read until now.
		reads   [][]string
		now     float64
		viewAge time.Duration
		gapAt   float64
		want    string
		settled bool
	}{
		{"one version", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one"}}, 1, 0, -1, "one", true},
		{"the empty version", rowOf(map[string]RowEntry{"": {Present: true}}), [][]string{{""}}, 1, 0, -1, "", true},
		{"two versions", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one", "two"}}, 100, 0, -1, "", false},
		{"no row, just started", nil, [][]string{{"one"}}, 29, 0, -1, "", false},
		{"no row, started long ago", nil, [][]string{{"one"}}, 31, 0, -1, "one", true},
		{"a service that the row lacks", Row{"o": {}}, [][]string{{"one"}}, 29, 0, -1, "", false},
		{"one has gone", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one", "two"}, {"two"}}, 30, 0, -1, "", false},
		{"one went long ago", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one", "two"}, {"two"}}, 32, 0, -1, "two", true},
		{"the row's version is missing", rowOf(map[string]RowEntry{"one": {Present: true}, "two": {Present: true}}), [][]string{{"two"}}, 29, 0, -1, "", false},
		{"it was missing for long", rowOf(map[string]RowEntry{"one": {Present: true}, "two": {Present: true}}), [][]string{{"two"}}, 31, 0, -1, "two", true},
		{"gone in the row, without a time", rowOf(map[string]RowEntry{"one": {}, "two": {Present: true}}), [][]string{{"two"}}, 29, 0, -1, "", false},
		{"gone in the row long ago", rowOf(map[string]RowEntry{"one": {GoneFor: 31 * time.Second}, "two": {Present: true}}), [][]string{{"two"}}, 1, 0, -1, "two", true},
		{"the view is old", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one"}}, 100, 2 * time.Second, -1, "", false},
		{"after a gap", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one"}}, 100, 0, 71, "", false},
		{"long after a gap", rowOf(map[string]RowEntry{"one": {Present: true}}), [][]string{{"one"}}, 100, 0, 69, "one", true},
		{"nothing registered", rowOf(nil), [][]string{{}}, 100, 0, -1, "", false},
	} {
		for _, rowFirst := range []bool{true, false} {
			h := NewHistory(start)
			if rowFirst && tc.row != nil {
				h.Restore(tc.row)
			}
			for i := 0; float64(i) <= tc.now; i++ {
				h.Observe(endpoints(tc.reads[min(i, len(tc.reads)-1)]...), at(float64(i)))
			}
			if !rowFirst && tc.row != nil {
				h.Restore(tc.row)
			}
			c := Confirmation{At: at(tc.now).Add(-tc.viewAge)}
			if tc.gapAt >= 0 {
				c.GapAt = at(tc.gapAt)
			}
			if got, settled := h.Settled("s", c, at(tc.now)); settled != tc.settled || settled && got != tc.want {
				t.Errorf("%s, row first %v: version %q, settled %v; want %q, %v", tc.name, rowFirst, got, settled, tc.want, tc.settled)
			}
		}
	}
}

// TestDecide guards against a decision from less than what is known.
func TestDecide(t *testing.T) {
	named, rec := ParseMention([]string{"r1"}), Record{Key: KeyOf("s", "r1"), Service: "s", Version: "one"}
	for _, tc := range []struct {
		name string
		e    Evidence
		want Decision
	}{
		{"own record", Evidence{Mention: named, Record: rec, Source: OwnRecord}, Continue{"one"}},
		{"keeper's record", Evidence{Mention: named, Record: rec, Source: KeeperRecord}, Continue{"one"}},
		{"record of another version than the settled one", Evidence{Mention: named, Record: rec, Source: KeeperRecord, Settled: true, SettledVersion: "two"}, Continue{"one"}},
		{"record of another service", Evidence{Mention: named, Record: Record{Key: 1, Service: "o", Version: "one"}, Source: OwnRecord}, Reject{"resumes_other_service"}},
		{"record of another service, settled", Evidence{Mention: named, Record: Record{Key: 1, Service: "o", Version: "one"}, Source: OwnRecord, Settled: true, SettledVersion: "two"}, Continue{"two"}},
		{"settled", Evidence{Mention: Missing{}, Source: NoRecord, Settled: true, SettledVersion: "two"}, Continue{"two"}},
		{"settled at the empty version", Evidence{Mention: named, Source: KeepersSilent, Settled: true}, Continue{""}},
		{"missing", Evidence{Mention: Missing{}, Source: NoRecord}, Reject{"resumes_missing"}},
		{"malformed", Evidence{Mention: ParseMention([]string{strings.Repeat("r", 201)}), Source: NoRecord}, Reject{"resumes_malformed"}},
		{"two values", Evidence{Mention: ParseMention([]string{"r1", "r2"}), Source: NoRecord}, Reject{"resumes_malformed"}},
		{"unknown", Evidence{Mention: named, Source: NoRecord}, Reject{"resumes_unknown"}},
		{"keepers silent", Evidence{Mention: named, Source: KeepersSilent}, Reject{"keepers_silent"}},
	} {
		tc.e.Service = "s"
		if got := Decide(tc.e); got != tc.want {
			t.Errorf("%s: %#v, want %#v", tc.name, got, tc.want)
		}
	}
}

// TestAtVersion guards against a stream that continues at an endpoint that was restarted with another version, and against leaving out all endpoints of a version whose connections break for other reasons.
func TestAtVersion(t *testing.T) {
	confirmed := at(10)
	state := func(id string, reported int64, reportedAt time.Time) fleet.State {
		s := fleet.State{Endpoint: fleet.Endpoint{ID: id, Service: "s", SoftwareVersion: "one", Incarnation: 5}}
		if reported != 0 {
			s.StatusSupersedes, s.Status = true, fleet.Status{Incarnation: reported, ReceivedAt: reportedAt}
		}
		return s
	}
	other := state("other", 0, start)
	other.SoftwareVersion = "two"
	for _, tc := range []struct {
		name   string
		states []fleet.State
		broke  map[string]time.Time
		want   string
	}{
		{"of the version", []fleet.State{state("a", 0, start), other, state("b", 5, at(9))}, nil, "a b"},
		{"its keeper reports another start", []fleet.State{state("a", 6, at(9)), state("b", 5, at(9))}, nil, "b"},
		{"its connection broke", []fleet.State{state("a", 5, at(9)), state("b", 5, at(9))}, map[string]time.Time{"a": at(8.9)}, "b"},
		{"the only one's connection broke", []fleet.State{state("a", 5, at(9))}, map[string]time.Time{"a": at(8.9)}, ""},
		{"its keeper reported it since", []fleet.State{state("a", 5, at(9.5))}, map[string]time.Time{"a": at(9)}, "a"},
		{"it has no keeper", []fleet.State{state("a", 0, start), state("b", 0, start)}, map[string]time.Time{"a": at(9)}, "b"},
		{"none has a keeper and all broke", []fleet.State{state("a", 0, start), state("b", 0, start)}, map[string]time.Time{"a": at(9), "b": at(9)}, "a b"},
		{"its registration was confirmed since", []fleet.State{state("a", 5, at(1))}, map[string]time.Time{"a": at(6)}, "a"},
	} {
		var got []string
		for _, s := range AtVersion(tc.states, "s", "one", func(e fleet.Endpoint) time.Time { return tc.broke[e.ID] }, confirmed) {
			got = append(got, s.ID)
		}
		if strings.Join(got, " ") != tc.want {
			t.Errorf("%s: got %v, want %q", tc.name, got, tc.want)
		}
	}
}

// TestHistoryForgetsServices guards against a history that grows with each service that was ever registered.
func TestHistoryForgetsServices(t *testing.T) {
	h := NewHistory(start)
	for i := range 100 {
		service := string(rune('a' + i))
		h.Observe(map[string]fleet.Endpoint{"e": {ID: "e", Service: service, SoftwareVersion: "one"}}, at(float64(i)))
	}
	h.Observe(nil, at(100))
	h.Observe(nil, at(130))
	if n := len(h.services); n != 0 {
		t.Errorf("%d services are kept 30 s after the last was gone, want none", n)
	}
}

// TestBreaks guards against an endpoint that counts as not restarted because of an event that another incarnation of it may have sent, and against one whose version stays in doubt though it goes on answering.
func TestBreaks(t *testing.T) {
	b := Breaks{}.WithBreak(at(1)).WithBreak(at(2)).WithBreak(at(3))
	for _, tc := range []struct {
		name         string
		b            Breaks
		before, want time.Time
	}{
		{"none", Breaks{}, at(9), time.Time{}},
		{"all came later", b, at(1), time.Time{}},
		{"all came earlier", b, at(4), at(3)},
		{"one came later", b, at(2.5), at(2.5)},
		{"an answer to a request sent before all", b.WithEvent(at(0.5)), at(9), time.Time{}},
		{"an answer to a request sent after the first", b.WithEvent(at(1.5)), at(9), at(1.5)},
		{"an answer to a request sent after all", b.WithEvent(at(3.5)), at(9), at(3)},
		{"a break after an answer", b.WithEvent(at(0.5)).WithBreak(at(4)), at(9), at(4)},
		{"a break long after the others", b.WithBreak(at(60)).WithEvent(at(59)), at(70), time.Time{}},
	} {
		if got := tc.b.Before(tc.before); !got.Equal(tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestImplied guards against a stream without a record that goes on at a version at which no gateway can have begun it unrecorded, and against one that is rejected although only one version can have begun it.
func TestImplied(t *testing.T) {
	present := func(forS float64) RowEntry {
		return RowEntry{Present: true, CameFor: time.Duration(forS * float64(time.Second))}
	}
	one := RowEntry{Present: true}
	for _, tc := range []struct {
		name string
		row  map[string]RowEntry
		// reads are the versions read each second from the start on; the last is read until now.
		reads     [][]string
		now       float64
		viewAge   time.Duration
		longGapAt float64
		want      string
		implied   bool
	}{
		{"a second one comes", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}}, 10, 0, -1, "one", true},
		{"it came 17 s ago", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}}, 18, 0, -1, "one", true},
		{"it came longer ago", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}}, 18.1, 0, -1, "", false},
		{"the first one went", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}, {"two"}}, 10, 0, -1, "one", true},
		{"the first one went before the second came", map[string]RowEntry{"one": one}, [][]string{{"one"}, {}, {}, {}, {"two"}}, 10, 0, -1, "one", true},
		{"the second one went again", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}, {"one"}}, 10, 0, -1, "one", true},
		{"the second one comes and goes", map[string]RowEntry{"one": one}, [][]string{{"one", "two"}, {"one"}, {"one", "two"}, {"one"}}, 5, 0, -1, "one", true},
		{"the second one was there for long", map[string]RowEntry{"one": one, "two": one}, [][]string{{"one", "two"}, {"one"}, {"one", "two"}, {"one"}}, 5, 0, -1, "", false},
		{"it was there for long before the start", map[string]RowEntry{"one": one, "two": {GoneFor: 5 * time.Second}}, [][]string{{"one"}, {"one", "two"}, {"one"}}, 5, 0, -1, "", false},
		{"settled", map[string]RowEntry{"one": one}, [][]string{{"one"}}, 1, 0, -1, "one", true},
		{"started after the second came", map[string]RowEntry{"one": one, "two": present(5)}, [][]string{{"one", "two"}}, 10, 0, -1, "one", true},
		{"started long after that", map[string]RowEntry{"one": one, "two": present(20)}, [][]string{{"one", "two"}}, 1, 0, -1, "", false},
		{"both came long ago", map[string]RowEntry{"one": one, "two": one}, [][]string{{"one", "two"}}, 1, 0, -1, "", false},
		{"one that went came before", map[string]RowEntry{"one": one, "two": {CameFor: 3 * time.Second, GoneFor: time.Second}}, [][]string{{"one"}}, 1, 0, -1, "one", true},
		{"the second one came right after the first", map[string]RowEntry{"one": present(3), "two": present(2.5)}, [][]string{{"one", "two"}}, 1, 0, -1, "one", true},
		{"a third one went just before", map[string]RowEntry{"one": one, "three": {GoneFor: 10 * time.Second}}, [][]string{{"one"}, {"one", "two"}}, 5, 0, -1, "", false},
		{"no row, just started", nil, [][]string{{"one"}, {"one", "two"}}, 5, 0, -1, "", false},
		{"the view is old", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}}, 10, 2 * time.Second, -1, "", false},
		{"after a long gap", map[string]RowEntry{"one": one}, [][]string{{"one"}, {"one", "two"}}, 10, 0, 1, "", false},
	} {
		for _, rowFirst := range []bool{true, false} {
			h := NewHistory(start)
			if rowFirst && tc.row != nil {
				h.Restore(Row{"s": tc.row})
			}
			for i := 0; float64(i) <= tc.now; i++ {
				h.Observe(endpoints(tc.reads[min(i, len(tc.reads)-1)]...), at(float64(i)))
				if i == 0 && !rowFirst && tc.row != nil {
					h.Restore(Row{"s": tc.row})
				}
			}
			c := Confirmation{At: at(tc.now).Add(-tc.viewAge)}
			if tc.longGapAt >= 0 {
				c.LongGapAt = at(tc.longGapAt)
			}
			if got, implied := h.Implied("s", c, at(tc.now)); implied != tc.implied || implied && got != tc.want {
				t.Errorf("%s, row first %v: version %q, implied %v; want %q, %v", tc.name, rowFirst, got, implied, tc.want, tc.implied)
			}
		}
	}
}
