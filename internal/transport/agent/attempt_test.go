package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/sets"
	"chervilhead/internal/transport/peer"
)

// fakeBackend runs each attempt until it is cancelled or its time is over.
type fakeBackend struct {
	took  time.Duration
	items int
	runs  *int
}

func (fakeBackend) alwaysReady() bool { return false }
func (fakeBackend) service() string   { return "" }

func (b fakeBackend) run(ctx context.Context, _ wire.Start, _ string, sink func(json.RawMessage)) wire.End {
	*b.runs++
	for range b.items {
		sink(json.RawMessage(`"` + strings.Repeat("x", 1022) + `"`))
	}
	select {
	case <-time.After(b.took):
		return wire.End{Outcome: fault.OutcomeComplete}
	case <-ctx.Done():
		return wire.End{Outcome: fault.OutcomeFailed}
	}
}

func newAgent(t *testing.T, b fakeBackend) (*Agent, *peer.Conn) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	a := New(ctx, Settings{ID: "a", Slots: 1, QueueBound: 4, AnswerRetention: 30 * time.Second, MaxAnswerBytes: 64 << 10}, b, gossip.NewStore(), log.WithField("test", t.Name()))
	a.SetEngineState(&engine.State{Residents: []engine.ResidentModel{{Model: "m", Ready: true}}})
	a.SetPlacedModels(map[string]bool{"loading": true})
	near, far := net.Pipe()
	go io.Copy(io.Discard, far)
	c := peer.NewConn(ctx, near, a, log.WithField("test", t.Name()))
	t.Cleanup(func() {
		cancel()
		c.Close()
		far.Close()
		time.Sleep(2 * time.Hour) // virtual: lets the timers of kept records run out
	})
	return a, c
}

func (a *Agent) startMsg(id, model string, startBy time.Duration) wire.Start {
	return wire.Start{Body: []byte("body"), AttemptID: id, Incarnation: a.incarnation, Group: "g", Model: model, StartByMillis: a.clock() + startBy.Milliseconds()}
}

// TestCancelStates guards against "never started" for an attempt that ran: once its
// record is gone, the agent cannot tell.
func TestCancelStates(t *testing.T) {
	for _, tc := range []struct {
		name  string
		start bool
		wait  time.Duration
		want  wire.AttemptState
		runs  int
	}{
		{"never arrived", false, 0, wire.NeverStarted, 0},
		{"never arrived, just expired", false, 10 * time.Second, wire.NeverStarted, 0},
		{"running", true, 500 * time.Millisecond, wire.Started, 1},
		{"ended", true, 4 * time.Second, wire.Finished, 1},
		{"ended and forgotten", true, 2 * time.Minute, wire.NotFound, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				a, c := newAgent(t, fakeBackend{took: time.Second, runs: &runs})
				s := a.startMsg("x", "m", 5*time.Second)
				if tc.start {
					if err := a.start(c, s); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(tc.wait)
				synctest.Wait()
				cancel := wire.Cancel{AttemptID: "x", Incarnation: a.incarnation, StartByMillis: s.StartByMillis}
				if got := a.cancel(cancel); got != tc.want {
					t.Errorf("got %s, want %s", got, tc.want)
				}
				if tc.want == wire.NeverStarted && a.start(c, s) == nil {
					t.Error("a cancelled attempt starts when it arrives late")
				}
				synctest.Wait()
				if runs != tc.runs {
					t.Errorf("%d runs, want %d", runs, tc.runs)
				}
			})
		})
	}
}

// TestParkedBound guards against attempts that wait for a load without any bound.
func TestParkedBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAgent(t, fakeBackend{runs: new(int)})
		refused := 0
		for i := range 10 {
			if err := a.start(c, a.startMsg(fmt.Sprint(i), "loading", time.Minute)); err != nil {
				refused++
			}
		}
		if refused != 10-a.cfg.QueueBound {
			t.Errorf("%d of 10 refused with a bound of %d", refused, a.cfg.QueueBound)
		}
	})
}

// TestAnswerBound guards against answers that fill the memory, whether their
// entry reads them or not.
func TestAnswerBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAgent(t, fakeBackend{items: 40, runs: new(int)})
		ended := 0
		for i := range 20 {
			if err := a.start(c, a.startMsg(fmt.Sprint(i), "m", time.Minute)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			at := a.attempts[fmt.Sprint(i)]
			if at.current() == phaseEnded {
				ended++
			}
			if at.current() == phaseEnded && at.start.Body != nil {
				t.Fatal("an ended attempt still holds its body")
			}
			if held := a.held.Load(); held > a.cfg.MaxAnswerBytes+1024 {
				t.Fatalf("%d bytes held with a bound of %d", held, a.cfg.MaxAnswerBytes)
			}
		}
		if ended == 0 {
			t.Error("no attempt ended")
		}
		time.Sleep(5 * time.Minute)
		if held := a.held.Load(); held != 0 {
			t.Errorf("%d bytes held after every record is gone", held)
		}
	})
}

// TestResumeWhileEndIsSent guards against an end that is not sent again when the
// answer is resumed between the sending of the end and its confirmation.
func TestResumeWhileEndIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := newAgent(t, fakeBackend{})
		at := &attempt{items: []json.RawMessage{json.RawMessage(`1`)}, end: &wire.End{Items: 1}, phase: phaseEnded}
		// Nothing sends from this outbox, so that only the test takes what is new.
		o := &outbox{conn: c, wake: make(chan struct{}, 1), dirty: sets.Of[*attempt]()}
		at.out = o
		_, _, end, follow := at.next(o)
		at.attach(o, 0)
		at.ended(follow)
		items, _, again, _ := at.next(o)
		if end == nil || len(items) != 1 || again == nil {
			t.Errorf("resumed answer has %d items and end %v", len(items), again)
		}
	})
}

// TestStrays guards against work that runs on at the engine after the agent that
// ordered it has died, and against cancelling this agent's own.
func TestStrays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAgent(t, fakeBackend{took: time.Minute, runs: new(int)})
		if err := a.start(c, a.startMsg("mine", "m", time.Minute)); err != nil {
			t.Fatal(err)
		}
		if got := a.strays([]string{"mine", "of-predecessor"}); len(got) != 1 || got[0] != "of-predecessor" {
			t.Errorf("got %v", got)
		}
	})
}
