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

// TestGetWithinTime guards against a caller that waits for another's attempt to
// connect to a silent process after its own time is up.
func TestGetWithinTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := netsim.New()
		n.SetFault("", "", netsim.Fault{Silent: true})
		p := peer.NewPool(n.Dialer("a"), nil, func() wire.Hello { return wire.Hello{} }, log.WithField("test", t.Name()))
		long, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go p.Get(long, "b")
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		began := time.Now()
		if _, err := p.Get(short, "b"); err == nil || time.Since(began) != 250*time.Millisecond {
			t.Errorf("returned after %s with error %v", time.Since(began), err)
		}
	})
}

// TestIdleLinksClose guards against a pool whose links stay open for ever, and against
// one that closes a link in use.
func TestIdleLinksClose(t *testing.T) {
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
		for _, a := range []string{"quiet", "probed", "taken"} {
			first[a], _ = p.Get(ctx, a)
		}
		for range 40 {
			time.Sleep(4 * time.Second)
			var l wire.ProbeReply
			if err := first["probed"].Call(ctx, wire.MethodProbe, wire.Probe{}, &l); err != nil {
				t.Fatal(err)
			}
			if l, err := p.Get(ctx, "taken"); err != nil || l != first["taken"] {
				t.Fatalf("another link, error %v", err)
			}
		}
		select {
		case <-first["quiet"].Done():
		default:
			t.Error("the idle link is open")
		}
		if l, err := p.Get(ctx, "quiet"); err != nil || l == first["quiet"] {
			t.Errorf("no new link after the idle one was closed, error %v", err)
		}
	})
}
