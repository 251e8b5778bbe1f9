package replica

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

func TestTimeToReady(t *testing.T) {
	m := fleet.Model{Name: "m", StoreLoadTime: 5 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 400 * time.Millisecond}
	st := func(service string, alive bool, memory, disk []string) fleet.State {
		return fleet.State{Endpoint: fleet.Endpoint{Service: service}, StatusSupersedes: true, Status: fleet.Status{Alive: alive, InMemory: memory, OnDisk: disk}}
	}
	leaving := st("s", true, []string{"m"}, nil)
	leaving.Leaving = true
	for _, tc := range []struct {
		name   string
		m      fleet.Model
		states []fleet.State
		want   time.Duration
	}{
		{"no host has the weights", m, []fleet.State{st("s", true, nil, []string{"other"})}, m.StoreLoadTime},
		{"on disk", m, []fleet.State{st("s", true, nil, nil), st("s", true, nil, []string{"m"})}, m.DiskLoadTime},
		{"in memory", m, []fleet.State{st("s", true, nil, []string{"m"}), st("s", true, []string{"m"}, []string{"m"})}, m.MemoryLoadTime},
		{"at another service", m, []fleet.State{st("t", true, []string{"m"}, nil)}, m.StoreLoadTime},
		{"on a dead engine's host", m, []fleet.State{st("s", false, []string{"m"}, nil)}, m.StoreLoadTime},
		{"on a draining host", m, []fleet.State{leaving}, m.StoreLoadTime},
		{"times not configured", fleet.Model{Name: "m", StoreLoadTime: time.Second}, []fleet.State{st("s", true, []string{"m"}, []string{"m"})}, time.Second},
	} {
		if got := TimeToReady(tc.m, "s", tc.states); got != orderDelay+tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, orderDelay+tc.want)
		}
	}
}
