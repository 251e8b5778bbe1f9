package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilhead/internal/state/resume"
)

// fakeDurable is a store of records that several gateways use.
type fakeDurable struct {
	records *resume.Records
	h       *Handler
	// found are the records that a read returns.
	found []resume.Record
}

func (d *fakeDurable) SaveStreams(recs []resume.Record) {
	for _, rec := range recs {
		d.records.Put(rec, time.Now())
	}
}

func (d *fakeDurable) ReadStreams(context.Context) error {
	d.h.RestoreStreams(d.found)
	return nil
}

// TestResumptionWithoutKeepers guards against a stream that can't be taken up at another gateway because the keepers that held its record have ended.
func TestResumptionWithoutKeepers(t *testing.T) {
	f := newVersionFleet(t, "one", "two")
	a, b := f.gateway("z0", 1), f.gateway("z1", 1)
	d := &fakeDurable{records: resume.NewRecords(), h: b.handler}
	a.handler.cfg.Durable, b.handler.cfg.Durable = d, d
	f.breaks.Store(1)
	f.call(a, "first", "")
	f.keepers.forgotten.Store(true)
	if r := f.call(b, "second", "first"); r.status != http.StatusServiceUnavailable {
		t.Errorf("status %d without any record", r.status)
	}
	rec, ok := d.records.Get(resume.KeyOf("s", "first"), time.Now())
	if !ok || rec.Version != "one" {
		t.Fatalf("the record of the stream isn't kept: %v", rec)
	}
	d.found = []resume.Record{rec}
	if r := f.call(b, "third", "first"); r.status != http.StatusOK || strings.Contains(r.body, "two") {
		t.Errorf("status %d, %q; the store has the record", r.status, r.body)
	}
}
