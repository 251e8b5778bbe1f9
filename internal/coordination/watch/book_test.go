package watch

import (
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

func ids(b book) []string {
	var out []string
	for id := range b.endpoints {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func listed(list ...string) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, id := range list {
		out = append(out, fleet.Endpoint{ID: id})
	}
	return out
}

func TestBook(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	first := book{}.with(EndpointChange{Full: true, Endpoints: listed("a", "b", "c")}, at(0))
	check := func(name string, b book, want ...string) {
		t.Helper()
		if got := ids(b); !slices.Equal(got, want) {
			t.Errorf("%s: endpoints %v, want %v", name, got, want)
		}
	}
	check("removed", first.with(EndpointChange{Gone: []string{"b"}}, at(0.6)), "a", "c")
	check("missing from the whole list", first.with(EndpointChange{Full: true, Endpoints: listed("a")}, at(0.6)), "a")

	// The store was away for five seconds, and what lapsed meanwhile may come back.
	back := first.with(EndpointChange{Full: true, Endpoints: listed("a")}, at(5))
	check("lapsed while the store was away", back, "a", "b", "c")
	back = back.with(EndpointChange{Endpoints: listed("b")}, at(6))
	check("one is back", back, "a", "b", "c")
	check("the other one is still missing after two seconds", back.with(EndpointChange{}, at(7.5)), "a", "b")

	leaving := first.with(EndpointChange{Endpoints: []fleet.Endpoint{{ID: "b", Leaving: true}}}, at(0.6))
	check("one that left while the store was away", leaving.with(EndpointChange{Gone: []string{"b"}}, at(6)), "a", "c")

	born := first.with(EndpointChange{Endpoints: []fleet.Endpoint{{ID: "a", Incarnation: 20, Sequence: 1}}}, at(0.6))
	born = born.with(EndpointChange{Endpoints: []fleet.Endpoint{{ID: "a", Incarnation: 10, Sequence: 9}}}, at(1.2))
	if got := born.endpoints["a"]; got.Incarnation != 20 {
		t.Errorf("a late write of the incarnation before went first: %+v", got)
	}
}
