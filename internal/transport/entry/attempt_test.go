package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/netsim"
	"chervilhead/internal/state/fault"
)

// wholeStream is the streamed answer to a call.
func wholeStream(c call) string {
	var b strings.Builder
	for i := range c.tokens {
		fmt.Fprintf(&b, "data: {\"token\":\"%s-%d\"}\n\n", c.id, i)
	}
	return b.String() + "data: [DONE]\n\n"
}

// TestOutcomes guards against outcomes that are not true, answers that are lost or
// doubled, and answers that never come.
func TestOutcomes(t *testing.T) {
	once := call{id: "x", tokens: 50, stream: true, once: true}
	again := call{id: "x", tokens: 50, stream: true}
	whole := call{id: "x", tokens: 50}
	for _, tc := range []struct {
		name  string
		call  call
		fault func(t *testing.T, r *rig) // after 0.3 s, with the request running
		want  fault.Outcome
		runs  int
		// within bounds the virtual time to the answer.
		within time.Duration
	}{
		{"no fault", once, func(*testing.T, *rig) {}, fault.OutcomeComplete, 1, 2 * time.Second},
		{"connection cut mid-stream", once, func(_ *testing.T, r *rig) { r.net.Cut("", "") }, fault.OutcomeComplete, 1, 2 * time.Second},
		{"connection silent for a second", again, func(_ *testing.T, r *rig) {
			r.net.SetFault("", "", netsim.Fault{Silent: true})
			time.AfterFunc(time.Second, func() { r.net.SetFault("", "", netsim.Fault{}) })
		}, fault.OutcomeComplete, 1, 6 * time.Second},
		{"agent paused with its connections open", once, func(_ *testing.T, r *rig) {
			r.net.SetFault("", "", netsim.Fault{Silent: true})
		}, fault.OutcomeUnknown, 1, 12 * time.Second},
		{"agent restarted, not repeatable", call{id: "x", tokens: 50, once: true}, func(t *testing.T, r *rig) {
			r.restartAgent(t, r.hosts[0])
			r.restartAgent(t, r.hosts[1])
		}, fault.OutcomeUnknown, 1, time.Second},
		{"agent restarted, repeatable", whole, func(t *testing.T, r *rig) {
			r.restartAgent(t, r.hosts[0])
			r.restartAgent(t, r.hosts[1])
		}, fault.OutcomeComplete, 2, 3 * time.Second},
		{"agent dead, repeatable", whole, func(_ *testing.T, r *rig) {
			for _, h := range r.hosts {
				if s, _ := h.engine.runs("x"); s > 0 {
					h.lis.Close()
					h.stop()
					r.net.Cut("", h.addr)
				}
			}
		}, fault.OutcomeComplete, 2, 2 * time.Second},
		{"agent restarted after the first byte", again, func(t *testing.T, r *rig) {
			r.restartAgent(t, r.hosts[0])
			r.restartAgent(t, r.hosts[1])
		}, fault.OutcomeUnknown, 1, time.Second},
		{"lost, then refused elsewhere", whole, func(t *testing.T, r *rig) {
			for _, h := range r.hosts {
				r.restartAgent(t, h)
				h.agent.SetEngineState(nil)
			}
		}, fault.OutcomeUnknown, 1, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, perToken, func(t *testing.T, r *rig) {
				done := make(chan struct{})
				time.AfterFunc(300*time.Millisecond, func() {
					defer close(done)
					tc.fault(t, r)
				})
				got := r.send(t.Context(), tc.call)
				<-done
				if got.outcome != tc.want || r.started("x") != tc.runs || got.took > tc.within {
					t.Errorf("outcome %s, %d runs, after %s; want %s, %d, within %s", got.outcome, r.started("x"), got.took, tc.want, tc.runs, tc.within)
				}
				if tc.call.stream && tc.want == fault.OutcomeComplete && got.body != wholeStream(tc.call) {
					t.Errorf("answer is not whole: %q", got.body)
				}
			})
		})
	}
}

// TestCallerGone guards against engine slots and queue places that stay taken after
// the caller has gone, also when the entry cannot tell the agent.
func TestCallerGone(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent bool
		freed  time.Duration
	}{
		{"connected", false, 10 * time.Millisecond},
		{"entry gone too", true, 6 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 1, time.Second, func(t *testing.T, r *rig) {
				running, stopRunning := context.WithCancel(t.Context())
				queued, stopQueued := context.WithCancel(t.Context())
				for i := range slots + 2 {
					ctx := running
					if i >= slots {
						ctx = queued
					}
					go r.send(ctx, call{id: fmt.Sprint("x", i), tokens: 1000, stream: true, startBy: time.Hour})
					time.Sleep(200 * time.Millisecond)
				}
				if tc.silent {
					r.net.SetFault("", "", netsim.Fault{Refuse: true})
					r.net.Cut("", "")
				}
				// Queued callers go first: a freed slot would start one whose cancellation is under way.
				stopQueued()
				time.Sleep(tc.freed)
				synctest.Wait()
				if st := r.hosts[0].agent.Status().Endpoint; st.Queued != 0 {
					t.Errorf("%d queued", st.Queued)
				}
				stopRunning()
				time.Sleep(tc.freed)
				synctest.Wait()
				st := r.hosts[0].agent.Status().Endpoint
				_, stopped := r.hosts[0].engine.runs("x0")
				if st.Running != 0 || stopped != 1 || (!tc.silent && r.started("x3") != 0) {
					t.Errorf("running %d, stopped %d, queued one started %d times", st.Running, stopped, r.started("x3"))
				}
			})
		})
	}
}

// TestRefusal guards against a request that nobody can run being held back or
// answered without the time after which to come back.
func TestRefusal(t *testing.T) {
	inBubble(t, 2, perToken, func(t *testing.T, r *rig) {
		r.hosts[0].agent.Leave()
		link, err := r.entry.Pool().Get(t.Context(), r.hosts[1].addr)
		if err != nil {
			t.Fatal(err)
		}
		var s wire.Status
		if err := link.Call(t.Context(), wire.MethodLeave, struct{}{}, &s); err != nil || !s.Leaving {
			t.Fatalf("status %+v, error %v", s, err)
		}
		got := r.send(t.Context(), call{id: "x", tokens: 1, startBy: time.Hour})
		if got.outcome != fault.OutcomeNotRun || got.retryAfter == "" || got.took > 5*time.Second {
			t.Errorf("got %+v", got)
		}
	})
}

// TestLeaveEndsStream guards against an agent that counts as idle before the last answer was sent.
func TestLeaveEndsStream(t *testing.T) {
	inBubble(t, 2, perToken, func(t *testing.T, r *rig) {
		c := call{id: "x", tokens: 500, stream: true}
		done := make(chan answer, 1)
		go func() { done <- r.send(t.Context(), c) }()
		time.Sleep(300 * time.Millisecond)
		h := r.hosts[0]
		if s, _ := h.engine.runs("x"); s == 0 {
			h = r.hosts[1]
		}
		h.agent.Leave()
		for !h.agent.Idle() {
			time.Sleep(time.Millisecond)
		}
		h.stop()
		r.net.Cut("", h.addr)
		if got := <-done; got.body != wholeStream(c) || got.outcome != fault.OutcomeComplete {
			t.Errorf("outcome %s after %d bytes", got.outcome, len(got.body))
		}
	})
}
