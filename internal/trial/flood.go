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

// Flood is a load of one endpoint: a group within its share beside one that floods.
// Loads are parts of the endpoint's capacity.
type Flood struct {
	VictimLoad, FloodLoad float64
	// VictimBursty makes the victim's requests come in one second of five, Waves the flood's.
	VictimBursty, FloodBursty bool
	// NoSlowdown is set when running more requests than slots slows none of them.
	NoSlowdown bool
}

// FloodPolicy is how an endpoint schedules during a flood.
type FloodPolicy struct {
	Name string
	// FIFO serves in order of arrival instead of fairly.
	FIFO        bool
	QueuePolicy fairq.Policy
	// CapAboveShare holds a group above its share to what the others leave of theirs.
	CapAboveShare bool
}

// RecommendedFloodPolicy is the policy of an agent whose engine batches more than its slots.
const RecommendedFloodPolicy = "kept 1, extra 4"

// FloodPolicies returns the policies that are compared.
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

// FloodResult is what a flood did to the victim and to the endpoint.
type FloodResult struct {
	Policy string
	// P95FirstTokenAlone and Beside are the victim's 95th percentile times to the first token without and beside the flood.
	P95FirstTokenAlone, P95FirstTokenInFlood time.Duration
	// Slowdown is their ratio.
	Slowdown float64
	// SlotUtilization is the part of the slot time that was used beside the flood.
	SlotUtilization float64
	// MeanRunTime is the mean time that a request ran beside the flood; it grows when the engine runs more than its slots.
	MeanRunTime time.Duration
}

// Line formats a result for golden files.
func (r FloodResult) Line() string {
	return fmt.Sprintf("%-22s p95 first token alone %.0f ms, beside the flood %.0f ms, ratio %.2f, slot time used %.3f, mean run %.0f ms",
		r.Policy, millis(r.P95FirstTokenAlone), millis(r.P95FirstTokenInFlood), r.Slowdown, r.SlotUtilization, millis(r.MeanRunTime))
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// RunFlood runs one load under one policy, without and beside the flood.
func RunFlood(l Flood, p FloodPolicy) FloodResult {
	quiet := l
	quiet.FloodLoad = 0
	alone, beside := runFlood(quiet, p), runFlood(l, p)
	r := FloodResult{Policy: p.Name, P95FirstTokenAlone: alone.first(), P95FirstTokenInFlood: beside.first(), SlotUtilization: beside.used / floodSeconds / floodSlots}
	r.Slowdown = r.P95FirstTokenInFlood.Seconds() / r.P95FirstTokenAlone.Seconds()
	sum := 0.0
	for _, v := range beside.runs {
		sum += v
	}
	r.MeanRunTime = seconds(sum / float64(len(beside.runs)))
	return r
}

// Work is in seconds of an engine that runs at most its slots.
const (
	floodSlots   = 16
	floodRun     = 0.5
	floodFirst   = 0.2
	floodSeconds = 600
	// floodQueue is the queue bound of a group.
	floodQueue = 256
	burstCycle = 5.0
	burstPart  = 0.2
)

type floodJob struct {
	group string
	// arrived and begun are times; left and done are work.
	arrived, begun float64
	left, done     float64
}

type floodRunner struct {
	load    Flood
	policy  FloodPolicy
	r       *rand.Rand
	q       *fairq.Queue[*floodJob]
	running []*floodJob
	now     float64
	firsts  []float64
	runs    []float64
	used    float64
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
		f.fill()
	}
	return f
}

// first returns the victim's 95th percentile time to the first token.
func (f *floodRunner) first() time.Duration {
	slices.Sort(f.firsts)
	return seconds(f.firsts[len(f.firsts)*95/100])
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (f *floodRunner) arrivals() []*floodJob {
	var out []*floodJob
	add := func(group string, load float64, bursty bool) {
		rate := load * floodSlots / floodRun
		if bursty {
			rate /= burstPart
		}
		for at := 0.0; rate > 0; {
			at += f.r.ExpFloat64() / rate
			when := at
			if bursty { // arrivals come in the first part of each cycle
				when = math.Floor(at/(burstCycle*burstPart))*burstCycle + math.Mod(at, burstCycle*burstPart)
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
		j.left = floodRun * (0.5 + f.r.Float64())
	}
	return out
}

// speed is the work done per second and request. An engine that runs more than its
// slots is taken to do no more work in total, which is the worst case.
func (f *floodRunner) speed() float64 {
	if f.load.NoSlowdown {
		return 1
	}
	return min(1, floodSlots/float64(max(len(f.running), 1)))
}

func (f *floodRunner) nextEnd() float64 {
	end := math.Inf(1)
	for _, j := range f.running {
		end = min(end, f.now+j.left/f.speed())
	}
	return end
}

func (f *floodRunner) advance(to float64) {
	work := (to - f.now) * f.speed()
	for _, j := range f.running {
		if j.group == "victim" && j.done < floodFirst && j.done+work >= floodFirst {
			f.firsts = append(f.firsts, f.now+(floodFirst-j.done)/f.speed()-j.arrived)
		}
		j.done += work
		j.left -= work
	}
	if f.now < floodSeconds {
		f.used += float64(len(f.running)) * f.speed() * (min(to, floodSeconds) - f.now)
	}
	f.now = to
}

func (f *floodRunner) lane(j *floodJob) string {
	if f.policy.FIFO {
		return "all"
	}
	return j.group
}

func (f *floodRunner) arrive(j *floodJob) {
	f.q.Arrived(f.lane(j), f.time())
	if f.q.GroupLen(f.lane(j)) < floodQueue {
		f.q.Push(f.lane(j), 0, 1, j)
	}
}

func (f *floodRunner) time() time.Time { return time.Unix(0, 0).Add(seconds(f.now)) }

func (f *floodRunner) finish() {
	f.running = slices.DeleteFunc(f.running, func(j *floodJob) bool {
		ended := j.left < 1e-9
		if ended {
			f.q.Done(f.lane(j), f.time())
			f.runs = append(f.runs, f.now-j.begun)
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

func (f *floodRunner) fill() {
	equal := func(string) float64 { return 1 }
	for f.q.Len() > 0 && (!f.policy.CapAboveShare || f.q.GroupLen("victim") > 0 || f.count("flood") < f.cap()) {
		it, ok := f.q.Take(equal, fairq.Server{Slots: floodSlots, MeanRun: seconds(floodRun)}, f.time())
		if !ok {
			return
		}
		f.q.Start(it.Group, f.time())
		it.Value.begun = f.now
		f.running = append(f.running, it.Value)
	}
}

// cap is what the victim leaves: the slots without the 95th percentile of those that
// a victim with this load runs at once without waiting.
func (f *floodRunner) cap() int {
	mean := f.load.VictimLoad * floodSlots
	if f.load.VictimBursty {
		mean /= burstPart
	}
	const tail = 1.645 // 95th percentile of a normal distribution
	return max(floodSlots/2, floodSlots-int(math.Ceil(mean+tail*math.Sqrt(mean))))
}
