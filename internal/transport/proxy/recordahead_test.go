package proxy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// TestRefusedAttemptNotRecorded guards against a stream that is taken up at the version of an endpoint that turned its request away, and against one that can't be taken up because of that endpoint.
func TestRefusedAttemptNotRecorded(t *testing.T) {
	for _, doubt := range []bool{false, true} {
		t.Run(fmt.Sprintf("the version of the next endpoint is in doubt: %v", doubt), func(t *testing.T) {
			f := newVersionFleet(t, "one", "two")
			a, b := f.gateway("z0", 3), f.gateway("z0", 3)
			d := &fakeDurable{records: resume.NewRecords(), h: b.handler}
			a.handler.cfg.Durable, b.handler.cfg.Durable = d, d
			for _, g := range []*versionGateway{a, b} {
				g.handler.RestoreCrashes(nil)
			}
			if doubt {
				states := slices.Clone(*a.states.Load())
				states[1].StatusSupersedes, states[1].Status = true, fleet.Status{ReceivedAt: time.Now(), Incarnation: 1, Alive: true, Models: states[1].Models}
				a.states.Store(&states)
				a.handler.tracker.recordBroken(f.endpoints[1])
			}
			f.turnsAway.Store(true)
			first := f.begin(a, "r1")
			f.turnsAway.Store(false)
			if got := versionsIn(first); got[0] != "two" {
				t.Fatalf("the stream began at version %s", got[0])
			}
			// What the gateway told the keepers is lost with them.
			f.keepers.forgotten.Store(true)
			a.Close()
			d.found = d.records.OfService("s", time.Now())
			second := f.call(b, "r2", "r1")
			if doubt {
				expectRejected(t, second)
				return
			}
			expectOneVersion(t, first, second)
		})
	}
}

// TestReplacedRecordOfOtherGateway guards against a record of another gateway that is kept after that gateway has replaced it.
func TestReplacedRecordOfOtherGateway(t *testing.T) {
	f := newVersionFleet(t, "one", "two")
	g := f.gateway("z0", 1)
	d := &fakeDurable{records: resume.NewRecords(), h: g.handler}
	g.handler.cfg.Durable = d
	g.handler.RestoreCrashes(nil)
	rec := resume.Record{Key: resume.KeyOf("s", "r1"), Service: "s", Version: "one", Revision: resume.NewRevision(1<<31) + 1}
	d.found = append(d.found, rec)
	expectRejected(t, f.call(g, "r2", "unknown"))
	rec.Version, rec.Revision = "two", rec.Revision+1
	d.found = append(d.found, rec)
	for _, v := range versionsIn(f.call(g, "r3", "r1")) {
		if v != "two" {
			t.Errorf("the stream continues with an event of version %s", v)
		}
	}
}
