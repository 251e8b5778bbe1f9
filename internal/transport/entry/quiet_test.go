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

// unread is the far end of a connection whose frames arrive and are not used. It takes
// chunks as an entry does: a connection that doesn't expect them closes at the first
// one, which may overtake the reply to a resume.
type unread struct{}

func (unread) Serve(context.Context, *peer.Conn, string, json.RawMessage) (any, error) {
	return nil, nil
}

func (unread) HandleChunk(wire.Chunk) {}

// TestLateResume guards against a request that never ends because a repeated resume
// came late, on a connection that the entry no longer reads, and the agent sends the
// answer there. The connection stays open in one case and closes in the other.
func TestLateResume(t *testing.T) {
	for _, closes := range []bool{false, true} {
		inBubble(t, 1, 100*time.Millisecond, func(t *testing.T, r *rig) {
			done := make(chan answer, 1)
			go func() { done <- r.send(t.Context(), call{id: "x", tokens: 50, stream: true, once: true}) }()
			time.Sleep(time.Second)
			h := r.hosts[0]
			nc, err := r.net.Dialer("stray")(t.Context(), h.addr)
			if err != nil {
				t.Fatal(err)
			}
			c := peer.NewConn(t.Context(), nc, unread{}, r.log)
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
				if a.outcome != fault.OutcomeComplete || strings.Count(a.body, `"token"`) != 50 || r.started("x") != 1 {
					t.Errorf("closes %v: outcome %q, %d tokens, %d runs", closes, a.outcome, strings.Count(a.body, `"token"`), r.started("x"))
				}
			case <-time.After(time.Minute):
				t.Errorf("closes %v: no answer after a minute", closes)
			}
		})
	}
}
