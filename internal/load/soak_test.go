package load

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"
)

var soak = flag.Duration("soak", 10*time.Minute, "time of steady load in BenchmarkSteady")

// sampleInterval is the time between two readings of the memory of the processes.
const sampleInterval = time.Second

// footprint is the mean memory of a role's processes: the least live heap (without
// garbage) with stacks and the least goroutines of several readings, and the latest
// resident memory.
type footprint struct{ heapKB, residentKB, goroutines float64 }

// footprints reads the processes for a time.
func (p *procs) footprints(d time.Duration) map[string]footprint {
	out := map[string]footprint{}
	for end := time.Now().Add(d); ; time.Sleep(sampleInterval) {
		for role, m := range p.sums() {
			n := m["processes"]
			live := m["go_gc_heap_live_bytes"] + m["go_memstats_stack_inuse_bytes"]
			now := footprint{live / n / 1024, m["process_resident_memory_bytes"] / n / 1024, m["go_goroutines"] / n}
			if old, ok := out[role]; ok {
				now.heapKB, now.goroutines = math.Min(now.heapKB, old.heapKB), math.Min(now.goroutines, old.goroutines)
			}
			out[role] = now
		}
		if !time.Now().Before(end) {
			return out
		}
	}
}

func (p *procs) report(name string, f map[string]footprint) {
	for role, v := range f {
		p.b.ReportMetric(v.heapKB, name+"-"+role+"-heapKB")
		p.b.ReportMetric(v.residentKB, name+"-"+role+"-residentKB")
		p.b.ReportMetric(v.goroutines, name+"-"+role+"-goroutines")
	}
}

// BenchmarkStreamMemory measures the heap of one entry and its agents at several numbers of open streams.
// The answers are longer than the run, so that no stream ends. Use -benchtime 1x.
func BenchmarkStreamMemory(b *testing.B) {
	if testing.Short() {
		b.Skip("starts processes")
	}
	const rampUp, open = 5 * time.Second, 45 * time.Second
	for _, streams := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			p := newProcs(b, procSize{entries: 1, agents: 16, models: 1, copies: 16, interval: 100 * time.Millisecond})
			p.settle(16)
			cfg := p.load(100*time.Millisecond, 1, rampUp)
			cfg.Arrival = ArrivalConstant
			cfg.Rate, cfg.Count, cfg.Tokens = float64(streams)/rampUp.Seconds(), streams, int(open/(100*time.Millisecond))
			for range b.N {
				before := p.footprints(10 * time.Second)
				done := make(chan Summary)
				go func() { done <- p.run(cfg) }()
				time.Sleep(rampUp + 5*time.Second)
				after := p.footprints(20 * time.Second)
				sum := <-done
				b.Logf("%s", sum.Line())
				for role, v := range after {
					b.ReportMetric(v.heapKB-before[role].heapKB, role+"-heapKB")
					b.ReportMetric(v.goroutines-before[role].goroutines, role+"-goroutines")
				}
			}
		})
	}
}

// BenchmarkCancelled measures what 10,000 cancelled streams leave behind in one entry and its agents.
// The stand-ins, which keep a log of their runs, are in another process. Use -benchtime 1x.
func BenchmarkCancelled(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	p := newProcs(b, procSize{entries: 1, agents: 4, models: 1, copies: 4, interval: time.Millisecond})
	p.settle(4)
	cfg := p.load(time.Millisecond, 1, time.Minute)
	cfg.CancelShare, cfg.Rate, cfg.Count, cfg.Tokens = 1, 500, 10_000, DefaultSettings().Tokens
	for range b.N {
		// The first round brings pools and connections to their usual size.
		for _, round := range []string{"first", "second"} {
			b.Logf("%s round: %s", round, p.run(cfg).Line())
			time.Sleep(65 * time.Second) // the agents' retention has passed
			p.report("after-"+round, p.footprints(20*time.Second))
		}
	}
}

// BenchmarkSteady measures the memory of two entries and four agents in every fifth of a long steady load.
// Its length is the flag -soak; raise -timeout with it. Use -benchtime 1x.
func BenchmarkSteady(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	const interval, parts = 20 * time.Millisecond, 5
	p := newProcs(b, procSize{entries: 2, agents: 4, models: 1, copies: 4, interval: interval})
	p.settle(4)
	cfg := p.load(interval, 64, *soak)
	cfg.Tokens = 100
	cfg.Rate = 64 / (float64(cfg.Tokens) * interval.Seconds())
	for range b.N {
		done := make(chan Summary)
		go func() { done <- p.run(cfg) }()
		for i := range parts {
			p.report(fmt.Sprintf("part%d", i+1), p.footprints(*soak/parts-2*sampleInterval))
		}
		sum := <-done
		b.Logf("%s", sum.Line())
		b.ReportMetric(float64(sum.ViolationCount()), "faults")
	}
}
