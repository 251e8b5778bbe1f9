package control

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/coordination/keep"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
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
	// have ended before it wrote them: longer than it takes to notice that. It sends them again after
	// handOverResend, longer than the planner takes to write them.
	handedOverFor  = 2 * time.Second
	handOverResend = 250 * time.Millisecond
	// minCrashInterval is the pause between two writes of crash records, in which a burst of broken
	// connections is over. With many gateways it is longer, so that all of them write
	// crashWritesPerS times a second at most.
	minCrashInterval = 2 * time.Second
	crashWritesPerS  = 100
	// maxReadDelay bounds the pause after a read that failed, which doubles with each further one.
	maxReadDelay = 3200 * time.Millisecond
	// streamReadInterval is the least time between two reads of the records of streams, which many
	// resumptions share; each waits for one that began after it came.
	streamReadInterval = 200 * time.Millisecond
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
	// unsent are the records that came since the last flush, and unsentKept is closed once they are
	// kept.
	unsent     []resume.Record
	unsentKept chan struct{}
	flushedAt  time.Time
	// flushWanted asks for a flush before the next one is due.
	flushWanted chan struct{}
	// handedOver are the batches that the planner was sent and didn't say it has kept, oldest first.
	handedOver []*batch
	lastBatch  uint64
	// readCrashes are the crash reports that were read last, at crashesReadAt.
	readCrashes   []poison.CrashReport
	crashesReadAt time.Time

	reading sync.Mutex
	// readAt is when the last read of the records began.
	readAt time.Time
}

// batch is a message to the planner with records of streams.
type batch struct {
	m *dgram.StreamRecords
	// firstAt and sentAt are when it was sent first and last.
	firstAt, sentAt time.Time
	kept            *flush
}

// flush tells when all batches of a flush are kept.
type flush struct {
	left int
	kept chan struct{}
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
	wg.Go(func() { d.readCrashesAlone(ctx) })
	tick := time.NewTicker(streamFlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-d.flushWanted:
		case <-ctx.Done():
			wg.Wait()
			return
		}
		d.flush(time.Now())
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
	d.mu.Lock()
	d.readCrashes, d.crashesReadAt = recs, time.Now()
	d.mu.Unlock()
	d.plane.hooks.RestoreCrashes(recs)
	return nil
}

// SaveStreams implements proxy.Durable. The records are sent at once, or streamFlushInterval after the
// last ones.
func (d *durable) SaveStreams(recs []resume.Record) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unsentKept == nil {
		d.unsentKept = make(chan struct{})
	}
	if len(d.unsent)+len(recs) <= resume.MaxRecords {
		d.unsent = append(d.unsent, recs...)
	}
	if time.Since(d.flushedAt) >= streamFlushInterval {
		select {
		case d.flushWanted <- struct{}{}:
		default:
		}
	}
	return d.unsentKept
}

// flush hands the records over to the planner, or writes them without one.
func (d *durable) flush(now time.Time) {
	planner := d.plane.planner.other(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.unsent) > 0 {
		f := &flush{kept: d.unsentKept}
		for _, m := range dgram.NewStreamRecords(d.unsent) {
			d.lastBatch++
			m.Batch = d.lastBatch
			f.left++
			d.handedOver = append(d.handedOver, &batch{m: m, firstAt: now, kept: f})
		}
		d.unsent, d.unsentKept, d.flushedAt = nil, nil, now
	}
	if planner == "" {
		d.writeOwn(now)
		return
	}
	d.handedOver = slices.DeleteFunc(d.handedOver, func(b *batch) bool { return now.Sub(b.firstAt) > handedOverFor })
	for _, b := range d.handedOver {
		if now.Sub(b.sentAt) >= handOverResend {
			b.sentAt = now
			d.handOver(planner, b.m)
		}
	}
}

// writeOwn writes the records that no planner has kept; the caller holds mu.
func (d *durable) writeOwn(now time.Time) {
	for _, b := range d.handedOver {
		whenWritten(d.streams.Put(b.m.Records(), now), func() { d.noteKept(b) })
	}
	d.handedOver = nil
}

// handOver sends records of streams to the planner.
func (d *durable) handOver(planner string, m *dgram.StreamRecords) {
	addr, err := net.ResolveUDPAddr("udp4", planner)
	if err == nil {
		var data []byte
		if data, err = dgram.Encode(m); err == nil {
			_, err = d.plane.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		d.plane.log.WithError(err).WithField("planner", planner).Debug("records of streams were not handed over")
	}
}

// handleKept records that the planner has kept a batch.
func (d *durable) handleKept(m *dgram.StreamsKept) {
	d.mu.Lock()
	i := slices.IndexFunc(d.handedOver, func(b *batch) bool { return b.m.Batch == m.Batch })
	if i < 0 {
		d.mu.Unlock()
		return
	}
	b := d.handedOver[i]
	d.handedOver = slices.Delete(d.handedOver, i, i+1)
	d.mu.Unlock()
	d.noteKept(b)
}

func (d *durable) noteKept(b *batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.kept.left--; b.kept.left == 0 {
		close(b.kept.kept)
	}
}

// takeOver keeps the records that another gateway handed over, and says so once the store has them.
func (d *durable) takeOver(m *dgram.StreamRecords, from string) {
	written := d.streams.Put(m.Records(), time.Now())
	if m.Batch == 0 {
		return
	}
	whenWritten(written, func() {
		addr, err := net.ResolveUDPAddr("udp4", from)
		if err == nil {
			var data []byte
			if data, err = dgram.Encode(&dgram.StreamsKept{Batch: m.Batch}); err == nil {
				_, err = d.plane.conn.WriteTo(data, addr)
			}
		}
		if err != nil {
			d.plane.log.WithError(err).WithField("gateway", from).Debug("that records of streams are kept was not sent")
		}
	})
}

// whenWritten calls f once a channel is closed, unless that takes longer than anyone waits for it.
func whenWritten(written <-chan struct{}, f func()) {
	go func() {
		t := time.NewTimer(handedOverFor)
		defer t.Stop()
		select {
		case <-written:
			f()
		case <-t.C:
		}
	}()
}

// ReadStreams implements proxy.Durable. Calls that wait at the same time share one read.
func (d *durable) ReadStreams(ctx context.Context) error {
	asked := time.Now()
	d.reading.Lock()
	defer d.reading.Unlock()
	if d.readAt.After(asked) {
		return nil
	}
	if err := waitForChange(ctx, nil, time.Until(d.readAt.Add(streamReadInterval))); err != nil {
		return err
	}
	at := time.Now()
	if err := d.restoreStreams(ctx); err != nil {
		return err
	}
	d.readAt = at
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
