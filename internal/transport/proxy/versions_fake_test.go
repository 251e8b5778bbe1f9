package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"chervilhead/internal/state/resume"
)

func (f fakeControlPlane) SendStreamRecords(string, []resume.Record) {}

func (f fakeControlPlane) QueryStreamRecord(context.Context, string, uint64) (resume.Record, resume.Source) {
	return resume.Record{}, resume.NoRecord
}

// fakeKeepers keep the records of streams for all gateways.
type fakeKeepers struct {
	records *resume.Records
	// silent is set while no keeper answers.
	silent atomic.Bool
	// forgotten is set while no keeper has a record.
	forgotten atomic.Bool
	// sends counts the calls of SendStreamRecords.
	sends atomic.Int64
}

func newFakeKeepers() *fakeKeepers { return &fakeKeepers{records: resume.NewRecords()} }

// versionPlane is a control plane with keepers.
type versionPlane struct {
	fakeControlPlane
	keepers *fakeKeepers
}

func (p versionPlane) SendStreamRecords(_ string, recs []resume.Record) {
	p.keepers.sends.Add(1)
	for _, rec := range recs {
		p.keepers.records.Put(rec, time.Now())
	}
}

func (p versionPlane) QueryStreamRecord(_ context.Context, _ string, key uint64) (resume.Record, resume.Source) {
	if p.keepers.silent.Load() {
		return resume.Record{}, resume.KeepersSilent
	}
	if rec, ok := p.keepers.records.Get(key, time.Now()); ok && !p.keepers.forgotten.Load() {
		return rec, resume.KeeperRecord
	}
	return resume.Record{}, resume.NoRecord
}

// observe tells the handler of a new view.
func (g *versionGateway) observe() { g.handler.ObserveVersions(g.view.Load()) }
