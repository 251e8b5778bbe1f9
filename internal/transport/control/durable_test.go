package control

import (
	"context"
	"testing"
	"time"

	"chervilhead/internal/coordination/keep"
	"chervilhead/internal/state/resume"
)

// TestStreamsHandedOver guards against records that are written by nobody because the planner that got them has ended.
func TestStreamsHandedOver(t *testing.T) {
	p, _ := planeWith(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := p.durable.streams.Load(ctx); err != nil {
		t.Fatal(err)
	}
	go p.durable.streams.Run(ctx, func() time.Duration { return 10 * time.Millisecond })
	stored := func() int {
		time.Sleep(100 * time.Millisecond)
		recs, err := keep.NewStreams(p.planner.table, "b", p.log).Load(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return len(recs)
	}
	now := time.Now()
	p.planner.announcedAt, p.planner.holder = now, "127.0.0.1:9"
	p.durable.SaveStreams([]resume.Record{{Key: 1, Service: "s", Version: "one"}})
	p.durable.flush(now)
	if n := stored(); n != 0 {
		t.Errorf("%d records are written beside a planner", n)
	}
	p.durable.flush(now.Add(plannerSilentAfter + time.Millisecond))
	if n := stored(); n != 1 {
		t.Errorf("%d of 1 records are written after the planner fell silent", n)
	}
}
