package control

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// TestReportOfRestartedEngine guards against a keeper's report that is compared with a registration by the times of day at which the engine started.
func TestReportOfRestartedEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name                 string
		listed, reported     int64
		listedAgo, reportAgo int
		want                 bool
		// silent is set if the engine doesn't answer its keeper.
		silent bool
	}{
		{"the same", 5, 5, 9000, 100, true, false},
		{"restarted since it was listed", 5, 7, 9000, 100, true, false},
		{"restarted since it was listed, clock back", 5, 3, 9000, 100, true, false},
		{"listed since it was restarted", 7, 5, 100, 300, false, false},
		{"listed since it was restarted, clock back", 3, 5, 100, 300, false, false},
		{"on its way while it was listed", 3, 5, 300, 200, false, false},
		{"long ago", 5, 3, 9000, 2000, false, false},
		{"of the last one that answered", 7, 5, 700, 50, false, true},
		{"of the last one that answered, clock back", 3, 5, 700, 50, false, true},
		{"while the keeper waited for an answer", 7, 5, 500, 50, false, false},
	} {
		e := fleet.Endpoint{ID: "e", Incarnation: tc.listed, ListedAt: ago(tc.listedAgo)}
		if got := supersedes(fleet.Status{Alive: !tc.silent, Incarnation: tc.reported, ReceivedAt: ago(tc.reportAgo)}, e, now); got != tc.want {
			t.Errorf("%s: the report supersedes the registration: %v", tc.name, got)
		}
	}
}

// TestUnconfirmedRegistration guards against a stream that goes on by the version of a registration that may be a late write.
func TestUnconfirmedRegistration(t *testing.T) {
	p, reports := planeWith(t, 1)
	v := p.view()
	e := v.Endpoints["e000"]
	e.Incarnation, e.Unconfirmed, e.ListedAt = 3, true, time.Now()
	v.Endpoints["e000"] = e
	if !p.States()[0].Unconfirmed {
		t.Error("the registration is taken for confirmed")
	}
	time.Sleep(time.Millisecond)
	reports[0].MessageSequence, reports[0].Incarnation = 1, 3
	p.handleEndpointState(reports[0])
	p.outdated.Store(true)
	if p.States()[0].Unconfirmed {
		t.Error("the keeper's report doesn't confirm the registration")
	}
}

// TestKeeperRestartedWithOtherClock guards against a keeper that is ignored after a restart because the time of day on its host jumped back.
func TestKeeperRestartedWithOtherClock(t *testing.T) {
	p, reports := planeWith(t, 1)
	r := reports[0]
	r.KeeperIncarnation, r.MessageSequence, r.Running = 9000, 50, 1
	p.handleEndpointState(r)
	time.Sleep(550 * time.Millisecond)
	for i := range 3 {
		r.KeeperIncarnation, r.MessageSequence, r.Running = 7000, uint64(i+1), 2+i
		p.handleEndpointState(r)
	}
	if s := p.States()[0]; s.Status.Running != 4 {
		t.Errorf("the gateway goes by the earlier keeper's report: %d running", s.Status.Running)
	}
}
