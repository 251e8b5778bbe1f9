package control

import (
	"math"
	"sync"
	"time"

	"chervilhead/internal/protocol/dgram"
)

const (
	// demandHalfLife is the time in which measured demand loses half of its weight; demand
	// shifts to other models within seconds.
	demandHalfLife = time.Second
	// prefillTokenTime is the endpoint time of a prompt token in a batch.
	prefillTokenTime = 25 * time.Microsecond
	// outputTokenTime is the endpoint time of an output token in a batch.
	outputTokenTime = 150 * time.Microsecond
	// minReportedLoad is the offered load below which a model isn't reported.
	minReportedLoad = 1e-3
)

type modelKey struct{ service, model string }

type meter struct {
	// decayedWork is the sum of past endpoint time in seconds, weighted by its age.
	decayedWork float64
	updatedAt   time.Time
	waiting     int
	running     int
}

// demandMeter measures the demand for models at one gateway.
type demandMeter struct {
	mu     sync.Mutex
	meters map[modelKey]*meter
}

func newDemandMeter() *demandMeter { return &demandMeter{meters: map[modelKey]*meter{}} }

func (d *demandMeter) meter(k modelKey, now time.Time) *meter {
	m, ok := d.meters[k]
	if !ok {
		m = &meter{updatedAt: now}
		d.meters[k] = m
	}
	m.decayedWork *= math.Exp2(-float64(now.Sub(m.updatedAt)) / float64(demandHalfLife))
	m.updatedAt = now
	return m
}

func (d *demandMeter) add(service, model string, prefillTokens, outputTokens int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.meter(modelKey{service, model}, now)
	m.decayedWork += float64(prefillTokens)*prefillTokenTime.Seconds() + float64(outputTokens)*outputTokenTime.Seconds()
}

// noSlotWork is the endpoint time in seconds, added for a request that finds no free slot or
// adapter slot: it raises the demand for further replicas, which have further slots.
const noSlotWork = 0.25

func (d *demandMeter) noSlot(service, model string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(modelKey{service, model}, now).decayedWork += noSlotWork
}

// wait counts a request as waiting for a model until the returned function is called.
func (d *demandMeter) wait(service, model string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(modelKey{service, model}, time.Now()).waiting++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.meter(modelKey{service, model}, time.Now()).waiting--
	}
}

// run counts a request as running at an endpoint until the returned function is called.
func (d *demandMeter) run(service, model string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(modelKey{service, model}, time.Now()).running++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.meter(modelKey{service, model}, time.Now()).running--
	}
}

// list returns the demand for each model and drops models without demand.
func (d *demandMeter) list(now time.Time) []dgram.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []dgram.ModelDemand
	for k := range d.meters {
		m := d.meter(k, now)
		// The decayed sum of a constant rate is the rate times the mean age, the half-life
		// divided by ln 2.
		load := m.decayedWork * math.Ln2 / demandHalfLife.Seconds()
		if load < minReportedLoad && m.waiting == 0 && m.running == 0 {
			delete(d.meters, k)
			continue
		}
		out = append(out, dgram.ModelDemand{Service: k.service, Model: k.model, OfferedLoad: load, Waiting: m.waiting, Running: m.running})
	}
	return out
}
