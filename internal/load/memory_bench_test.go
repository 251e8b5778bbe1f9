package load

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"
)

var steadyDuration = flag.Duration("soak", 10*time.Minute, "duration of the load in BenchmarkSteady")

// sampleInterval is the time between two samples of the processes' memory.
const sampleInterval = time.Second

// memoryUse is averaged over the processes of a role: the minima over several samples of
// the live heap (without garbage) plus stacks and of the number of goroutines, and the
// latest resident memory.
type memoryUse struct{ heapKB, residentKB, goroutines float64 }

// sampleMemory samples the processes for a time and returns their memory by role.
func (p *processFleet) sampleMemory(d time.Duration) map[string]memoryUse {
	out := map[string]memoryUse{}
	for end := time.Now().Add(d); ; time.Sleep(sampleInterval) {
		for role, m := range p.metricsByRole() {
			n := m["processes"]
			live := m["go_gc_heap_live_bytes"] + m["go_memstats_stack_inuse_bytes"]
			now := memoryUse{live / n / 1024, m["process_resident_memory_bytes"] / n / 1024, m["go_goroutines"] / n}
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

func (p *processFleet) reportMemory(name string, f map[string]memoryUse) {
	for role, v := range f {
		p.b.ReportMetric(v.heapKB, name+"-"+role+"-heapKB")
		p.b.ReportMetric(v.residentKB, name+"-"+role+"-residentKB")
		p.b.ReportMetric(v.goroutines, name+"-"+role+"-goroutines")
	}
}

// BenchmarkStreamMemory measures the heap of one entry and its agents at several numbers
// of open streams. The answers take longer than the measurement, so that no stream ends
// during it. Use -benchtime 1x.
func BenchmarkStreamMemory(b *testing.B) {
	if testing.Short() {
		b.Skip("starts processes")
	}
	const rampUp, streamDuration = 5 * time.Second, 45 * time.Second
	for _, streams := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			p := newProcessFleet(b, processFleetSize{entries: 1, agents: 16, models: 1, replicas: 16, tokenInterval: 100 * time.Millisecond})
			p.awaitReplicas(16)
			cfg := p.loadSettings(100*time.Millisecond, 1, rampUp)
			cfg.Arrival = ArrivalConstant
			cfg.Rate, cfg.Count, cfg.Tokens = float64(streams)/rampUp.Seconds(), streams, int(streamDuration/(100*time.Millisecond))
			for range b.N {
				before := p.sampleMemory(10 * time.Second)
				done := make(chan Summary)
				go func() { done <- p.runLoad(cfg) }()
				time.Sleep(rampUp + 5*time.Second)
				after := p.sampleMemory(20 * time.Second)
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

// BenchmarkCancelled measures the memory that one entry and its agents retain after 10,000
// cancelled streams. The simulated engines, which keep a log of their runs, are in the
// benchmark's own process and not measured. Use -benchtime 1x.
func BenchmarkCancelled(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	p := newProcessFleet(b, processFleetSize{entries: 1, agents: 4, models: 1, replicas: 4, tokenInterval: time.Millisecond})
	p.awaitReplicas(4)
	cfg := p.loadSettings(time.Millisecond, 1, time.Minute)
	cfg.CancelShare, cfg.Rate, cfg.Count, cfg.Tokens = 1, 500, 10_000, DefaultSettings().Tokens
	for range b.N {
		// The first round fills pools and opens connections; the second shows growth beyond that.
		for _, round := range []string{"first", "second"} {
			b.Logf("%s round: %s", round, p.runLoad(cfg).Line())
			time.Sleep(65 * time.Second) // longer than the agents retain ended attempts
			p.reportMemory("after-"+round, p.sampleMemory(20*time.Second))
		}
	}
}

// BenchmarkSteady measures the memory of two entries and four agents in each fifth of a
// long steady load. The flag -soak sets its duration; raise -timeout with it. Use
// -benchtime 1x.
func BenchmarkSteady(b *testing.B) {
	if testing.Short() {
		b.Skip("runs for minutes")
	}
	const interval, parts = 20 * time.Millisecond, 5
	p := newProcessFleet(b, processFleetSize{entries: 2, agents: 4, models: 1, replicas: 4, tokenInterval: interval})
	p.awaitReplicas(4)
	cfg := p.loadSettings(interval, 64, *steadyDuration)
	cfg.Tokens = 100
	cfg.Rate = 64 / (float64(cfg.Tokens) * interval.Seconds())
	for range b.N {
		done := make(chan Summary)
		go func() { done <- p.runLoad(cfg) }()
		for i := range parts {
			p.reportMemory(fmt.Sprintf("part%d", i+1), p.sampleMemory(*steadyDuration/parts-2*sampleInterval))
		}
		sum := <-done
		b.Logf("%s", sum.Line())
		b.ReportMetric(float64(sum.ViolationCount()), "faults")
	}
}
