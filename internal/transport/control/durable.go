package control

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/internal/coordination/keep"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/resume"
	"chervilhead/internal/transport/proxy"
)

const (
	// streamFlushInterval is the pause between two sends of records of streams to the planner, which
	// writes those of all gateways, and plannerWriteInterval that between its writes. Together they
	// are less than the time to a stream's first event.
	streamFlushInterval  = 100 * time.Millisecond
	plannerWriteInterval = 100 * time.Millisecond
	// ownWriteInterval is the pause between two writes of a gateway's own records while there is no
	// planner; all gateways write then.
	ownWriteInterval = 400 * time.Millisecond
	// handedOverFor is how long a gateway keeps the records that it sent to the planner, which may
	// have ended before it wrote them: longer than it takes to notice that.
	handedOverFor = 2 * time.Second
	// minCrashInterval is the pause between two writes of crash records, in which a burst of broken
	// connections is over. With many gateways it is longer, so that all of them write
	// crashWritesPerS times a second at most.
	minCrashInterval = 2 * time.Second
	crashWritesPerS  = 100
	// crashReadDelay is the time between restarts of keepers that may have held a crash record and the
	// read of those in the store, in which gateways write what they know, and crashReadInterval the
	// pause after it.
	crashReadDelay    = 500 * time.Millisecond
	crashReadInterval = 3 * time.Second
	// maxReadDelay bounds the pause after a read that failed, which doubles with each further one.
	maxReadDelay = 3200 * time.Millisecond
	// streamReadInterval is the least time between two reads of the records of streams, which many
	// resumptions share.
	streamReadInterval = time.Second
)

var _ proxy.Durable = (*durable)(nil)

// durable keeps in the store what must outlive all processes. The planner writes the records of
// streams for all gateways, so that the writes don't grow with the gateways; without a planner each
// gateway writes its own.
type durable struct {
	plane   *Plane
	streams *keep.Streams
	crashes *keep.Crashes

	mu sync.Mutex
	// unsent are the records that came since the last flush, and handedOver those that the planner
	// was sent.
	unsent     []resume.Record
	handedOver []timedRecord

	// keeperRestarts counts the keepers that started again since the crash records were last read.
	keeperRestarts atomic.Int64
	keepersLost    chan struct{}

	reading sync.Mutex
	// readAt is when the records were last read.
	readAt time.Time
}

type timedRecord struct {
	resume.Record
	at time.Time
}

// Durable returns what keeps the handler's records in the store. Run serves it.
func (p *Plane) Durable() proxy.Durable { return p.durable }

// run restores what earlier processes kept, and keeps what comes, until the context ends.
func (d *durable) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		if !d.retry(ctx, d.restoreStreams) {
			return
		}
		d.streams.Run(ctx, func() time.Duration {
			if d.plane.planner.isPlanner(time.Now()) {
				return plannerWriteInterval
			}
			return ownWriteInterval
		})
	})
	wg.Go(func() {
		if !d.retry(ctx, d.restoreCrashes) {
			return
		}
		d.crashes.Run(ctx, d.plane.hooks.KeptCrashes, func() time.Duration {
			return max(minCrashInterval, time.Duration(d.plane.GatewayBound())*time.Second/crashWritesPerS)
		})
	})
	wg.Go(func() { d.rereadCrashes(ctx) })
	tick := time.NewTicker(streamFlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			d.flush(time.Now())
		case <-ctx.Done():
			wg.Wait()
			return
		}
	}
}

// retry calls f until it succeeds, and returns false if the context ends first.
func (d *durable) retry(ctx context.Context, f func(context.Context) error) bool {
	for delay := versionsRetryInterval; ; delay = min(2*delay, maxReadDelay) {
		err := f(ctx)
		if err == nil {
			return true
		}
		d.plane.log.WithError(err).Debug("what earlier processes kept was not read")
		if waitForChange(ctx, nil, delay) != nil {
			return false
		}
	}
}

func (d *durable) restoreStreams(ctx context.Context) error {
	recs, err := d.streams.Load(ctx)
	if err != nil {
		return err
	}
	d.plane.hooks.RestoreStreams(recs)
	d.plane.log.WithField("streams", len(recs)).Info("records of streams were read")
	return nil
}

func (d *durable) restoreCrashes(ctx context.Context) error {
	recs, err := d.crashes.Load(ctx)
	if err != nil {
		return err
	}
	d.plane.hooks.RestoreCrashes(recs)
	return nil
}

// noteKeeperRestart tells that a keeper started again. Once as many did as relay a crash report, it may
// have been lost with them before it reached this gateway.
func (d *durable) noteKeeperRestart() {
	if d.keeperRestarts.Add(1) < crashReportRelays {
		return
	}
	select {
	case d.keepersLost <- struct{}{}:
	default:
	}
}

// rereadCrashes reads the crash records in the store again each time that keepers may have lost some.
func (d *durable) rereadCrashes(ctx context.Context) {
	for {
		select {
		case <-d.keepersLost:
		case <-ctx.Done():
			return
		}
		d.keeperRestarts.Store(0)
		if waitForChange(ctx, nil, crashReadDelay) != nil || !d.retry(ctx, d.restoreCrashes) || waitForChange(ctx, nil, crashReadInterval) != nil {
			return
		}
	}
}

// SaveStreams implements proxy.Durable. The records are on their way to the store within
// streamFlushInterval.
func (d *durable) SaveStreams(recs []resume.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unsent)+len(recs) <= resume.MaxRecords {
		d.unsent = append(d.unsent, recs...)
	}
}

// flush hands the records over to the planner, or writes them without one.
func (d *durable) flush(now time.Time) {
	planner := d.plane.planner.other(now)
	d.mu.Lock()
	unsent := d.unsent
	d.unsent = nil
	for len(d.handedOver) > 0 && now.Sub(d.handedOver[0].at) > handedOverFor {
		d.handedOver = d.handedOver[1:]
	}
	if planner == "" {
		for _, r := range d.handedOver {
			unsent = append(unsent, r.Record)
		}
		d.handedOver = nil
	} else {
		for _, r := range unsent {
			d.handedOver = append(d.handedOver, timedRecord{r, now})
		}
	}
	d.mu.Unlock()
	switch {
	case len(unsent) == 0:
	case planner == "":
		d.streams.Put(unsent, now)
	default:
		d.handOver(planner, unsent)
	}
}

// handOver sends records of streams to the planner.
func (d *durable) handOver(planner string, recs []resume.Record) {
	addr, err := net.ResolveUDPAddr("udp4", planner)
	for _, m := range dgram.NewStreamRecords(recs) {
		data, encodeErr := dgram.Encode(m)
		if err = errors.Join(err, encodeErr); err == nil {
			_, err = d.plane.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		d.plane.log.WithError(err).WithField("planner", planner).Debug("records of streams were not handed over")
	}
}

// takeOver keeps the records that another gateway handed over.
func (d *durable) takeOver(m *dgram.StreamRecords) {
	d.streams.Put(m.Records(), time.Now())
}

// ReadStreams implements proxy.Durable. Calls within streamReadInterval share one read.
func (d *durable) ReadStreams(ctx context.Context) error {
	asked := time.Now()
	d.reading.Lock()
	defer d.reading.Unlock()
	if !d.readAt.IsZero() && (d.readAt.After(asked) || asked.Sub(d.readAt) < streamReadInterval) {
		return nil
	}
	if err := d.restoreStreams(ctx); err != nil {
		return err
	}
	d.readAt = asked
	return nil
}

// SaveCrashes implements proxy.Durable.
func (d *durable) SaveCrashes() { d.crashes.Changed() }

// ClaimTrial implements proxy.Durable.
func (d *durable) ClaimTrial(ctx context.Context, key uint64, pause time.Duration) (bool, time.Duration) {
	return d.crashes.ClaimTrial(ctx, key, pause)
}

// isPlanner reports whether this gateway is the planner.
func (p *planner) isPlanner(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holdsLease(now)
}

// other returns the address of the planner if another gateway is it and announced itself lately.
func (p *planner) other(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdsLease(now) || now.After(p.announcedAt.Add(plannerSilentAfter)) {
		return ""
	}
	return p.holder
}
