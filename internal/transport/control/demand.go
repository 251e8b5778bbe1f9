package control

import (
	"math"
	"sync"
	"time"

	"chervilhead/internal/protocol/dgram"
)

const (
	// demandHalfLife is the time in which demand loses half of its weight; demand moves
	// to other models within seconds.
	demandHalfLife = time.Second
	// readTime and madeTime are the endpoint time of a prompt token and of an output
	// token in a batch.
	readTime = 25 * time.Microsecond
	madeTime = 150 * time.Microsecond
	// noDemand is the work below which a model isn't reported.
	noDemand = 1e-3
)

type modelKey struct{ service, model string }

type meter struct {
	// sum is the work of the past in seconds, weighted by its age.
	sum     float64
	at      time.Time
	waiting int
	running int
}

// demand measures what is asked for at one gateway.
type demand struct {
	mu     sync.Mutex
	meters map[modelKey]*meter
}

func newDemand() *demand { return &demand{meters: map[modelKey]*meter{}} }

func (d *demand) meter(k modelKey, now time.Time) *meter {
	m, ok := d.meters[k]
	if !ok {
		m = &meter{at: now}
		d.meters[k] = m
	}
	m.sum *= math.Exp2(-float64(now.Sub(m.at)) / float64(demandHalfLife))
	m.at = now
	return m
}

func (d *demand) add(service, model string, read, made int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.meter(modelKey{service, model}, now)
	m.sum += float64(read)*readTime.Seconds() + float64(made)*madeTime.Seconds()
}

// crowdedWork is the endpoint time that a request without a place for itself or its adapter
// stands for: further copies have further places.
const crowdedWork = 0.25

func (d *demand) crowded(service, model string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(modelKey{service, model}, now).sum += crowdedWork
}

// wait counts a request that waits for a model until the returned function is called.
func (d *demand) wait(service, model string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(modelKey{service, model}, time.Now()).waiting++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.meter(modelKey{service, model}, time.Now()).waiting--
	}
}

// run counts a request that is at an endpoint until the returned function is called.
func (d *demand) run(service, model string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(modelKey{service, model}, time.Now()).running++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.meter(modelKey{service, model}, time.Now()).running--
	}
}

// list returns the demand for each model.
func (d *demand) list(now time.Time) []dgram.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []dgram.ModelDemand
	for k := range d.meters {
		m := d.meter(k, now)
		// The weighted sum of a constant rate is the rate times the mean age.
		work := m.sum * math.Ln2 / demandHalfLife.Seconds()
		if work < noDemand && m.waiting == 0 && m.running == 0 {
			delete(d.meters, k)
			continue
		}
		out = append(out, dgram.ModelDemand{Service: k.service, Model: k.model, OfferedLoad: work, Waiting: m.waiting, Running: m.running})
	}
	return out
}
