package watch

import (
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

func endpointIDs(b registry) []string {
	var out []string
	for id := range b.endpoints {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func endpointList(list ...string) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, id := range list {
		out = append(out, fleet.Endpoint{ID: id})
	}
	return out
}

func TestRegistry(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	first := registry{}.with(EndpointChange{Full: true, Endpoints: endpointList("a", "b", "c")}, at(0))
	check := func(name string, b registry, want ...string) {
		t.Helper()
		if got := endpointIDs(b); !slices.Equal(got, want) {
			t.Errorf("%s: endpoints %v, want %v", name, got, want)
		}
	}
	check("removed", first.with(EndpointChange{Gone: []string{"b"}}, at(0.6)), "a", "c")
	check("missing from the full list", first.with(EndpointChange{Full: true, Endpoints: endpointList("a")}, at(0.6)), "a")

	// After an outage of five seconds, endpoints whose registrations lapsed meanwhile are kept.
	back := first.with(EndpointChange{Full: true, Endpoints: endpointList("a")}, at(5))
	check("lapsed during the outage", back, "a", "b", "c")
	back = back.with(EndpointChange{Endpoints: endpointList("b")}, at(6))
	check("one has registered again", back, "a", "b", "c")
	check("the other is removed after the grace period", back.with(EndpointChange{}, at(7.5)), "a", "b")

	leaving := first.with(EndpointChange{Endpoints: []fleet.Endpoint{{ID: "b", Leaving: true}}}, at(0.6))
	check("a leaving endpoint gets no grace period", leaving.with(EndpointChange{Gone: []string{"b"}}, at(6)), "a", "c")

	born := first.with(EndpointChange{Endpoints: []fleet.Endpoint{{ID: "a", Incarnation: 20, Sequence: 1}}}, at(0.6))
	born = born.with(EndpointChange{Endpoints: []fleet.Endpoint{{ID: "a", Incarnation: 10, Sequence: 9}}}, at(1.2))
	if got := born.endpoints["a"]; got.Incarnation != 20 {
		t.Errorf("a late write of an earlier incarnation replaced the newer one: %+v", got)
	}
}
