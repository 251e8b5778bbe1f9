package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is the load that requests for a model or adapter put on one endpoint.
type Demand struct {
	Model string `json:"model"`
	// Engines is the forecast demand in engines: 1 keeps every slot of an engine busy.
	Engines float64 `json:"engines"`
}

const (
	// shortDemandWindow lets a forecast rise quickly in a surge.
	shortDemandWindow = 15 * time.Second
	// longDemandWindow keeps replicas through a short pause in demand.
	longDemandWindow = 3 * time.Minute
	// demandStepRatio is the ratio between two adjacent values that a forecast is rounded
	// to: an endpoint's row changes only when a forecast passes a step.
	demandStepRatio = 1.25
	// minReportedDemand is the demand, in engines, below which a model isn't reported.
	minReportedDemand = 0.02
)

// DemandMeter measures the demand for one model at an endpoint as exponentially decaying
// averages over two windows. It is immutable; the zero value is a meter without demand.
type DemandMeter struct {
	short, long float64
	at          time.Duration
	started     bool
}

// SteadyDemandMeter returns the meter of a demand, in engines, that has been constant up to
// a time.
func SteadyDemandMeter(at time.Duration, engines float64) DemandMeter {
	return DemandMeter{short: engines, long: engines, at: at, started: true}
}

// Add returns the meter after work, in engine seconds, arrived at a time.
func (m DemandMeter) Add(at time.Duration, work float64) DemandMeter {
	m = m.decay(at)
	m.short += work / shortDemandWindow.Seconds()
	m.long += work / longDemandWindow.Seconds()
	return m
}

func (m DemandMeter) decay(at time.Duration) DemandMeter {
	if m.started {
		d := (at - m.at).Seconds()
		m.short *= math.Exp(-d / shortDemandWindow.Seconds())
		m.long *= math.Exp(-d / longDemandWindow.Seconds())
	}
	m.at, m.started = at, true
	return m
}

// Forecast returns the expected demand in engines, rounded to a step of demandStepRatio; it
// is 0 below minReportedDemand.
func (m DemandMeter) Forecast(at time.Duration) float64 {
	m = m.decay(at)
	v := max(m.short, m.long)
	if v < minReportedDemand {
		return 0
	}
	return math.Pow(demandStepRatio, math.Round(math.Log(v)/math.Log(demandStepRatio)))
}

// DemandForecasts returns the demand that an endpoint reports at a time, in model order.
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
	// demandReportInterval is the time between two reports of demand: 600 agents write
	// at most 20 rows a second.
	demandReportInterval = 30 * time.Second
	// surgeRatio is the ratio of demand to reported demand from which it is reported early.
	surgeRatio = 2.0
	// surgeReportInterval is the least time between two reports in a surge.
	surgeReportInterval = 2 * time.Second
	// minSurgeDemand is the least demand, in engines, that counts as a surge.
	minSurgeDemand = 0.1
)

// DemandReportDue reports whether an agent is to report its newest demand, given the time
// since its last report: at intervals, and sooner in a surge.
func DemandReportDue(reported, newest []Demand, since time.Duration) bool {
	return since >= demandReportInterval || since >= surgeReportInterval && demandSurged(reported, newest)
}

// AwaitReportInterval is the least time between two reports of models that requests wait
// for: each of 600 agents writes a row at most every 2 s while such models change.
const AwaitReportInterval = surgeReportInterval

// AwaitReportDue reports whether an agent is to report awaited models because its last
// report lacks one of them, given the time since that report.
func AwaitReportDue(reported, newest []string, since time.Duration) bool {
	return since >= AwaitReportInterval && slices.ContainsFunc(newest, func(m string) bool { return !slices.Contains(reported, m) })
}

// demandSurged reports whether the demand for a model rose too far to wait for the next
// regular report.
func demandSurged(reported, newest []Demand) bool {
	return slices.ContainsFunc(newest, func(d Demand) bool {
		i := slices.IndexFunc(reported, func(r Demand) bool { return r.Model == d.Model })
		return d.Engines >= minSurgeDemand && (i < 0 || d.Engines >= surgeRatio*reported[i].Engines)
	})
}
