package control

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

const (
	// crashReportRelays is the number of keepers that relay crash reports to all gateways, beside the
	// planner; one relay is enough.
	crashReportRelays = 3
	// crashReadInterval is the pause between two reads of the crash reports in the store while nobody
	// relays them.
	crashReadInterval = 3 * time.Second
	// recentRead is the age up to which a new planner takes what the gateway read at its start: crash
	// reports are sent again for longer.
	recentRead = time.Second
)

var (
	// crashReportResends are the delays after which crash reports are sent again, because
	// datagrams may be lost and relays may just have started.
	crashReportResends = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second}
	// takeoverSends are the delays after which a new planner sends what the store holds: gateways have
	// reported to it by then.
	takeoverSends = []time.Duration{time.Second, 3 * time.Second}
)

// BroadcastCrashReports sends crash reports to the other gateways, relayed by the planner and by some
// keepers.
func (p *Plane) BroadcastCrashReports(reports []poison.CrashReport) {
	p.sendCrashReports(reports)
	for _, delay := range crashReportResends {
		time.AfterFunc(delay, func() { p.sendCrashReports(reports) })
	}
}

func (p *Plane) sendCrashReports(reports []poison.CrashReport) {
	messages := dgram.NewCrashReports(reports)
	if now := time.Now(); p.planner.isPlanner(now) {
		p.planner.sendAll(messages, now)
	} else {
		p.planner.sendToHolder(messages)
	}
	relays := p.crashRelays()
	// Neighbours in the list may share a fault; other gateways pick others.
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, s := range relays[:min(crashReportRelays, len(relays))] {
		for _, m := range messages {
			p.sendToKeeper(s.Endpoint, m)
		}
	}
}

// crashRelays returns the endpoints whose keepers may relay crash reports.
func (p *Plane) crashRelays() []fleet.State {
	v := p.view()
	var out []fleet.State
	for _, s := range p.States() {
		if p.engineSpec(v, s.Endpoint) != nil && s.StatusSupersedes {
			out = append(out, s)
		}
	}
	return out
}

// handleCrashReports merges crash reports. The planner passes those that are news on to all gateways.
func (p *Plane) handleCrashReports(reports []poison.CrashReport) {
	var news []poison.CrashReport
	for _, r := range reports {
		if p.hooks.MergeCrashReport(r) {
			news = append(news, r)
		}
	}
	if len(news) == 0 || !p.planner.isPlanner(time.Now()) {
		return
	}
	p.planner.sendAll(dgram.NewCrashReports(news), time.Now())
	time.AfterFunc(crashReportResends[1], func() { p.planner.sendAll(dgram.NewCrashReports(news), time.Now()) })
}

// sendAll sends crash reports to all gateways that report demand to this one.
func (p *planner) sendAll(messages []*dgram.CrashReports, now time.Time) {
	for _, m := range messages {
		p.broadcast(m, now)
	}
}

// sendToHolder sends crash reports to the planner, also if it has been silent for a while.
func (p *planner) sendToHolder(messages []*dgram.CrashReports) {
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	if holder == "" || holder == p.plane.cfg.Listen {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", holder)
	for _, m := range messages {
		var data []byte
		if err == nil {
			data, err = dgram.Encode(m)
		}
		if err == nil {
			_, err = p.plane.conn.WriteTo(data, addr)
		}
	}
	if err != nil {
		p.plane.log.WithError(err).WithField("planner", holder).Debug("crash reports were not sent")
	}
}

// takeOverCrashes tells all gateways of the crashes in the store, which were recorded while there was no
// planner, or which the planner before did not pass on.
func (d *durable) takeOverCrashes(ctx context.Context) {
	d.mu.Lock()
	recs, err := d.readCrashes, error(nil)
	read := time.Since(d.crashesReadAt) < recentRead
	d.mu.Unlock()
	if !read {
		recs, err = d.crashes.Load(ctx)
	}
	if err != nil {
		d.plane.log.WithError(err).Info("the crash reports in the store were not read; gateways may not know of all of them")
		return
	}
	// The rows of several gateways hold the same crashes.
	known, now := poison.NewSuspects(), time.Now()
	for _, r := range recs {
		known.Add(r, now)
	}
	reports := known.Reports(poison.MaxKeptBytes, now)
	if len(reports) == 0 {
		return
	}
	d.plane.handleCrashReports(reports)
	for _, delay := range takeoverSends {
		time.AfterFunc(delay, func() { d.plane.planner.sendAll(dgram.NewCrashReports(reports), time.Now()) })
	}
}

// readCrashesAlone reads the crash reports in the store for as long as neither a planner nor a keeper
// relays them, and once more after that.
func (d *durable) readCrashesAlone(ctx context.Context) {
	alone := false
	for waitForChange(ctx, nil, crashReadInterval) == nil {
		now := time.Now()
		before := alone
		alone = !d.plane.planner.isPlanner(now) && d.plane.planner.other(now) == "" && len(d.plane.crashRelays()) == 0
		if !alone && !before {
			continue
		}
		if err := d.restoreCrashes(ctx); err != nil {
			d.plane.log.WithError(err).Debug("the crash reports in the store were not read")
		}
	}
}
