package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilhead/internal/state/table"
)

// peakShare is the share of the fleet's service rate that a load takes at its peak.
const peakShare = 0.7

const defaultZipf = 0.8

// Workload is a course of demand and faults.
type Workload struct {
	Name string
	// factor multiplies the demand of model i of a size at a time.
	factor func(s FleetSpec, i int, at time.Duration) float64
	// lost takes failure domains away from minute 5 to minute 10: the first, or as many
	// as domains says.
	lost    bool
	domains int
	// zipf is the exponent of the fall of demand with a model's rank; 0 stands for defaultZipf.
	zipf float64
	// replaced replaces every host once.
	replaced bool
}

func steady(FleetSpec, int, time.Duration) float64 { return 1 }

// Workloads returns the loads of the experiment.
func Workloads() []Workload {
	return []Workload{
		{Name: "race morning", factor: func(s FleetSpec, i int, at time.Duration) float64 {
			if i%10 == 3 && i < 3*max(s.Models/10, 10) {
				return 1 + 9*hump(at)
			}
			return 1
		}},
		{Name: "finding", factor: func(_ FleetSpec, i int, at time.Duration) float64 {
			if group(i) == "recall" {
				return 1 + 9*hump(at)
			}
			return 1
		}},
		{Name: "swings", factor: func(_ FleetSpec, i int, at time.Duration) float64 {
			phase := float64(i*37%101) / 101
			return math.Pow(10, 0.5*math.Sin(2*math.Pi*(at.Hours()+phase)))
		}},
		{Name: "domain lost", factor: steady, lost: true},
		{Name: "replacement", factor: steady, replaced: true},
	}
}

// ExcessModels returns the first user's fleet with 1.3 times as many models as fit into its
// memory, and loads with flat to steep demand.
func ExcessModels() (FleetSpec, []Workload) {
	s := FirstUserFleet()
	s.Name, s.Models = "models don't fit", 134
	var out []Workload
	for _, z := range []float64{defaultZipf, 1.2, 1.6} {
		out = append(out, Workload{Name: fmt.Sprintf("models don't fit, Zipf %g", z), factor: steady, zipf: z})
	}
	return s, out
}

// hump rises within two minutes from minute 3 on and falls from minute 10 on.
func hump(at time.Duration) float64 {
	m := at.Minutes()
	return max(0, min(1, (m-3)/2, (12-m)/2))
}

// rates returns the requests per second of each model and adapter over time; adapters
// take half of their base's demand.
func (l Workload) rates(s FleetSpec, t table.Table) func(at time.Duration) []float64 {
	index := map[string]int{}
	riders := map[string]int{}
	for i := range s.Models {
		index[s.name(i)] = i
	}
	for _, m := range t.Models {
		if m.Base != "" {
			riders[m.Base]++
		}
	}
	raw := func(at time.Duration) []float64 {
		out := make([]float64, len(t.Models))
		for k, m := range t.Models {
			base, share := m.Name, 1.0
			if m.Base != "" {
				base, share = m.Base, 0.5/float64(riders[m.Base])
			} else if riders[m.Name] > 0 {
				share = 0.5
			}
			i := index[base]
			rank := i * 13 % s.Models // unrelated to memory; 13 divides no size
			out[k] = share * math.Pow(float64(rank+1), -cmp.Or(l.zipf, defaultZipf)) * l.factor(s, i, at)
		}
		return out
	}
	peak := 0.0
	for at := time.Duration(0); at < s.Horizon; at += 10 * time.Second {
		sum := 0.0
		for _, r := range raw(at) {
			sum += r
		}
		peak = max(peak, sum)
	}
	scale := peakShare * float64(s.Engines*slots) / serviceTime.Seconds() / peak
	return func(at time.Duration) []float64 {
		out := raw(at)
		for i := range out {
			out[i] *= scale
		}
		return out
	}
}

type arrival struct {
	at    time.Duration
	model int
}

// arrivals draws the Poisson arrivals of a load with a fixed seed.
func (l Workload) arrivals(s FleetSpec, t table.Table) []arrival {
	r := rand.New(rand.NewPCG(20261203, uint64(s.Engines)))
	rates := l.rates(s, t)
	var out []arrival
	for at := time.Duration(0); at < s.Horizon; at += time.Second {
		from := len(out)
		for i, rate := range rates(at) {
			// The time to the next arrival is exponential.
			for x := r.ExpFloat64() / rate; x < 1; x += r.ExpFloat64() / rate {
				out = append(out, arrival{at: at + time.Duration(x*float64(time.Second)), model: i})
			}
		}
		slices.SortStableFunc(out[from:], func(a, b arrival) int { return int(a.at - b.at) })
	}
	return out
}
