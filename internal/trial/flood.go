package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilhead/internal/state/fairq"
)

// Flood is a load on one endpoint: a victim group within its share beside a group that floods.
// Loads are fractions of the endpoint's capacity.
type Flood struct {
	VictimLoad, FloodLoad float64
	// VictimBursty makes the victim's requests arrive in one second of five, FloodBursty the flood's.
	VictimBursty, FloodBursty bool
	// NoSlowdown is set if requests do not slow down when more run than there are slots.
	NoSlowdown bool
}

// FloodPolicy is how an endpoint schedules during a flood.
type FloodPolicy struct {
	Name string
	// FIFO serves in order of arrival instead of by fair queueing.
	FIFO        bool
	QueuePolicy fairq.Policy
	// CapAboveShare caps a group above its share at the slots that the others leave unused.
	CapAboveShare bool
}

// RecommendedFloodPolicy is the policy for an agent whose engine can batch more requests than its slots.
const RecommendedFloodPolicy = "kept 1, extra 4"

// FloodPolicies returns the compared policies.
func FloodPolicies() []FloodPolicy {
	out := []FloodPolicy{
		{Name: "arrival order", FIFO: true},
		{Name: "fair by what runs now"},
		{Name: "cap at what is left", CapAboveShare: true},
	}
	for _, s := range []struct{ kept, extra int }{{0, 0}, {1, 0}, {2, 0}, {0, 4}, {1, 4}} {
		rule := fairq.DefaultPolicy
		rule.KeptSlots, rule.ExtraSlots = s.kept, s.extra
		out = append(out, FloodPolicy{Name: fmt.Sprintf("kept %d, extra %d", s.kept, s.extra), QueuePolicy: rule})
	}
	return out
}

// FloodResult is the effect of a flood on the victim and on the endpoint.
type FloodResult struct {
	Policy string
	// P95FirstTokenAlone and P95FirstTokenInFlood are the victim's 95th percentile times to first token
	// without and with the flood.
	P95FirstTokenAlone, P95FirstTokenInFlood time.Duration
	// Slowdown is P95FirstTokenInFlood divided by P95FirstTokenAlone.
	Slowdown float64
	// SlotUtilization is the fraction of the slot time that was used during the flood.
	SlotUtilization float64
	// MeanRunTime is the mean run time of a request during the flood; it grows when the engine runs more
	// requests than it has slots.
	MeanRunTime time.Duration
}

// Line formats a result for golden files.
func (r FloodResult) Line() string {
	return fmt.Sprintf("%-22s p95 first token alone %.0f ms, beside the flood %.0f ms, ratio %.2f, slot time used %.3f, mean run %.0f ms",
		r.Policy, millis(r.P95FirstTokenAlone), millis(r.P95FirstTokenInFlood), r.Slowdown, r.SlotUtilization, millis(r.MeanRunTime))
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// RunFlood simulates one load under one policy, without and with the flood.
func RunFlood(l Flood, p FloodPolicy) FloodResult {
	baseline := l
	baseline.FloodLoad = 0
	alone, flooded := runFlood(baseline, p), runFlood(l, p)
	r := FloodResult{Policy: p.Name, P95FirstTokenAlone: alone.firstTokenP95(), P95FirstTokenInFlood: flooded.firstTokenP95(), SlotUtilization: flooded.slotSeconds / floodSeconds / floodSlots}
	r.Slowdown = r.P95FirstTokenInFlood.Seconds() / r.P95FirstTokenAlone.Seconds()
	sum := 0.0
	for _, v := range flooded.runTimes {
		sum += v
	}
	r.MeanRunTime = seconds(sum / float64(len(flooded.runTimes)))
	return r
}

// Parameters of the flood simulation. Work is in seconds of an engine that runs no more
// requests than it has slots.
const (
	floodSlots          = 16
	floodMeanRun        = 0.5
	floodFirstTokenWork = 0.2
	floodSeconds        = 600
	// floodGroupQueueLimit is the most requests that a group may have queued.
	floodGroupQueueLimit = 256
	burstCycle           = 5.0
	burstFraction        = 0.2
)

type floodJob struct {
	group string
	// arrived and begun are times, workLeft and workDone amounts of work, all in seconds.
	arrived, begun     float64
	workLeft, workDone float64
}

type floodRunner struct {
	load            Flood
	policy          FloodPolicy
	r               *rand.Rand
	q               *fairq.Queue[*floodJob]
	running         []*floodJob
	now             float64
	firstTokenTimes []float64
	runTimes        []float64
	slotSeconds     float64
}

func runFlood(l Flood, p FloodPolicy) *floodRunner {
	f := &floodRunner{load: l, policy: p, r: rand.New(rand.NewPCG(7, 7)), q: fairq.New[*floodJob]().WithPolicy(p.QueuePolicy)}
	arrivals := f.arrivals()
	for len(arrivals) > 0 || len(f.running) > 0 {
		end := f.nextEnd()
		if len(arrivals) > 0 && arrivals[0].arrived < end {
			f.advance(arrivals[0].arrived)
			f.arrive(arrivals[0])
			arrivals = arrivals[1:]
		} else {
			f.advance(end)
		}
		f.finish()
		f.startQueued()
	}
	return f
}

// firstTokenP95 returns the victim's 95th percentile time to first token.
func (f *floodRunner) firstTokenP95() time.Duration {
	slices.Sort(f.firstTokenTimes)
	return seconds(f.firstTokenTimes[len(f.firstTokenTimes)*95/100])
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (f *floodRunner) arrivals() []*floodJob {
	var out []*floodJob
	add := func(group string, load float64, bursty bool) {
		rate := load * floodSlots / floodMeanRun
		if bursty {
			rate /= burstFraction
		}
		for at := 0.0; rate > 0; {
			at += f.r.ExpFloat64() / rate
			when := at
			if bursty { // all arrivals fall into the first burstFraction of a cycle
				when = math.Floor(at/(burstCycle*burstFraction))*burstCycle + math.Mod(at, burstCycle*burstFraction)
			}
			if when > floodSeconds {
				return
			}
			out = append(out, &floodJob{group: group, arrived: when})
		}
	}
	add("victim", f.load.VictimLoad, f.load.VictimBursty)
	add("flood", f.load.FloodLoad, f.load.FloodBursty)
	slices.SortStableFunc(out, func(a, b *floodJob) int { return cmp.Compare(a.arrived, b.arrived) })
	for _, j := range out {
		j.workLeft = floodMeanRun * (0.5 + f.r.Float64())
	}
	return out
}

// speed returns the work done per second and request. The total of an engine that runs
// more requests than its slots is assumed not to grow, which is the worst case.
func (f *floodRunner) speed() float64 {
	if f.load.NoSlowdown {
		return 1
	}
	return min(1, floodSlots/float64(max(len(f.running), 1)))
}

func (f *floodRunner) nextEnd() float64 {
	end := math.Inf(1)
	for _, j := range f.running {
		end = min(end, f.now+j.workLeft/f.speed())
	}
	return end
}

func (f *floodRunner) advance(to float64) {
	work := (to - f.now) * f.speed()
	for _, j := range f.running {
		if j.group == "victim" && j.workDone < floodFirstTokenWork && j.workDone+work >= floodFirstTokenWork {
			f.firstTokenTimes = append(f.firstTokenTimes, f.now+(floodFirstTokenWork-j.workDone)/f.speed()-j.arrived)
		}
		j.workDone += work
		j.workLeft -= work
	}
	if f.now < floodSeconds {
		f.slotSeconds += float64(len(f.running)) * f.speed() * (min(to, floodSeconds) - f.now)
	}
	f.now = to
}

func (f *floodRunner) queueGroup(j *floodJob) string {
	if f.policy.FIFO {
		return "all"
	}
	return j.group
}

func (f *floodRunner) arrive(j *floodJob) {
	f.q.Arrived(f.queueGroup(j), f.time())
	if f.q.GroupLen(f.queueGroup(j)) < floodGroupQueueLimit {
		f.q.Push(f.queueGroup(j), 0, 1, j)
	}
}

func (f *floodRunner) time() time.Time { return time.Unix(0, 0).Add(seconds(f.now)) }

func (f *floodRunner) finish() {
	f.running = slices.DeleteFunc(f.running, func(j *floodJob) bool {
		ended := j.workLeft < 1e-9
		if ended {
			f.q.Done(f.queueGroup(j), f.time())
			f.runTimes = append(f.runTimes, f.now-j.begun)
		}
		return ended
	})
}

func (f *floodRunner) count(group string) int {
	n := 0
	for _, j := range f.running {
		if j.group == group {
			n++
		}
	}
	return n
}

func (f *floodRunner) startQueued() {
	equal := func(string) float64 { return 1 }
	for f.q.Len() > 0 && (!f.policy.CapAboveShare || f.q.GroupLen("victim") > 0 || f.count("flood") < f.cap()) {
		it, ok := f.q.Take(equal, fairq.Server{Slots: floodSlots, MeanRun: seconds(floodMeanRun)}, f.time())
		if !ok {
			return
		}
		f.q.Start(it.Group, f.time())
		it.Value.begun = f.now
		f.running = append(f.running, it.Value)
	}
}

// cap returns the slots that the victim leaves to the flood: all slots minus the 95th
// percentile of those that a victim with this load occupies if it never waits, but at
// least half of the slots.
func (f *floodRunner) cap() int {
	mean := f.load.VictimLoad * floodSlots
	if f.load.VictimBursty {
		mean /= burstFraction
	}
	const tail = 1.645 // 95th percentile of a normal distribution
	return max(floodSlots/2, floodSlots-int(math.Ceil(mean+tail*math.Sqrt(mean))))
}
