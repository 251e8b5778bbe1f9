package load

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilhead/internal/state/fault"
)

// Limits of the latency histograms, which count microseconds.
const (
	// maxLatencyMicros is one hour; longer latencies are recorded as one hour.
	maxLatencyMicros      = int64(time.Hour / time.Microsecond)
	histSignificantDigits = 3
)

// Result collects the outcomes and latencies of a run; it is safe for concurrent use.
type Result struct {
	cfg Settings

	mu             sync.Mutex
	startedAt      time.Time
	endedAt        time.Time
	outcomes       map[string]int
	violations     map[string]int
	resends        int
	tokens         int
	firstToken     *hdrhistogram.Histogram
	interToken     *hdrhistogram.Histogram
	completeAnswer *hdrhistogram.Histogram
}

func newResult(cfg Settings) *Result {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, histSignificantDigits) }
	return &Result{
		cfg: cfg, outcomes: map[string]int{}, violations: map[string]int{},
		firstToken: hist(), interToken: hist(), completeAnswer: hist(),
	}
}

func (r *Result) begin(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = t
}

func (r *Result) end(t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedAt = t
}

func (r *Result) count(outcome string, pr plannedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	if pr.resend {
		r.resends++
	}
}

func (r *Result) record(pr plannedRequest, a *answer, intended, now time.Time) {
	violation := a.violation(pr)
	r.count(a.outcome, pr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if violation != "" {
		r.violations[violation]++
	}
	r.tokens += a.tokens
	if pr.stream && a.tokens > 0 {
		recordLatency(r.firstToken, a.firstTokenAt.Sub(intended))
	}
	for _, g := range a.tokenGaps {
		recordLatency(r.interToken, g)
	}
	if a.complete() {
		recordLatency(r.completeAnswer, now.Sub(intended))
	}
}

func (a *answer) complete() bool { return a.outcome == string(fault.OutcomeComplete) }

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // cannot fail: the value is within the bounds
}

// Quantiles summarizes Count samples of a latency, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P99: ms(h.ValueAtQuantile(99)), P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// Summary holds the results of a run up to one moment.
type Summary struct {
	Seed            uint64         `json:"seed"`
	TargetRate      float64        `json:"rate_wanted_per_s"`
	ElapsedSeconds  float64        `json:"elapsed_s"`
	Requests        int            `json:"requests"`
	Resends         int            `json:"resends"`
	Tokens          int            `json:"tokens"`
	TokensPerSecond float64        `json:"tokens_per_s"`
	Outcomes        map[string]int `json:"outcomes"`
	Violations      map[string]int `json:"faults"`
	FirstToken      Quantiles      `json:"first_token"`
	InterToken      Quantiles      `json:"between_tokens"`
	CompleteAnswer  Quantiles      `json:"complete_answer"`
}

// Summary returns the results up to now, or up to the end of a run that has ended.
func (r *Result) Summary(now time.Time) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.endedAt.IsZero() {
		now = r.endedAt
	}
	s := Summary{
		Seed: r.cfg.Seed, TargetRate: r.cfg.Rate, ElapsedSeconds: now.Sub(r.startedAt).Seconds(), Resends: r.resends, Tokens: r.tokens,
		Outcomes: maps.Clone(r.outcomes), Violations: maps.Clone(r.violations),
		FirstToken: quantiles(r.firstToken), InterToken: quantiles(r.interToken), CompleteAnswer: quantiles(r.completeAnswer),
	}
	for _, n := range s.Outcomes {
		s.Requests += n
	}
	if s.ElapsedSeconds > 0 {
		s.TokensPerSecond = float64(s.Tokens) / s.ElapsedSeconds
	}
	return s
}

// ViolationCount returns the number of answers that violate a guarantee to callers.
func (s Summary) ViolationCount() int {
	n := 0
	for _, c := range s.Violations {
		n += c
	}
	return n
}

// FinalSummary returns the results of a run that has ended.
func (r *Result) FinalSummary() Summary { return r.Summary(time.Time{}) }
