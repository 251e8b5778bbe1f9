package proxy

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// slowDurable is a store that confirms records when keep is closed. Its reads fail if fails is set.
type slowDurable struct {
	*fakeDurable
	keep  chan struct{}
	fails bool
}

var errAway = errors.New("the store is away")

func (d *slowDurable) SaveStreams(recs []resume.Record) <-chan struct{} {
	d.fakeDurable.SaveStreams(recs)
	return d.keep
}

func (d *slowDurable) ReadStreams(ctx context.Context) error {
	if d.fails {
		return errAway
	}
	d.found = d.records.OfService("s", time.Now())
	return d.fakeDurable.ReadStreams(ctx)
}

// newRelease returns a fleet whose service was settled at version one until version two came, and
// gateways that prefer the endpoint of version one, or of version two.
func newRelease(t *testing.T) (f *versionFleet, one, two *versionGateway, d *slowDurable) {
	f = newVersionFleet(t, "one", "two", "one")
	d = &slowDurable{fakeDurable: &fakeDurable{records: resume.NewRecords()}, keep: make(chan struct{})}
	close(d.keep)
	old := []fleet.Endpoint{f.endpoints[0], f.endpoints[2]}
	one, two = f.settledGateway("z0", old...), f.settledGateway("z1", old...)
	for _, g := range []*versionGateway{one, two} {
		g.handler.cfg.Durable = d
		g.handler.RestoreCrashes(nil)
	}
	return f, one, two, d
}

// TestUnrecordedStreamOfSettledService guards against a stream that can't be taken up because a second version came after it had begun and its gateway is gone, and against one of either version that goes on at the other.
func TestUnrecordedStreamOfSettledService(t *testing.T) {
	f, one, two, d := newRelease(t)
	d.h = two.handler
	first := f.begin(one, "r1")
	if n := len(d.records.OfService("s", time.Now())); n != 0 {
		t.Fatalf("%d records were kept while the service was settled", n)
	}
	f.list(two, f.endpoints...)
	ofTwo := f.begin(two, "r2")
	if got := versionsIn(ofTwo); got[0] != "two" {
		t.Fatalf("the new stream began at version %s", got[0])
	}
	// What the keepers and both gateways know is lost with them.
	f.keepers.forgotten.Store(true)
	one.Close()
	two.Close()
	g := f.settledGateway("z1", f.endpoints[0], f.endpoints[2])
	g.handler.cfg.Durable, d.h = d, g.handler
	g.handler.RestoreCrashes(nil)
	f.list(g, f.endpoints...)
	d.fails = true
	expectRejected(t, f.call(g, "r3", "r1"))
	d.fails = false
	expectOneVersion(t, first, f.call(g, "r4", "r1"))
	expectOneVersion(t, ofTwo, f.call(g, "r5", "r2"))
	expectRejected(t, f.call(g, "r6", "", "Last-Event-Id", "2"))
	// Two callers took the same id.
	key := resume.KeyOf("s", "r7")
	g.handler.RestoreStreams([]resume.Record{{Key: key, Service: "s", Version: "one"}, {Key: key, Service: "s", Version: "two"}})
	expectRejected(t, f.call(g, "r8", "r7"))
}

// TestFirstEventWaitsForRecord guards against a stream of a version that has just come whose first event is sent before its record is kept, so that it may go on at the version before.
func TestFirstEventWaitsForRecord(t *testing.T) {
	f, one, two, d := newRelease(t)
	d.h = two.handler
	f.list(one, f.endpoints...)
	f.list(two, f.endpoints...)
	d.keep = make(chan struct{})
	took := func(g *versionGateway, id string) time.Duration {
		began := time.Now()
		if got := versionsIn(f.call(g, id, "")); len(slices.Compact(got)) != 1 {
			t.Errorf("the stream has events of versions %v", got)
		}
		return time.Since(began)
	}
	if d := took(one, "r1"); d > keepTimeout/2 {
		t.Errorf("a stream of the version before took %v", d)
	}
	if d := took(two, "r2"); d < keepTimeout {
		t.Errorf("a stream of the new version took %v while its record wasn't kept", d)
	}
	const keptAfter = 50 * time.Millisecond
	time.AfterFunc(keptAfter, func() { close(d.keep) })
	if d := took(two, "r3"); d < keptAfter || d > keepTimeout {
		t.Errorf("a stream of the new version took %v, its record was kept after %v", d, keptAfter)
	}
	f.list(one, f.endpoints[:2]...)
	f.turnsAway.Store(true)
	d.keep = make(chan struct{})
	if d := took(one, "r4"); d < keepTimeout {
		t.Errorf("a stream whose record replaces another one took %v while it wasn't kept", d)
	}
}
