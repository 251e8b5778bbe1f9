package proxy

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
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

// TestStreamOutlivesBreak guards against streams that can't be taken up because an endpoint's version stays in doubt after a connection broke, though its other streams go on.
func TestStreamOutlivesBreak(t *testing.T) {
	f := newVersionFleet(t, "one", "two")
	next := make(chan struct{})
	e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
		startStream(c, r)
		writeChunk(c, "id: 1\ndata: one\n\n")
		if r.Header.Get("Test-Slow") == "" {
			_ = c.Close()
			return
		}
		for id := 2; id <= 3; id++ {
			<-next
			writeChunk(c, fmt.Sprintf("id: %d\ndata: one\n\n", id))
		}
		writeChunk(c, "")
	})
	f.endpoints[0].Address = e.addr
	g := f.gateway("z0", 1)
	d := &fakeDurable{records: resume.NewRecords(), h: g.handler}
	g.handler.cfg.Durable = d
	g.handler.RestoreCrashes(nil)
	// The gateway has seen both versions, and only this endpoint is left.
	f.list(g, f.endpoints[0])
	states := slices.Clone(*g.states.Load())
	states[0].StatusSupersedes, states[0].Status = true, fleet.Status{ReceivedAt: time.Now(), Incarnation: 1, Alive: true, Models: states[0].Models}
	g.states.Store(&states)

	var slow sync.WaitGroup
	slow.Go(func() { f.call(g, "slow", "", "Test-Slow", "1") })
	waitUntil(t, "the endpoint has the slow request", func() bool { return e.requests.Load() == 1 })
	doubtful := func(id string) bool {
		f.call(g, id, "")
		rec, ok := d.records.Get(resume.KeyOf("s", id), time.Now())
		if !ok || rec.Version != "one" {
			t.Fatalf("the record of stream %s is %+v, known %v", id, rec, ok)
		}
		return rec.Doubtful
	}
	if doubtful("r1") {
		t.Error("the version is in doubt before anything broke")
	}
	if !doubtful("r2") {
		t.Error("the version isn't in doubt after a connection broke")
	}
	next <- struct{}{}
	waitUntil(t, "the slow stream's event arrives", func() bool { return g.handler.tracker.breaks(f.endpoints[0]).Last().IsZero() })
	if doubtful("r3") {
		t.Error("the version is in doubt though the slow stream went on")
	}
	next <- struct{}{}
	slow.Wait()
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 200 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not within 2 s: %s", what)
}
