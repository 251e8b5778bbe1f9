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

// TestCrashRecordsReachAll guards against a verdict that some node never learns when
// messages are lost, and against crash records that circulate for ever.
func TestCrashRecordsReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, lossRate, limitSeconds = 150, 0.3, 15 // limitSeconds is virtual time
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(1, 2))
		messages := 0
		trackers := map[string]*PoisonTracker{}
		dial := func(_ context.Context, address string) (net.Conn, error) {
			near, far := net.Pipe()
			NewConn(ctx, far, HandlerFunc(func(_ context.Context, _ *Conn, method string, params json.RawMessage) (any, error) {
				if method == wire.MethodHello {
					return wire.HelloReply{}, nil
				}
				mu.Lock()
				messages++
				drop := r.Float64() < lossRate
				mu.Unlock()
				if m, err := Decode[wire.CrashRecordList](params); err == nil && !drop {
					trackers[address].Receive(m.Records)
				}
				return nil, nil
			}), log.WithField("node", address))
			return near, nil
		}
		var pools []*Pool
		for i := range nodes {
			trackers[fmt.Sprint(i)] = NewPoisonTracker(func(string) []string { return []string{"1", "2"} }, nil)
		}
		for id, tracker := range trackers {
			pool := NewPool(dial, HandlerFunc(nil), func() wire.Hello { return wire.Hello{} }, log.WithField("node", id))
			pools = append(pools, pool)
			tracker.EnableGossip(pool, func() []string {
				var out []string
				for other := range nodes {
					out = append(out, fmt.Sprint(other))
				}
				return out
			})
			go tracker.Run(ctx)
		}
		trackers["0"].RecordCrash("f", "m", "1", poison.LevelAlone)
		unaware := nodes
		seconds := 0
		for ; unaware > 0 && seconds <= limitSeconds; seconds++ {
			time.Sleep(time.Second)
			unaware = 0
			for _, tracker := range trackers {
				if tracker.Verdict("f") != poison.Blocked {
					unaware++
				}
			}
		}
		t.Logf("%d of %d nodes unaware after %d s", unaware, nodes, seconds)
		if unaware > 0 {
			t.Errorf("%d nodes unaware after %d s", unaware, seconds)
		}
		time.Sleep(2 * repeatPeriod)
		mu.Lock()
		before := messages
		mu.Unlock()
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		t.Logf("%d messages sent", before)
		if messages != before {
			t.Errorf("%d messages sent after the repeat period", messages-before)
		}
		for _, p := range pools {
			p.Close()
		}
	})
}
