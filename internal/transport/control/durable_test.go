package control

import (
	"context"
	"net"
	"reflect"
	"slices"
	"testing"
	"time"

	"chervilhead/internal/coordination/keep"
	"chervilhead/internal/protocol/dgram"
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

// TestStreamsKept guards against records that count as kept before the store has them, and against ones that are lost with the datagram that hands them over.
func TestStreamsKept(t *testing.T) {
	p, _ := planeWith(t, 1)
	planner, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer planner.Close()
	now := time.Now()
	p.planner.announcedAt, p.planner.holder = now, planner.LocalAddr().String()
	received := func() *dgram.StreamRecords {
		buf := make([]byte, dgram.MaxBytes)
		_ = planner.SetReadDeadline(time.Now().Add(time.Second))
		n, _, err := planner.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		m, err := dgram.Decode(buf[:n])
		if err != nil {
			t.Fatal(err)
		}
		return m.(*dgram.StreamRecords)
	}
	recs := []resume.Record{{Key: 1, Service: "s", Version: "one"}, {Key: 2, Service: "s", Version: "two", Doubtful: true, Revision: 1 << 31}}
	kept := p.durable.SaveStreams(recs)
	p.durable.flush(now)
	first, second := received(), received()
	if got := append(first.Records(), second.Records()...); !slices.Equal(got, recs) {
		t.Errorf("handed over %+v, want %+v", got, recs)
	}
	p.durable.flush(now.Add(handOverResend))
	if again := received(); again.Batch != first.Batch || received().Batch != second.Batch {
		t.Error("records that the planner doesn't confirm are not sent again")
	}
	isKept := func() bool {
		select {
		case <-kept:
			return true
		default:
			return false
		}
	}
	p.durable.handleKept(&dgram.StreamsKept{Batch: first.Batch})
	p.durable.handleKept(&dgram.StreamsKept{Batch: first.Batch})
	if isKept() {
		t.Error("the records count as kept though the planner has confirmed a part of them")
	}
	p.durable.handleKept(&dgram.StreamsKept{Batch: second.Batch})
	if !isKept() {
		t.Error("the records don't count as kept once the planner has confirmed all of them")
	}

	// The planner's side of it, with a store that is written once Run is called.
	p.durable.takeOver(first, planner.LocalAddr().String())
	_ = planner.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, _, err := planner.ReadFrom(make([]byte, dgram.MaxBytes)); err == nil {
		t.Error("records are confirmed before they are written")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := p.durable.streams.Load(ctx); err != nil {
		t.Fatal(err)
	}
	go p.durable.streams.Run(ctx, func() time.Duration { return 10 * time.Millisecond })
	buf := make([]byte, dgram.MaxBytes)
	_ = planner.SetReadDeadline(time.Now().Add(time.Second))
	n, _, err := planner.ReadFrom(buf)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := dgram.Decode(buf[:n]); err != nil || !reflect.DeepEqual(m, &dgram.StreamsKept{Batch: first.Batch}) {
		t.Errorf("got %+v, error %v", m, err)
	}
}
