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

// fakeBackend sends items of 1 KiB and then runs each attempt for a time or until it is cancelled.
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
		time.Sleep(2 * time.Hour) // virtual time: lets the timers of kept records expire
	})
	return a, c
}

func (a *Agent) startMsg(id, model string, startBy time.Duration) wire.Start {
	return wire.Start{Body: []byte("body"), AttemptID: id, Incarnation: a.incarnation, Group: "g", Model: model, StartByMillis: a.clockMillis() + startBy.Milliseconds()}
}

// TestCancelStates guards against the reply "never started" for an attempt that ran: once
// its record has expired, the agent cannot tell whether it ran.
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
		{"ended, record expired", true, 2 * time.Minute, wire.NotFound, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := 0
				a, c := newAgent(t, fakeBackend{took: time.Second, runs: &runs})
				s := a.startMsg("x", "m", 5*time.Second)
				if tc.start {
					if err := a.accept(c, s); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(tc.wait)
				synctest.Wait()
				cancel := wire.Cancel{AttemptID: "x", Incarnation: a.incarnation, StartByMillis: s.StartByMillis}
				if got := a.cancel(cancel); got != tc.want {
					t.Errorf("got %s, want %s", got, tc.want)
				}
				if tc.want == wire.NeverStarted && a.accept(c, s) == nil {
					t.Error("a cancelled attempt was accepted when it arrived late")
				}
				synctest.Wait()
				if runs != tc.runs {
					t.Errorf("%d runs, want %d", runs, tc.runs)
				}
			})
		})
	}
}

// TestPendingLoadBound guards against an unbounded number of attempts that wait for a load.
func TestPendingLoadBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAgent(t, fakeBackend{runs: new(int)})
		rejected := 0
		for i := range 10 {
			if err := a.accept(c, a.startMsg(fmt.Sprint(i), "loading", time.Minute)); err != nil {
				rejected++
			}
		}
		if rejected != 10-a.cfg.QueueBound {
			t.Errorf("%d of 10 rejected with a bound of %d", rejected, a.cfg.QueueBound)
		}
	})
}

// TestAnswerBound guards against answers that exceed the memory bound, and against
// answer bytes that stay counted after their records have expired.
func TestAnswerBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAgent(t, fakeBackend{items: 40, runs: new(int)})
		ended := 0
		for i := range 20 {
			if err := a.accept(c, a.startMsg(fmt.Sprint(i), "m", time.Minute)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			at := a.attempts[fmt.Sprint(i)]
			if at.currentPhase() == phaseEnded {
				ended++
			}
			if at.currentPhase() == phaseEnded && at.start.Body != nil {
				t.Fatal("an ended attempt still holds its body")
			}
			if held := a.answerBytes.Load(); held > a.cfg.MaxAnswerBytes+1024 {
				t.Fatalf("%d bytes held with a bound of %d", held, a.cfg.MaxAnswerBytes)
			}
		}
		if ended == 0 {
			t.Error("no attempt ended")
		}
		time.Sleep(5 * time.Minute)
		if held := a.answerBytes.Load(); held != 0 {
			t.Errorf("%d bytes held after all records have expired", held)
		}
	})
}

// TestResumeWhileEndIsSent guards against an end that is not sent again when the answer
// is resumed after the end was sent and before it is confirmed.
func TestResumeWhileEndIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := newAgent(t, fakeBackend{})
		at := &attempt{items: []json.RawMessage{json.RawMessage(`1`)}, end: &wire.End{Items: 1}, phase: phaseEnded}
		// No goroutine sends from this outbox, so that only the test takes unsent items.
		o := &outbox{conn: c, wake: make(chan struct{}, 1), dirty: sets.Of[*attempt]()}
		at.outbox = o
		_, _, end, follow := at.unsent(o)
		at.attach(o, 0)
		at.markEndConfirmed(follow)
		items, _, again, _ := at.unsent(o)
		if end == nil || len(items) != 1 || again == nil {
			t.Errorf("resumed answer has %d items and end %v", len(items), again)
		}
	})
}

// TestOrphans guards against requests that go on running on the engine after their agent
// has died, and against cancelling this agent's own requests.
func TestOrphans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := newAgent(t, fakeBackend{took: time.Minute, runs: new(int)})
		if err := a.accept(c, a.startMsg("mine", "m", time.Minute)); err != nil {
			t.Fatal(err)
		}
		if got := a.orphans([]string{"mine", "of-predecessor"}); len(got) != 1 || got[0] != "of-predecessor" {
			t.Errorf("got %v", got)
		}
	})
}
