package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/lease"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/bucket"
)

// holdLease keeps the lease or waits for it, until the context ends or the gateway resigns.
func (p *planner) holdLease(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.resigned:
			cancel()
		case <-ctx.Done():
		}
	}()
	var lastRefresh time.Time
	for ctx.Err() == nil {
		if now := time.Now(); p.refreshDue(lastRefresh, now) {
			lastRefresh = now
			err := p.refreshLease(ctx)
			if err == nil {
				p.saveDemand(ctx, time.Now())
			}
			if err != nil && !errors.Is(err, lease.ErrHeld) && ctx.Err() == nil {
				p.plane.log.WithError(err).Debug("the planner lease was not refreshed")
				p.yieldIfFailing(time.Now())
			}
		}
		p.keepVersions(ctx, time.Now())
		t := time.NewTimer(leaseCheckInterval)
		select {
		case <-t.C:
		case <-p.wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	p.mu.Lock()
	held := p.holdsLease(time.Now())
	p.leaseUntil = time.Time{}
	p.mu.Unlock()
	if err := p.lease.Release(releaseCtx); err != nil {
		p.plane.log.WithError(err).Info("the planner lease was not released; other gateways wait until it expires")
		return
	}
	if held {
		p.broadcast(&dgram.PlannerStatus{Resigned: true}, time.Now())
	}
}

// yieldIfFailing yields the lease if the store keeps failing and the lease is about to expire,
// and tells the other gateways, so that one that the store serves can take it at once.
func (p *planner) yieldIfFailing(now time.Time) {
	p.mu.Lock()
	left := p.leaseUntil.Sub(now)
	yields := left > 0 && left < yieldTimeLeft && p.refreshFailures >= yieldFailures
	if yields {
		p.leaseUntil, p.holder = time.Time{}, ""
	}
	p.mu.Unlock()
	if !yields {
		return
	}
	if token, held := p.lease.Yield(); held {
		p.plane.log.WithFields(logrus.Fields{"term": token, "left_ms": left.Milliseconds()}).Info("yielded the planner lease: the store does not answer this gateway")
		p.broadcast(&dgram.PlannerStatus{Resigned: true, YieldedToken: token}, now)
	}
}

func (p *planner) refreshLease(ctx context.Context) error {
	p.mu.Lock()
	yielded := p.yieldedToken
	p.yieldedToken = 0
	p.mu.Unlock()
	if yielded != 0 {
		p.lease.ObserveYield(yielded, time.Now())
	}
	err := p.lease.Refresh(ctx, nil)
	token, held := p.lease.Valid(time.Now())
	p.mu.Lock()
	knownToken := p.fencingToken
	if p.refreshFailures++; err == nil || errors.Is(err, lease.ErrHeld) {
		p.refreshFailures = 0
	}
	p.mu.Unlock()
	if held && token != knownToken {
		p.loadDemand(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder, p.leaseUntil = p.lease.Holder(), time.Time{}
	if held {
		p.leaseUntil, p.suspendedAtRefresh = p.lease.Until(), p.suspended()
	}
	if held && token != p.fencingToken {
		p.plane.log.WithField("term", token).Info("this gateway is the planner")
		go p.plane.durable.takeOverCrashes(ctx)
		p.fencingToken, p.heldSince = token, time.Now()
		p.pending = map[string]*pendingMove{}
		// The previous planner may have just begun loads, so the new buckets start empty.
		p.loadBuckets = map[string]bucket.Bucket{}
	}
	return err
}
