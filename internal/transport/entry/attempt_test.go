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

// wantStream returns the expected streamed answer to a call.
func wantStream(c call) string {
	var b strings.Builder
	for i := range c.tokens {
		fmt.Fprintf(&b, "data: {\"token\":\"%s-%d\"}\n\n", c.id, i)
	}
	return b.String() + "data: [DONE]\n\n"
}

// TestOutcomes guards against wrong outcomes, lost or duplicated items of answers, and
// requests that do not end in time, when connections or agents fail.
func TestOutcomes(t *testing.T) {
	nonIdempotent := call{id: "x", tokens: 50, stream: true, nonIdempotent: true}
	streamed := call{id: "x", tokens: 50, stream: true}
	unary := call{id: "x", tokens: 50}
	for _, tc := range []struct {
		name  string
		call  call
		fault func(t *testing.T, f *testFleet) // after 0.3 s, with the request running
		want  fault.Outcome
		runs  int
		// within bounds the virtual time until the answer is complete.
		within time.Duration
	}{
		{"no fault", nonIdempotent, func(*testing.T, *testFleet) {}, fault.OutcomeComplete, 1, 2 * time.Second},
		{"connection cut mid-stream", nonIdempotent, func(_ *testing.T, f *testFleet) { f.net.ResetConnections("", "") }, fault.OutcomeComplete, 1, 2 * time.Second},
		{"connection silent for a second", streamed, func(_ *testing.T, f *testFleet) {
			f.net.SetFault("", "", netsim.Fault{Blackhole: true})
			time.AfterFunc(time.Second, func() { f.net.SetFault("", "", netsim.Fault{}) })
		}, fault.OutcomeComplete, 1, 6 * time.Second},
		{"agent paused with its connections open", nonIdempotent, func(_ *testing.T, f *testFleet) {
			f.net.SetFault("", "", netsim.Fault{Blackhole: true})
		}, fault.OutcomeUnknown, 1, 12 * time.Second},
		{"agent restarted, not idempotent", call{id: "x", tokens: 50, nonIdempotent: true}, func(t *testing.T, f *testFleet) {
			f.restartAgent(t, f.hosts[0])
			f.restartAgent(t, f.hosts[1])
		}, fault.OutcomeUnknown, 1, time.Second},
		{"agent restarted, idempotent", unary, func(t *testing.T, f *testFleet) {
			f.restartAgent(t, f.hosts[0])
			f.restartAgent(t, f.hosts[1])
		}, fault.OutcomeComplete, 2, 3 * time.Second},
		{"agent dead, idempotent", unary, func(_ *testing.T, f *testFleet) {
			for _, h := range f.hosts {
				if s, _ := h.engine.runs("x"); s > 0 {
					h.lis.Close()
					h.stop()
					f.net.ResetConnections("", h.addr)
				}
			}
		}, fault.OutcomeComplete, 2, 2 * time.Second},
		{"agent restarted after the first byte", streamed, func(t *testing.T, f *testFleet) {
			f.restartAgent(t, f.hosts[0])
			f.restartAgent(t, f.hosts[1])
		}, fault.OutcomeUnknown, 1, time.Second},
		{"lost, then rejected by the other agent", unary, func(t *testing.T, f *testFleet) {
			for _, h := range f.hosts {
				f.restartAgent(t, h)
				h.agent.SetEngineState(nil)
			}
		}, fault.OutcomeUnknown, 1, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 2, perToken, func(t *testing.T, f *testFleet) {
				done := make(chan struct{})
				time.AfterFunc(300*time.Millisecond, func() {
					defer close(done)
					tc.fault(t, f)
				})
				got := f.send(t.Context(), tc.call)
				<-done
				if got.outcome != tc.want || f.executions("x") != tc.runs || got.latency > tc.within {
					t.Errorf("outcome %s, %d runs, after %s; want %s, %d runs, within %s", got.outcome, f.executions("x"), got.latency, tc.want, tc.runs, tc.within)
				}
				if tc.call.stream && tc.want == fault.OutcomeComplete && got.body != wantStream(tc.call) {
					t.Errorf("answer is incomplete: %q", got.body)
				}
			})
		})
	}
}

// TestCallerDisconnect guards against engine slots and queue places that stay occupied
// after the caller has disconnected, also when the entry cannot reach the agent.
func TestCallerDisconnect(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent bool
		freed  time.Duration
	}{
		{"connected", false, 10 * time.Millisecond},
		{"entry disconnected too", true, 6 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, 1, time.Second, func(t *testing.T, f *testFleet) {
				running, stopRunning := context.WithCancel(t.Context())
				queued, stopQueued := context.WithCancel(t.Context())
				for i := range slots + 2 {
					ctx := running
					if i >= slots {
						ctx = queued
					}
					go f.send(ctx, call{id: fmt.Sprint("x", i), tokens: 1000, stream: true, startBy: time.Hour})
					time.Sleep(200 * time.Millisecond)
				}
				if tc.silent {
					f.net.SetFault("", "", netsim.Fault{Refuse: true})
					f.net.ResetConnections("", "")
				}
				// The queued callers disconnect first, so that no freed slot starts a request
				// whose cancellation is in progress.
				stopQueued()
				time.Sleep(tc.freed)
				synctest.Wait()
				if st := f.hosts[0].agent.Status().Endpoint; st.Queued != 0 {
					t.Errorf("%d queued", st.Queued)
				}
				stopRunning()
				time.Sleep(tc.freed)
				synctest.Wait()
				st := f.hosts[0].agent.Status().Endpoint
				_, stopped := f.hosts[0].engine.runs("x0")
				if st.Running != 0 || stopped != 1 || (!tc.silent && f.executions("x3") != 0) {
					t.Errorf("%d running, %d stopped, queued request started %d times", st.Running, stopped, f.executions("x3"))
				}
			})
		})
	}
}

// TestRejection guards against a request that is kept waiting, or rejected without a
// Retry-After header, while all agents are draining.
func TestRejection(t *testing.T) {
	inBubble(t, 2, perToken, func(t *testing.T, f *testFleet) {
		f.hosts[0].agent.Leave()
		conn, err := f.entry.Pool().Get(t.Context(), f.hosts[1].addr)
		if err != nil {
			t.Fatal(err)
		}
		var s wire.Status
		if err := conn.Call(t.Context(), wire.MethodLeave, struct{}{}, &s); err != nil || !s.Leaving {
			t.Fatalf("status %+v, error %v", s, err)
		}
		got := f.send(t.Context(), call{id: "x", tokens: 1, startBy: time.Hour})
		if got.outcome != fault.OutcomeNotRun || got.retryAfter == "" || got.latency > 5*time.Second {
			t.Errorf("got %+v", got)
		}
	})
}

// TestLeaveEndsStream guards against a draining agent that reports idle before its last
// answer was sent.
func TestLeaveEndsStream(t *testing.T) {
	inBubble(t, 2, perToken, func(t *testing.T, f *testFleet) {
		c := call{id: "x", tokens: 500, stream: true}
		done := make(chan answer, 1)
		go func() { done <- f.send(t.Context(), c) }()
		time.Sleep(300 * time.Millisecond)
		h := f.hosts[0]
		if s, _ := h.engine.runs("x"); s == 0 {
			h = f.hosts[1]
		}
		h.agent.Leave()
		for !h.agent.Idle() {
			time.Sleep(time.Millisecond)
		}
		h.stop()
		f.net.ResetConnections("", h.addr)
		if got := <-done; got.body != wantStream(c) || got.outcome != fault.OutcomeComplete {
			t.Errorf("outcome %s after %d bytes", got.outcome, len(got.body))
		}
	})
}
