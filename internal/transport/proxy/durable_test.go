package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/resume"
	"chervilhead/internal/transport/guard"
)

// fakeDurable is a store of records that several gateways use.
type fakeDurable struct {
	records *resume.Records
	h       *Handler
	// found are the records that a read returns.
	found  []resume.Record
	saves  atomic.Int64
	trials atomic.Int64
	grant  atomic.Bool
}

func (d *fakeDurable) SaveStreams(recs []resume.Record) {
	for _, rec := range recs {
		d.records.Put(rec, time.Now())
	}
}

func (d *fakeDurable) ReadStreams(context.Context) error {
	d.h.RestoreStreams(d.found)
	return nil
}

func (d *fakeDurable) SaveCrashes() { d.saves.Add(1) }

func (d *fakeDurable) ClaimTrial(context.Context, string) bool {
	d.trials.Add(1)
	return d.grant.Load()
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func crashOf(c *call, id string, now time.Time) poison.CrashRecord {
	return poison.CrashRecord{Fingerprint: c.fingerprint(), ExpiresAt: now.Add(crashRecordTTL), Crashes: []poison.Crash{{ID: id, Level: poison.LevelShared}}}
}

// TestCrashingRequestComesForHours guards against a request that crashes three more endpoints each time its record expires while it still comes.
func TestCrashingRequestComesForHours(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 3 * time.Minute, 50 * time.Minute} {
		h := New(Settings{Headers: testHeaders}, nil, nil, nil, nil, quietLog())
		now, runs := time.Now(), 0
		for end := now.Add(12 * time.Hour); now.Before(end); now = now.Add(every) {
			c := &call{in: httptest.NewRequest(http.MethodPost, "/a/x", strings.NewReader("")), body: guard.NewBody([]byte("deadly")), partKeys: []string{"p"}}
			_, request := h.poisonTracker.blockedRequest(c, now)
			_, part := h.poisonTracker.blockedPart(c, now)
			if request != part {
				t.Fatalf("every %v: after %d runs the request is blocked: %v, its part: %v", every, runs, request, part)
			}
			if request {
				continue
			}
			runs++
			h.poisonTracker.add(crashOf(c, fmt.Sprint(runs), now), now)
			h.poisonTracker.suspects.Crashed(c.partKeys, fmt.Sprint(runs), now)
		}
		if runs != maxCrashes {
			t.Errorf("every %v: %d runs in 12 hours, want %d", every, runs, maxCrashes)
		}
	}
}

// TestBlockedRequestTried guards against a request that stays blocked for good though it no longer crashes endpoints, and against more trials than were granted.
func TestBlockedRequestTried(t *testing.T) {
	e := startEndpoint(t, serveOK)
	g := startGateway(t, fleet.AtMostOnce, false, e)
	d := &fakeDurable{records: resume.NewRecords(), h: g.handler}
	g.handler.cfg.Durable = d
	g.handler.RestoreCrashes(nil)
	send := func() int {
		a, err := g.do(t.Context(), t, http.MethodPost, "/a/x", nil, "deadly")
		if err != nil {
			t.Fatal(err)
		}
		return a.status
	}
	c := &call{in: httptest.NewRequest(http.MethodPost, "http://test.example/a/x", nil), body: guard.NewBody([]byte("deadly"))}
	c.in.RequestURI = "/a/x"
	for i := range maxCrashes {
		g.handler.poisonTracker.add(crashOf(c, fmt.Sprint(i), time.Now()), time.Now())
	}
	if s := send(); s != http.StatusServiceUnavailable || d.trials.Load() != 0 {
		t.Fatalf("status %d, %d claims; the request isn't blocked", s, d.trials.Load())
	}
	age := func() {
		g.handler.poisonTracker.mu.Lock()
		defer g.handler.poisonTracker.mu.Unlock()
		b := g.handler.poisonTracker.blocks[c.fingerprint()]
		b.triedAt = b.triedAt.Add(-trialInterval)
		g.handler.poisonTracker.blocks[c.fingerprint()] = b
	}
	age()
	for range 5 {
		if s := send(); s != http.StatusServiceUnavailable {
			t.Errorf("status %d without a trial", s)
		}
	}
	if n := d.trials.Load(); n != 1 {
		t.Errorf("%d claims in one interval", n)
	}
	age()
	d.grant.Store(true)
	if s := send(); s != http.StatusOK {
		t.Errorf("status %d in the trial", s)
	}
	if s := send(); s != http.StatusOK {
		t.Errorf("status %d after a trial that was answered", s)
	}
	if e.requests.Load() != 2 {
		t.Errorf("%d requests reached the endpoint", e.requests.Load())
	}
}

// TestKeptCrashes guards against crash records that are kept without end, or that come back after they were cleared.
func TestKeptCrashes(t *testing.T) {
	h := New(Settings{Headers: testHeaders}, nil, nil, nil, NewMetrics(prometheus.NewRegistry()), quietLog())
	d := &fakeDurable{h: h}
	h.cfg.Durable = d
	now := time.Now()
	for i := range 1000 {
		rec := poison.CrashRecord{Fingerprint: fmt.Sprint("f", i), ExpiresAt: now.Add(time.Minute), Crashes: []poison.Crash{{ID: "1", Level: poison.LevelShared}}}
		if i == 7 {
			rec.Crashes = append(rec.Crashes, poison.Crash{ID: "2", Level: poison.LevelShared}, poison.Crash{ID: "3", Level: poison.LevelShared})
		}
		h.MergeCrashRecord(rec)
	}
	kept := h.KeptCrashes(now)
	if len(kept) != poison.MaxKept || kept[0].Fingerprint != "f7" {
		t.Fatalf("%d records are kept, first %s", len(kept), kept[0].Fingerprint)
	}
	if d.saves.Load() != 0 {
		t.Error("another gateway's crashes are saved here too")
	}
	h.MergeCrashRecord(kept[0].WithCrashesCleared(now.Add(time.Minute)))
	if d.saves.Load() != 1 {
		t.Error("a record that was cleared stays in the store")
	}
	if kept := h.KeptCrashes(now); kept[0].Fingerprint == "f7" {
		t.Error("a cleared record is kept")
	}
}

// TestSoundPartAfterLossOfAll guards against a prompt part in common use that is rejected after all processes ended, because its crashes outlived them and its answers did not.
func TestSoundPartAfterLossOfAll(t *testing.T) {
	now := time.Now()
	before := New(Settings{Headers: testHeaders}, nil, fakeControlPlane{}, nil, NewMetrics(prometheus.NewRegistry()), quietLog())
	newCall := func(part string) *call {
		return &call{in: httptest.NewRequest(http.MethodPost, "/a/x", nil), partKeys: []string{part}}
	}
	for i := range 3 {
		before.poisonTracker.suspects.Crashed([]string{"sound", "deadly"}, fmt.Sprint(i), now)
	}
	// Requests with the deadly part go on coming and being rejected; nobody has rejected one with the other.
	if !before.blocked(newCall("deadly"), now) {
		t.Fatal("the part isn't blocked")
	}
	recs := before.KeptCrashes(now.Add(confirmBlockAfter))
	after := New(Settings{Headers: testHeaders}, nil, fakeControlPlane{}, nil, NewMetrics(prometheus.NewRegistry()), quietLog())
	after.RestoreCrashes(recs)
	after.RestoreCrashes(recs)
	if after.blocked(newCall("sound"), now) {
		t.Error("a part is rejected for crashes that an answer may have cleared")
	}
	if !after.blocked(newCall("deadly"), now) {
		t.Error("a part that was rejected for long isn't any more")
	}
	after.poisonTracker.suspects.Crashed([]string{"sound"}, "another", now)
	if !after.blocked(newCall("sound"), now) {
		t.Error("crashes that outlived the processes don't count")
	}
	early := before.KeptCrashes(now.Add(confirmBlockAfter / 2))
	if slices.ContainsFunc(early, func(rec poison.CrashRecord) bool { return rec.Confirmed }) {
		t.Error("a part is confirmed before another gateway can have cleared it")
	}
}

// TestResumptionWithoutKeepers guards against a stream that can't be taken up at another gateway because the keepers that held its record have ended.
func TestResumptionWithoutKeepers(t *testing.T) {
	f := newVersionFleet(t, "one", "two")
	a, b := f.gateway("z0", 1), f.gateway("z1", 1)
	d := &fakeDurable{records: resume.NewRecords(), h: b.handler}
	a.handler.cfg.Durable, b.handler.cfg.Durable = d, d
	for _, g := range []*versionGateway{a, b} {
		g.handler.RestoreCrashes(nil)
	}
	f.breaks.Store(1)
	f.call(a, "first", "")
	f.keepers.forgotten.Store(true)
	if r := f.call(b, "second", "first"); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d without any record", r.status)
	}
	rec, ok := d.records.Get(resume.KeyOf("s", "first"), time.Now())
	if !ok || rec.Version != "one" {
		t.Fatalf("the record of the stream isn't kept: %v", rec)
	}
	d.found = []resume.Record{rec}
	if r := f.call(b, "third", "first"); r.status != http.StatusOK || strings.Contains(r.body, "two") {
		t.Errorf("status %d, %q; the store has the record", r.status, r.body)
	}
}
