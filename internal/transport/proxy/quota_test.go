package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/notice"

	"github.com/prometheus/client_golang/prometheus"
)

// fakeQuotas has some units for every group.
type fakeQuotas struct {
	mu                 sync.Mutex
	left               float64
	unconfirmed, above bool
	// hangs is set if the quota covers nothing until the request ends.
	hangs bool
	// silent means that the planner doesn't reply.
	silent bool
	served []bool
}

func (f *fakeQuotas) Take(ctx context.Context, _ fleet.Group, units float64, _ time.Duration) (time.Duration, bool) {
	if f.hangs {
		<-ctx.Done()
		return time.Second, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return 0, false
	}
	if f.left < units {
		return 1234 * time.Millisecond, false
	}
	f.left -= units
	return 0, true
}

func (f *fakeQuotas) Return(_ fleet.Group, units float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left += units
}

func (f *fakeQuotas) Confirmed() bool             { return !f.unconfirmed }
func (f *fakeQuotas) AboveShare(string) bool      { return f.above }
func (f *fakeQuotas) Ended(_ string, served bool) { f.served = append(f.served, served) }

// quotaCall returns a handler with quotas and a call of a group that has one.
func quotaCall(q *fakeQuotas, counts string) (*Handler, *call, *httptest.ResponseRecorder) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	in := httptest.NewRequest(http.MethodPost, "/", nil)
	if counts != "" {
		in.Header.Set(testHeaders.TokenCounts, counts)
	}
	w := httptest.NewRecorder()
	h := &Handler{cfg: Settings{Headers: testHeaders, Quotas: q}, metrics: NewMetrics(prometheus.NewRegistry()), log: logrus.NewEntry(log)}
	g := fleet.Group{Name: "g", Quota: fleet.Quota{Unit: fleet.QuotaTokens, PerSecond: 1000, PlainTokens: 70}}
	return h, &call{in: in, w: w, ctx: in.Context(), began: time.Now(), deadline: time.Now().Add(time.Second), group: g}, w
}

// TestQuotaRefusal guards against requests beyond the quota that run or get another status, and
// against 429 while nobody knows what is left of the quota.
func TestQuotaRefusal(t *testing.T) {
	for _, tc := range []struct {
		unconfirmed, silent bool
		status              int
		outcome             string
	}{{false, false, 429, "over_quota"}, {true, false, 503, "quota_unknown"}, {false, true, 503, "quota_unknown"}} {
		h, c, w := quotaCall(&fakeQuotas{left: 99, unconfirmed: tc.unconfirmed, silent: tc.silent}, "60,40")
		if h.takeQuota(c) || w.Code != tc.status || c.outcome != tc.outcome || w.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, outcome %q, header %v", w.Code, c.outcome, w.Header())
		}
		if got := w.Header().Get("Retry-After"); tc.status == 429 && got != "1.24" {
			t.Errorf("Retry-After %s is before the budget covers the request", got)
		}
	}
}

// TestQuotaCost guards against requests that cost other than what the group's unit says.
func TestQuotaCost(t *testing.T) {
	tokens := fleet.Quota{Unit: fleet.QuotaTokens, PlainTokens: 70}
	for counts, want := range map[string]float64{"60,40": 100, "60": 60, "": 70, "x": 70, "-5,3": 70} {
		if got := quotaCost(tokens, counts); got != want {
			t.Errorf("%q costs %v tokens, want %v", counts, got, want)
		}
		if got := quotaCost(fleet.Quota{}, counts); got != 1 {
			t.Errorf("%q costs %v requests", counts, got)
		}
	}
}

// TestQuotaReturned guards against quota that requests use up which have not run, and against
// returned quota of requests that may have run.
func TestQuotaReturned(t *testing.T) {
	for _, tc := range []struct {
		name     string
		end      func(c *call)
		returned bool
	}{
		{"rejected", func(c *call) { c.outcome = "too_late" }, true},
		{"answered", func(c *call) { c.responseBegun, c.outcome = true, outcomeAnswered }, false},
		{"may have run", func(c *call) { c.possibleRuns = 1 }, false},
		{"late", func(c *call) { c.quotaTakenAt = c.quotaTakenAt.Add(-time.Minute) }, false},
	} {
		q := &fakeQuotas{left: 100}
		h, c, _ := quotaCall(q, "60,40")
		if !h.takeQuota(c) {
			t.Fatal("refused")
		}
		tc.end(c)
		h.endQuota(c)
		if (q.left == 100) != tc.returned || len(q.served) != 1 || q.served[0] != (tc.name == "answered") {
			t.Errorf("%s: %v units are left, served %v", tc.name, q.left, q.served)
		}
	}
}

// TestYieldingPriority guards against a lower priority where no request waits at the engine or
// the group uses its share, against groups above their share that hold up the others, and against
// those that get nothing from an engine with too much other work.
func TestYieldingPriority(t *testing.T) {
	for _, tc := range []struct {
		above   bool
		waiting int
		draw    float64
		want    int
	}{{true, 1, 1, lastPriority}, {true, 1, 0, 3}, {true, 0, 1, 3}, {false, 1, 1, 3}} {
		h, c, _ := quotaCall(&fakeQuotas{above: tc.above}, "")
		h.cfg.Random = func(n int64) int64 { return int64(tc.draw * float64(n-1)) }
		e := fleet.Endpoint{ID: "e"}
		h.control = fakeControlPlane{states: func() []fleet.State {
			return []fleet.State{{Endpoint: e, StatusSupersedes: true, Status: fleet.Status{Waiting: tc.waiting}}}
		}, leavers: notice.NewLeavers()}
		if got := h.enginePriority(c, e, c.priority()); got != tc.want {
			t.Errorf("%+v: priority %d", tc, got)
		}
	}
}

// TestDeadlineWhileWaitingForQuota guards against a request whose time ends in the wait for its
// group's quota and that its caller sees succeed without a body.
func TestDeadlineWhileWaitingForQuota(t *testing.T) {
	h, c, w := quotaCall(&fakeQuotas{hangs: true}, "")
	ctx, cancel := context.WithTimeoutCause(c.ctx, time.Millisecond, errTimeout)
	defer cancel()
	c.ctx = ctx
	if h.takeQuota(c) {
		t.Fatal("served")
	}
	if c.status != http.StatusTooManyRequests || w.Code != c.status {
		t.Errorf("status %d, the caller sees %d, want 429: the request has not run", c.status, w.Code)
	}
}

// TestNoQuota guards against calls for quota where no group has one.
func TestNoQuota(t *testing.T) {
	h, c, _ := quotaCall(nil, "")
	c.group = fleet.Group{}
	h.cfg.Quotas = nil
	if !h.takeQuota(c) || !c.quotaTakenAt.IsZero() {
		t.Error("a request without a quota was refused or counted")
	}
	h.endQuota(c)
}
