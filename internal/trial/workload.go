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

// peakShare is the share of the fleet's service rate that a workload offers at its peak.
const peakShare = 0.7

const defaultZipf = 0.8

// Workload is demand over time, with the faults to inject.
type Workload struct {
	Name string
	// factor multiplies the demand of model i of a fleet at a time.
	factor func(s FleetSpec, i int, at time.Duration) float64
	// losesDomain removes the first lostDomains failure domains (at least one) from minute 5
	// to minute 10.
	losesDomain bool
	lostDomains int
	// zipf is the Zipf exponent of demand over model ranks; 0 stands for defaultZipf.
	zipf float64
	// replacesHosts replaces the hosts one after the other, each at most once.
	replacesHosts bool
}

func steady(FleetSpec, int, time.Duration) float64 { return 1 }

// Workloads returns the workloads of the placement experiment.
func Workloads() []Workload {
	return []Workload{
		{Name: "race morning", factor: func(s FleetSpec, i int, at time.Duration) float64 {
			if i%10 == 3 && i < 3*max(s.Models/10, 10) {
				return 1 + 9*plateau(at)
			}
			return 1
		}},
		{Name: "finding", factor: func(_ FleetSpec, i int, at time.Duration) float64 {
			if groupOf(i) == "recall" {
				return 1 + 9*plateau(at)
			}
			return 1
		}},
		{Name: "swings", factor: func(_ FleetSpec, i int, at time.Duration) float64 {
			phase := float64(i*37%101) / 101
			return math.Pow(10, 0.5*math.Sin(2*math.Pi*(at.Hours()+phase)))
		}},
		{Name: "domain lost", factor: steady, losesDomain: true},
		{Name: "replacement", factor: steady, replacesHosts: true},
	}
}

// ExcessModels returns the first user's fleet with 1.3 times as many models as fit into its
// memory, and workloads whose demand falls more or less steeply with a model's rank.
func ExcessModels() (FleetSpec, []Workload) {
	s := FirstUserFleet()
	s.Name, s.Models = "models don't fit", 134
	var out []Workload
	for _, z := range []float64{defaultZipf, 1.2, 1.6} {
		out = append(out, Workload{Name: fmt.Sprintf("models don't fit, Zipf %g", z), factor: steady, zipf: z})
	}
	return s, out
}

// plateau rises from 0 to 1 between minutes 3 and 5 and falls back between minutes 10 and 12.
func plateau(at time.Duration) float64 {
	m := at.Minutes()
	return max(0, min(1, (m-3)/2, (12-m)/2))
}

// rates returns the requests per second of each model and adapter over time; the adapters
// of a base take half of its demand.
func (l Workload) rates(s FleetSpec, t table.Table) func(at time.Duration) []float64 {
	index := map[string]int{}
	adapters := map[string]int{}
	for i := range s.Models {
		index[s.modelName(i)] = i
	}
	for _, m := range t.Models {
		if m.Base != "" {
			adapters[m.Base]++
		}
	}
	raw := func(at time.Duration) []float64 {
		out := make([]float64, len(t.Models))
		for k, m := range t.Models {
			base, share := m.Name, 1.0
			if m.Base != "" {
				base, share = m.Base, 0.5/float64(adapters[m.Base])
			} else if adapters[m.Name] > 0 {
				share = 0.5
			}
			i := index[base]
			rank := i * 13 % s.Models // unrelated to memory; a permutation, as 13 divides no fleet's number of models
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

// arrivals draws the Poisson arrivals of a workload with a fixed seed.
func (l Workload) arrivals(s FleetSpec, t table.Table) []arrival {
	r := rand.New(rand.NewPCG(20261203, uint64(s.Engines)))
	rates := l.rates(s, t)
	var out []arrival
	for at := time.Duration(0); at < s.Horizon; at += time.Second {
		from := len(out)
		for i, rate := range rates(at) {
			// Inter-arrival times are exponential.
			for x := r.ExpFloat64() / rate; x < 1; x += r.ExpFloat64() / rate {
				out = append(out, arrival{at: at + time.Duration(x*float64(time.Second)), model: i})
			}
		}
		slices.SortStableFunc(out[from:], func(a, b arrival) int { return int(a.at - b.at) })
	}
	return out
}
