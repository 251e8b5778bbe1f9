package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what an endpoint's agent received for a model or adapter.
type Demand struct {
	Model string `json:"model"`
	// Engines is the forecast demand, in whole engines: 1 keeps every slot of one busy.
	Engines float64 `json:"engines"`
}

// The windows of a forecast: the short one meets a flood, the long one keeps copies
// through a lull.
const (
	shortWindow = 15 * time.Second
	longWindow  = 3 * time.Minute
	// reportStep is the ratio between two reported values: an endpoint's row is
	// written again only when a forecast passes a step.
	reportStep = 1.25
	// leastDemand is the demand below which a model isn't reported, in engines.
	leastDemand = 0.02
)

// DemandMeter measures the demand for one model at an endpoint; the zero value is ready.
type DemandMeter struct {
	short, long float64
	at          time.Duration
	started     bool
}

// SteadyDemandMeter returns the meter of a demand that has been the same for long.
func SteadyDemandMeter(at time.Duration, engines float64) DemandMeter {
	return DemandMeter{short: engines, long: engines, at: at, started: true}
}

// Add returns the meter after work of a size, in engine seconds, arrived at a time.
func (m DemandMeter) Add(at time.Duration, work float64) DemandMeter {
	m = m.decay(at)
	m.short += work / shortWindow.Seconds()
	m.long += work / longWindow.Seconds()
	return m
}

func (m DemandMeter) decay(at time.Duration) DemandMeter {
	if m.started {
		d := (at - m.at).Seconds()
		m.short *= math.Exp(-d / shortWindow.Seconds())
		m.long *= math.Exp(-d / longWindow.Seconds())
	}
	m.at, m.started = at, true
	return m
}

// Forecast returns the demand to expect, in engines, rounded to a report step.
func (m DemandMeter) Forecast(at time.Duration) float64 {
	m = m.decay(at)
	v := max(m.short, m.long)
	if v < leastDemand {
		return 0
	}
	return math.Pow(reportStep, math.Round(math.Log(v)/math.Log(reportStep)))
}

// DemandForecasts returns what an endpoint reports, in model order.
func DemandForecasts(meters map[string]DemandMeter, at time.Duration) []Demand {
	var out []Demand
	for name, m := range meters {
		if v := m.Forecast(at); v > 0 {
			out = append(out, Demand{Model: name, Engines: v})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

const (
	// demandInterval spaces the row writes that changes of demand cause: 600 agents
	// write at most 20 rows a second.
	demandInterval = 30 * time.Second
	// floodRatio is the rise over the reported demand that is reported at once.
	floodRatio = 2.0
	// floodInterval bounds the writes of a rising demand.
	floodInterval = 2 * time.Second
	// floodDemand is the least demand that counts as a flood, in engines.
	floodDemand = 0.1
)

// DemandReportDue reports whether an endpoint writes its newest demand, at a time after the last
// report: at intervals, and sooner in a flood.
func DemandReportDue(reported, newest []Demand, since time.Duration) bool {
	return since >= demandInterval || since >= floodInterval && flood(reported, newest)
}

// AwaitReportInterval spaces the reports of models that requests wait for: 600 agents write a
// row each at most every 2 s while such models change.
const AwaitReportInterval = floodInterval

// AwaitReportDue reports whether an endpoint writes that requests wait for models that its last
// report, made a time ago, doesn't name.
func AwaitReportDue(reported, newest []string, since time.Duration) bool {
	return since >= AwaitReportInterval && slices.ContainsFunc(newest, func(m string) bool { return !slices.Contains(reported, m) })
}

// flood reports whether the demand for a model rose too far to wait for the next report.
func flood(reported, newest []Demand) bool {
	return slices.ContainsFunc(newest, func(d Demand) bool {
		i := slices.IndexFunc(reported, func(r Demand) bool { return r.Model == d.Model })
		return d.Engines >= floodDemand && (i < 0 || d.Engines >= floodRatio*reported[i].Engines)
	})
}
