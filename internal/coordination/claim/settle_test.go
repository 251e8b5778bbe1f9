package claim

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/fault"
)

// hookedTable is a table service that runs an action once, right after a row has been read.
type hookedTable struct {
	*pltsim.Table
	then func()
}

func (a *hookedTable) Get(ctx context.Context, key string) (store.Row, error) {
	row, err := a.Table.Get(ctx, key)
	if f := a.then; f != nil && row.Version != 0 {
		a.then = nil
		f()
	}
	return row, err
}

// TestSettledWhileRead guards against a resend that gets the error claim_holder_gone because
// the first request's claim was settled just after the resend had read its row.
func TestSettledWhileRead(t *testing.T) {
	for _, outcome := range []fault.Outcome{fault.OutcomeComplete, fault.OutcomeNotRun} {
		t.Run(string(outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				faults := &pltsim.Faults{}
				table := &hookedTable{Table: pltsim.NewTable(faults)}
				m := New(Settings{Owner: Owner{Node: "e", Incarnation: "i"}, Retention: time.Hour}, table, pltsim.NewObjects(faults), log.WithField("test", true))
				defer m.Close(context.Background())
				req := Request{Group: "g", Key: "k", Fingerprint: "f"}
				first, _, ferr := m.Acquire(context.Background(), req)
				if ferr != nil {
					t.Fatal(ferr)
				}
				table.then = func() { <-m.Settle(first, Record{Outcome: outcome, Status: http.StatusCreated}) }
				_, rec, ferr := m.Acquire(context.Background(), req)
				switch {
				case outcome == fault.OutcomeComplete && (rec == nil || rec.Status != http.StatusCreated):
					t.Fatalf("resend gets record %v, error %v", rec, ferr)
				case outcome == fault.OutcomeNotRun && (ferr == nil || ferr.Kind != fault.Conflict):
					t.Fatalf("resend gets record %v, error %v", rec, ferr)
				}
			})
		})
	}
}

// TestCloseWhileSettling guards against a data race between Close and the settlement of a
// claim whose request ends at the same time.
func TestCloseWhileSettling(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 200 {
		faults := &pltsim.Faults{}
		m := New(Settings{Owner: Owner{Node: "e", Incarnation: "i"}, Retention: time.Hour}, pltsim.NewTable(faults), pltsim.NewObjects(faults), log.WithField("test", true))
		handle, _, ferr := m.Acquire(t.Context(), Request{Group: "g", Key: "k", Fingerprint: "f"})
		if ferr != nil {
			t.Fatal(i, ferr)
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			m.Close(t.Context())
		}()
		<-m.Settle(handle, Record{Outcome: fault.OutcomeNotRun})
		<-closed
	}
}
