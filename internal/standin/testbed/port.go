package testbed

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// portHold keeps a port from being given to other processes that ask for any free one.
type portHold struct {
	port    int
	sockets []int
}

// portAttempts bounds the ports that are tried.
const portAttempts = 20

// holdPort holds a port that is free for TCP and UDP on each of the hosts. Who asks for that port, as
// Go's listeners do, gets it nonetheless.
func holdPort(hosts []string) (*portHold, error) {
	var err error
	for range portAttempts {
		h := &portHold{}
		if err = h.hold(hosts); err == nil {
			return h, nil
		}
		h.release()
	}
	return nil, fmt.Errorf("find a port that is free for TCP and UDP on %d hosts: %w", len(hosts), err)
}

// hold holds the same port on each host; the system chooses it on the first.
func (h *portHold) hold(hosts []string) error {
	for _, host := range hosts {
		ip, err := netip.ParseAddr(host)
		if err != nil {
			return err
		}
		if err := h.bind(ip); err != nil {
			return err
		}
		c, err := net.ListenPacket("udp4", netip.AddrPortFrom(ip, uint16(h.port)).String())
		if err != nil {
			return err
		}
		_ = c.Close()
	}
	return nil
}

var errPort = errors.New("the system names no port")

// bind binds a socket that doesn't listen. With SO_REUSEADDR on both, a listener may bind its port, but
// the system doesn't choose it for one.
func (h *portHold) bind(ip netip.Addr) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	h.sockets = append(h.sockets, fd)
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: h.port, Addr: ip.As4()}); err != nil {
		return err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return err
	}
	in4, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return errPort
	}
	h.port = in4.Port
	return nil
}

// release lets go of the port.
func (h *portHold) release() {
	for _, fd := range h.sockets {
		_ = syscall.Close(fd)
	}
	h.sockets = nil
}

const (
	// releaseTimeout bounds the time in which a process that is being started holds its parent's
	// descriptors, on a machine that is busy; releasePause is the pause between two attempts.
	releaseTimeout = time.Second
	releasePause   = time.Millisecond
)

// listenAgain listens on an address on which this process may have listened until now. A child of it has
// the closed listener between fork and exec.
func listenAgain(address string) (net.Listener, error) {
	for end := time.Now().Add(releaseTimeout); ; time.Sleep(releasePause) {
		l, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}
