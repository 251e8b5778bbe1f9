package entry_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/transport/peer"
)

// discardHandler discards everything that arrives on a connection. It takes chunks as an
// entry does: a connection that does not expect them closes at the first one, which may
// overtake the reply to a resume.
type discardHandler struct{}

func (discardHandler) Serve(context.Context, *peer.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

func (discardHandler) HandleChunk(wire.Chunk) {}

// TestLateResume guards against a request that never ends because a delayed duplicate
// resume made the agent send the answer to a connection that the entry does not read. The
// test covers such a connection that stays open and one that closes.
func TestLateResume(t *testing.T) {
	for _, closes := range []bool{false, true} {
		inBubble(t, 1, 100*time.Millisecond, func(t *testing.T, f *testFleet) {
			done := make(chan answer, 1)
			go func() { done <- f.send(t.Context(), call{id: "x", tokens: 50, stream: true, nonIdempotent: true}) }()
			time.Sleep(time.Second)
			h := f.hosts[0]
			nc, err := f.net.Dialer("stray")(t.Context(), h.addr)
			if err != nil {
				t.Fatal(err)
			}
			c := peer.NewConn(t.Context(), nc, discardHandler{}, f.log)
			defer c.Close()
			var reply wire.ResumeReply
			if err := c.Call(t.Context(), wire.MethodResume, wire.Resume{AttemptID: h.engine.attempt, Incarnation: h.agent.Incarnation()}, &reply); err != nil || reply.State != wire.Started {
				t.Fatalf("resume: %v, state %q", err, reply.State)
			}
			if closes {
				c.Close()
			}
			select {
			case a := <-done:
				if a.outcome != fault.OutcomeComplete || strings.Count(a.body, `"token"`) != 50 || f.executions("x") != 1 {
					t.Errorf("closes %v: outcome %q, %d tokens, %d runs", closes, a.outcome, strings.Count(a.body, `"token"`), f.executions("x"))
				}
			case <-time.After(time.Minute):
				t.Errorf("closes %v: no answer after a minute", closes)
			}
		})
	}
}
