package peer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/netsim"
	"chervilhead/internal/transport/peer"
)

// TestGetReturnsAtDeadline guards against a caller that waits beyond its deadline while
// another caller connects to a process that does not answer.
func TestGetReturnsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := netsim.New()
		n.SetFault("", "", netsim.Fault{Blackhole: true})
		p := peer.NewPool(n.Dialer("a"), nil, func() wire.Hello { return wire.Hello{} }, log.WithField("test", t.Name()))
		long, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go p.Get(long, "b")
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := p.Get(short, "b"); err == nil || time.Since(start) != 250*time.Millisecond {
			t.Errorf("returned after %s with error %v", time.Since(start), err)
		}
	})
}

// TestIdleConnectionsClose guards against a pool whose connections stay open for ever, and
// against one that closes a connection in use.
func TestIdleConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		entry := log.WithField("test", t.Name())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		answer := peer.HandlerFunc(func(context.Context, *peer.Conn, string, json.RawMessage) (any, error) { return wire.HelloReply{}, nil })
		p := peer.NewPool(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			peer.NewConn(ctx, far, answer, entry)
			return near, nil
		}, answer, func() wire.Hello { return wire.Hello{} }, entry)
		defer p.Close()
		first := map[string]*peer.ClientConn{}
		for _, address := range []string{"quiet", "probed", "taken"} {
			first[address], _ = p.Get(ctx, address)
		}
		for range 40 {
			time.Sleep(4 * time.Second)
			var reply wire.ProbeReply
			if err := first["probed"].Call(ctx, wire.MethodProbe, wire.Probe{}, &reply); err != nil {
				t.Fatal(err)
			}
			if c, err := p.Get(ctx, "taken"); err != nil || c != first["taken"] {
				t.Fatalf("Get returned another connection, error %v", err)
			}
		}
		select {
		case <-first["quiet"].Done():
		default:
			t.Error("the idle connection is still open")
		}
		if c, err := p.Get(ctx, "quiet"); err != nil || c == first["quiet"] {
			t.Errorf("no new connection after the idle one was closed, error %v", err)
		}
	})
}
