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

// afterGet runs an action once, right after a row has been read.
type afterGet struct {
	*pltsim.Table
	then func()
}

func (a *afterGet) Get(ctx context.Context, key string) (store.Row, error) {
	row, err := a.Table.Get(ctx, key)
	if f := a.then; f != nil && row.Version != 0 {
		a.then = nil
		f()
	}
	return row, err
}

// TestSettledWhileRead guards against a resend that is told that the claim's holder is
// gone, because the first request settled just after the resend had read its row.
func TestSettledWhileRead(t *testing.T) {
	for _, outcome := range []fault.Outcome{fault.OutcomeComplete, fault.OutcomeNotRun} {
		t.Run(string(outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				faults := &pltsim.Faults{}
				table := &afterGet{Table: pltsim.NewTable(faults)}
				k := New(Settings{Owner: Owner{Node: "e", Incarnation: "i"}, Retention: time.Hour}, table, pltsim.NewObjects(faults), log.WithField("test", true))
				defer k.Close(context.Background())
				req := Request{Group: "g", Key: "k", Fingerprint: "f"}
				first, _, ferr := k.Acquire(context.Background(), req)
				if ferr != nil {
					t.Fatal(ferr)
				}
				table.then = func() { <-k.Settle(first, Record{Outcome: outcome, Status: http.StatusCreated}) }
				_, rec, ferr := k.Acquire(context.Background(), req)
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

// TestCloseWhileSettling guards against a data race between the close of a process and
// the settlement of a claim whose request ends at that moment.
func TestCloseWhileSettling(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range 200 {
		faults := &pltsim.Faults{}
		k := New(Settings{Owner: Owner{Node: "e", Incarnation: "i"}, Retention: time.Hour}, pltsim.NewTable(faults), pltsim.NewObjects(faults), log.WithField("test", true))
		ticket, _, ferr := k.Acquire(t.Context(), Request{Group: "g", Key: "k", Fingerprint: "f"})
		if ferr != nil {
			t.Fatal(i, ferr)
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			k.Close(t.Context())
		}()
		<-k.Settle(ticket, Record{Outcome: fault.OutcomeNotRun})
		<-closed
	}
}
