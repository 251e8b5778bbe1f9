package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/poison"
)

// TestSuspectsReachAll guards against a verdict that stays unknown somewhere when
// messages are lost, and against marks that circulate for ever.
func TestSuspectsReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, lost, limit = 150, 0.3, 15 // a limit in seconds of virtual time
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(1, 2))
		messages := 0
		all := map[string]*PoisonTracker{}
		dial := func(_ context.Context, address string) (net.Conn, error) {
			near, far := net.Pipe()
			NewConn(ctx, far, HandlerFunc(func(_ context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
				if method == wire.MethodHello {
					return wire.HelloReply{}, nil
				}
				mu.Lock()
				messages++
				drop := r.Float64() < lost
				mu.Unlock()
				if m, err := Decode[wire.CrashRecordList](params); err == nil && !drop {
					all[address].Receive(m.Records)
				}
				return nil, nil
			}), log.WithField("node", address))
			return near, nil
		}
		var pools []*Pool
		for i := range nodes {
			all[fmt.Sprint(i)] = NewPoisonTracker(func(string) []string { return []string{"1", "2"} }, nil)
		}
		for id, s := range all {
			pool := NewPool(dial, HandlerFunc(nil), func() wire.Hello { return wire.Hello{} }, log.WithField("node", id))
			pools = append(pools, pool)
			s.EnableGossip(pool, func() []string {
				var out []string
				for other := range nodes {
					out = append(out, fmt.Sprint(other))
				}
				return out
			})
			go s.Run(ctx)
		}
		all["0"].RecordCrash("f", "m", "1", poison.LevelAlone)
		unaware := nodes
		seconds := 0
		for ; unaware > 0 && seconds <= limit; seconds++ {
			time.Sleep(time.Second)
			unaware = 0
			for _, s := range all {
				if s.Verdict("f") != poison.Blocked {
					unaware++
				}
			}
		}
		t.Logf("%d of %d nodes unaware after %d s", unaware, nodes, seconds)
		if unaware > 0 {
			t.Errorf("%d nodes unaware after %d s", unaware, seconds)
		}
		time.Sleep(2 * freshTime)
		mu.Lock()
		before := messages
		mu.Unlock()
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		t.Logf("%d messages", before)
		if messages != before {
			t.Errorf("%d messages long after the verdict", messages-before)
		}
		for _, p := range pools {
			p.Close()
		}
	})
}
