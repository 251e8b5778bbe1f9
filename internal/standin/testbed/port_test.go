package testbed

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
)

// TestKeeperPort guards against a keeper that can't listen because its port was given to another process.
func TestKeeperPort(t *testing.T) {
	env, err := New(Settings{EngineEndpoints: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer env.Close()
	// Linux names it IP_LOCAL_PORT_RANGE; without it the ports below are chosen from all.
	const localPortRange = 51
	any := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, localPortRange, env.KeeperPort<<16|env.KeeperPort)
		})
	}}
	for _, host := range env.KeeperHosts {
		for range 20 {
			l, err := any.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
			if err != nil {
				continue
			}
			if l.Addr().(*net.TCPAddr).Port == env.KeeperPort {
				t.Errorf("the system gives port %d of %s to another listener", env.KeeperPort, host)
			}
			_ = l.Close()
		}
		// As the keeper does.
		address := fmt.Sprintf("%s:%d", host, env.KeeperPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}
