package keeper

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
)

// idleEngine is an engine that answers nothing but reports.
type idleEngine struct{ Engine }

func (idleEngine) Identify(context.Context, string) (string, error) { return "e", nil }

// countingConn counts the datagrams that are sent to each address.
type countingConn struct {
	net.PacketConn
	sent map[string]int
}

func (c *countingConn) WriteTo(data []byte, a net.Addr) (int, error) {
	c.sent[a.String()]++
	return len(data), nil
}

func newTestKeeper(t *testing.T) (*Keeper, *countingConn) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k, err := New(Settings{Holder: "h", Service: "s", Address: "10.0.0.1:1", Listen: "127.0.0.1:0", HeartbeatInterval: 200 * time.Millisecond}, idleEngine{}, nil, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.conn.Close() })
	c := &countingConn{PacketConn: k.conn, sent: map[string]int{}}
	k.conn = c
	return k, c
}

func gatewayAddr(n int) net.Addr {
	return &net.UDPAddr{IP: net.IPv4(10, 1, byte(n/200), byte(n%200)), Port: 1}
}

// TestReportIntervals checks that a gateway that doesn't use the engine gets its load seldom, and
// a change of its models at once.
func TestReportIntervals(t *testing.T) {
	k, c := newTestKeeper(t)
	now := time.Unix(1000, 0)
	using, idle := gatewayAddr(1), gatewayAddr(2)
	st := dgram.EndpointState{Address: "10.0.0.1:1", Alive: true}
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		k.subscribe(&dgram.KeeperRequest{Gateway: "using"}, using, now)
		k.subscribe(&dgram.KeeperRequest{Gateway: "idle", ReportInterval: time.Second}, idle, now)
		st.Running = i
		k.sendReport(st, now)
	}
	if n, m := c.sent[using.String()], c.sent[idle.String()]; n < 45 || n > 51 || m < 9 || m > 11 {
		t.Errorf("%d and %d reports in 10 s, want one every 0.2 s and one every second", n, m)
	}
	before := c.sent[idle.String()]
	for _, m := range []string{"a", "b", "c"} {
		now = now.Add(100 * time.Millisecond)
		st.Models = []dgram.Model{{Name: m}}
		k.sendReport(st, now)
	}
	if n := c.sent[idle.String()] - before; n < 3 {
		t.Errorf("%d reports on three changes of the models, want one each", n)
	}
}

// TestSubscriptionsStart guards against a burst of reports when all gateways of a large
// deployment start: each one that joins must not cause a report to all others.
func TestSubscriptionsStart(t *testing.T) {
	k, c := newTestKeeper(t)
	k.report = Report{Status: fleet.Status{Alive: true}}
	k.identified, k.endpoint = true, "e"
	now := time.Now()
	const gateways = 300
	for i := range gateways {
		k.subscribe(&dgram.KeeperRequest{Gateway: fmt.Sprint("g", i), ReportInterval: time.Second}, gatewayAddr(i), now)
		if i%10 == 0 {
			k.publishState()
		}
	}
	k.publishState()
	total := 0
	for _, n := range c.sent {
		total += n
	}
	if total > 2*gateways {
		t.Errorf("%d reports while %d gateways subscribe, want one or two each", total, gateways)
	}
	if len(c.sent) != gateways {
		t.Errorf("%d of %d gateways got a report", len(c.sent), gateways)
	}
}
