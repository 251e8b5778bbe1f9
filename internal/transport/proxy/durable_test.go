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
	found []resume.Record
	saves atomic.Int64
	// asked counts the claims of trials, pauses are those of the claims that were granted, and wait is
	// returned for the others.
	asked  atomic.Int64
	grant  atomic.Bool
	pauses []time.Duration
	wait   time.Duration
}

func (d *fakeDurable) SaveStreams(recs []resume.Record) <-chan struct{} {
	for _, rec := range recs {
		d.records.Put(rec, time.Now())
	}
	return nil
}

func (d *fakeDurable) ReadStreams(context.Context) error {
	d.h.RestoreStreams(d.found)
	return nil
}

func (d *fakeDurable) SaveCrashes() { d.saves.Add(1) }

func (d *fakeDurable) ClaimTrial(_ context.Context, _ uint64, pause time.Duration) (bool, time.Duration) {
	if d.asked.Add(1); !d.grant.Load() {
		return false, d.wait
	}
	d.pauses = append(d.pauses, pause)
	return true, 0
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// TestCrashingRequestComesForHours guards against a request that crashes three more endpoints each time its record expires while it still comes.
func TestCrashingRequestComesForHours(t *testing.T) {
	for _, every := range []time.Duration{time.Second, 3 * time.Minute, 50 * time.Minute} {
		for name, partKeys := range map[string][]uint64{"a request": nil, "a part": {7}} {
			tr := newPoisonTracker()
			now, runs := time.Now(), 0
			for end := now.Add(12 * time.Hour); now.Before(end); now = now.Add(every) {
				c := &call{in: httptest.NewRequest(http.MethodPost, "/a/x", strings.NewReader("")), body: guard.NewBody([]byte("deadly")), partKeys: partKeys}
				if partKeys != nil {
					c.body = guard.NewBody([]byte(now.String()))
				}
				if b, blocked := tr.blockOf(c, now); blocked {
					tr.noteBlock(b, now)
					tr.extend(c, b.Key, now)
					continue
				}
				runs++
				tr.suspects.Crashed(c.keys(), uint64(runs), false, now)
			}
			if runs != 3 {
				t.Errorf("%s, every %v: %d runs in 12 hours, want 3", name, every, runs)
			}
		}
	}
}

// blockAll makes a handler block requests with some keys.
func blockAll(h *Handler, keys []uint64) {
	for i := range uint64(3) {
		h.MergeCrashReport(poison.CrashReport{Crash: i, Keys: keys})
	}
}

// age lets time pass for the claims of trials.
func age(h *Handler, d time.Duration) {
	h.poisonTracker.mu.Lock()
	defer h.poisonTracker.mu.Unlock()
	for _, b := range h.poisonTracker.blocks {
		for explained, at := range b.claimAt {
			b.claimAt[explained] = at.Add(-d)
		}
	}
}

// TestBlockedRequestTried guards against a request that stays blocked for good though it no longer crashes endpoints, and against more trials than were granted.
func TestBlockedRequestTried(t *testing.T) {
	e := startEndpoint(t, serveOK)
	g := startGateway(t, fleet.AtMostOnce, false, e)
	d := &fakeDurable{records: resume.NewRecords(), h: g.handler, wait: 300 * time.Millisecond}
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
	blockAll(g.handler, c.keys())
	for range 5 {
		if s := send(); s != http.StatusServiceUnavailable || d.asked.Load() != 0 {
			t.Errorf("status %d, %d claims as soon as the request is blocked", s, d.asked.Load())
		}
	}
	age(g.handler, time.Second)
	for range 5 {
		if s := send(); s != http.StatusServiceUnavailable {
			t.Errorf("status %d without a trial", s)
		}
	}
	if n := d.asked.Load(); n != 1 {
		t.Errorf("%d claims before another may succeed", n)
	}
	age(g.handler, d.wait)
	d.grant.Store(true)
	if s := send(); s != http.StatusOK {
		t.Errorf("status %d in the trial", s)
	}
	if s := send(); s != http.StatusOK {
		t.Errorf("status %d after a trial that was answered", s)
	}
	if e.requests.Load() != 2 || len(d.pauses) != 1 {
		t.Errorf("%d requests reached the endpoint, %d trials", e.requests.Load(), len(d.pauses))
	}
}

// TestTrialsEnd guards against a deadly part that is tried without end, and ever as soon.
func TestTrialsEnd(t *testing.T) {
	f := newDeadlyFleet(t, fleet.Stream, 8)
	d := &fakeDurable{h: f.handler}
	d.grant.Store(true)
	f.handler.cfg.Durable = d
	f.handler.RestoreCrashes(nil)
	for i := range 20 {
		f.send(fmt.Sprint("deadly-", i), fmt.Sprintf("aa:300,dd:9,%d:5", i), fmt.Sprint("deadly-", i))
		if asked := d.asked.Load(); i%2 == 0 {
			age(f.handler, time.Minute+4*time.Second)
		} else if f.send("again", "aa:300,dd:9,again:5", "again"); d.asked.Load() != asked {
			t.Error("a trial is claimed right after one that crashed an endpoint")
		}
	}
	if want := []time.Duration{time.Second, 8 * time.Second, 64 * time.Second}; !slices.Equal(d.pauses, want) || f.reached() != 6 {
		t.Errorf("trials after %v, want %v; %d requests reached endpoints, want 6", d.pauses, want, f.reached())
	}
}

// TestKeptCrashes guards against crash reports that are kept without end, or that come back after they were cleared.
func TestKeptCrashes(t *testing.T) {
	h := New(Settings{Headers: testHeaders}, nil, nil, nil, NewMetrics(prometheus.NewRegistry()), quietLog())
	d := &fakeDurable{h: h}
	h.cfg.Durable = d
	now := time.Now()
	for i := range uint64(10_000) {
		h.MergeCrashReport(poison.CrashReport{Crash: i, Keys: []uint64{1<<40 + i}})
	}
	blockAll(h, []uint64{7})
	holds := func(reports []poison.CrashReport) (crashes, keys int) {
		for _, r := range reports {
			if keys += len(r.Keys); slices.Contains(r.Keys, 7) {
				crashes++
			}
		}
		return crashes, keys
	}
	if crashes, keys := holds(h.KeptCrashes(now)); crashes != 3 || 8*keys > poison.MaxKeptBytes {
		t.Fatalf("%d of 3 crashes of a blocked key are kept, with %d keys in all", crashes, keys)
	}
	h.MergeCrashReport(poison.CrashReport{Crash: 9999, Cleared: []uint64{1<<40 + 9999}})
	if d.saves.Load() != 0 {
		t.Error("another gateway's crashes, or the answer that cleared a key which isn't blocked, are saved here too")
	}
	for i := range uint64(3) {
		h.MergeCrashReport(poison.CrashReport{Crash: i, Cleared: []uint64{7}})
	}
	if d.saves.Load() != 1 {
		t.Errorf("a block that was cleared was taken out of the store by %d writes", d.saves.Load())
	}
	if crashes, _ := holds(h.KeptCrashes(now)); crashes != 0 {
		t.Error("a cleared key is kept")
	}
}

// TestBlocksAfterLossOfAll guards against a deadly part that is forgotten when all processes end, and against a sound one that its crashes block from then on.
func TestBlocksAfterLossOfAll(t *testing.T) {
	now := time.Now()
	before := newDeadlyFleet(t, fleet.Stream, 6)
	for i := range 3 {
		before.send(fmt.Sprint("deadly-", i), fmt.Sprintf("aa:300,dd:9,%d:5", i), fmt.Sprint("deadly-", i))
	}
	reports := before.handler.KeptCrashes(now)
	after := newDeadlyFleet(t, fleet.Stream, 6)
	d := &fakeDurable{h: after.handler}
	after.handler.cfg.Durable = d
	after.handler.RestoreCrashes(reports)
	after.handler.RestoreCrashes(reports)
	if a := after.send("deadly", "aa:300,dd:9,again:5", "deadly"); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d of a deadly request", a.status)
	}
	d.grant.Store(true)
	for i := range 5 {
		if a := after.send(fmt.Sprint("sound-", i), fmt.Sprintf("aa:300,%d:5", i), fmt.Sprint("sound-", i)); a.status != http.StatusOK {
			t.Errorf("status %d of a sound request", a.status)
		}
	}
	d.grant.Store(false)
	if a := after.send("deadly-again", "aa:300,dd:9,again:6", "deadly-again"); a.status != http.StatusServiceUnavailable || after.reached() != 5 {
		t.Errorf("status %d of a deadly request, %d requests reached endpoints", a.status, after.reached())
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
