package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

const (
	// gatewayMB is the memory of a gateway's machine, beyond which the platform kills its process.
	gatewayMB = 284
	// bodyLimit is the length of a body that the configuration allows.
	bodyLimit = 4 << 20
	// burstRate is the number of requests a second that a gateway gets while many users come at once:
	// 1.7 times the 22 of a zone of the smaller site. burstTime is how long that lasts.
	burstRate = 37
	burstTime = 3 * time.Second
	// calmClients is the number of clients at a gateway when no others come.
	calmClients = 11
	// uploadTime is how long a client takes to send such a body, about 3.4 Mbit/s.
	uploadTime = 10 * time.Second
	// maxEnds is the number of ends by itself from which a machine counts, and maxEndedMachines the
	// number of such machines that make a fault.
	maxEnds, maxEndedMachines = 3, 2
)

// guard kills a process that exceeds its memory and starts it again, as the platform does. It
// returns a function that ends that and tells how often it happened.
func (f *fleet) guard(p *proc) (end func() int) {
	stop, done := make(chan struct{}), make(chan struct{})
	kills := 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			mb := p.residentMB()
			if mb <= gatewayMB {
				continue
			}
			kills++
			f.rec.notef("%s uses %d MB of %d: killed", p.name, mb, gatewayMB)
			_ = p.stop(syscall.SIGKILL, grace)
			time.Sleep(500 * time.Millisecond)
			f.setBootstrap(p)
			if err := p.start(); err != nil {
				f.rec.notef("%s did not start again: %v", p.name, err)
				return
			}
		}
	}()
	return func() int {
		close(stop)
		<-done
		return kills
	}
}

// residentMB returns the memory that the process uses.
func (p *proc) residentMB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// pacedBody is a body that takes a time to send.
type pacedBody struct {
	left  int
	began time.Time
	total time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	n := min(len(p), b.left, 64<<10)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	due := b.began.Add(time.Duration(float64(b.total) * float64(bodyLimit-b.left) / bodyLimit))
	time.Sleep(time.Until(due))
	return n, nil
}

// upload sends a request with the longest body that the configuration allows.
func (f *fleet) upload(n int, took time.Duration) {
	g := f.gateways[n%len(f.gateways)]
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	nc, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		f.rec.notef("client: %s at %s: %v", id, g.name, err)
		return
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(13 * time.Second))
	head := fmt.Sprintf("POST /registre/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", n, routeHost, headerID, id, headerDeadline, bodyLimit)
	_, err = io.WriteString(nc, head)
	if err == nil {
		_, err = io.Copy(nc, &pacedBody{left: bodyLimit, total: took})
	}
	answer := make([]byte, 64)
	k, rerr := io.ReadAtLeast(nc, answer, 12)
	line, _, _ := strings.Cut(string(answer[:k]), "\r\n")
	f.rec.notef("client: %s at %s: sent %v, answer %q %v", id, g.name, err, line, rerr)
}

// largeBodies plays many clients that send bodies of the allowed length at once.
func largeBodies(f *fleet, trouble bool) (verdict, error) {
	cfg := smallConfig()
	cfg.Routes[1].TimeoutMS = 12000
	cfg.Routes[1].Kind = stub.KindOnce
	if err := f.start(layout{gateways: 2, engines: 2, plain: 4, config: cfg, hold: holdBusy}); err != nil {
		return verdict{}, err
	}
	time.Sleep(stable)
	ends := []func() int{}
	for _, p := range f.gateways {
		ends = append(ends, f.guard(p))
	}
	const rounds = 3
	requests, pause := calmClients*len(f.gateways), time.Duration(0)
	if trouble {
		requests = burstRate * int(burstTime/time.Second) * len(f.gateways)
		pause = burstTime / time.Duration(requests)
	}
	for round := range rounds {
		var wg sync.WaitGroup
		for n := range requests {
			wg.Go(func() { f.upload(n, uploadTime) })
			time.Sleep(pause)
		}
		wg.Wait()
		f.rec.notef("round %d has ended", round+1)
		time.Sleep(stable + time.Second)
	}
	machines, counts := 0, []int{}
	for _, end := range ends {
		n := end()
		counts = append(counts, n)
		if n >= maxEnds {
			machines++
		}
	}
	return verdict{machines >= maxEndedMachines, fmt.Sprintf("Fault: the gateways exceeded their memory %v times; %d machines with %d times are a fault", counts, maxEndedMachines, maxEnds)}, nil
}
