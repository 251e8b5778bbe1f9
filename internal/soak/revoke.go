package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"chervilhead/internal/standin/testbed"
	"chervilhead/platform/stub"
)

const (
	// revokeProbes is the number of callers that use a removed key at one gateway, probeInterval the
	// pause between the requests of each.
	revokeProbes  = 3
	probeInterval = 50 * time.Millisecond
	// probeAfter is how long callers go on after the gateway is well again.
	probeAfter = time.Second
)

// revokeKey removes a key while a gateway is frozen, or it or all of them don't reach the store,
// for longer than a removed key may be used, and uses the key at that gateway.
func (s *soak) revokeKey(e faultEvent) {
	i := e.target % len(s.gateways)
	g := s.gateways[i]
	if !s.reserve(&s.busyProcs, i) {
		return
	}
	defer s.release(&s.busyProcs, i)
	keys := s.env.Keys(s.groups[e.target%(len(s.groups)-1)])
	key := keys[e.variant/3%len(keys)]
	var revert func()
	switch e.variant % 3 {
	case 0:
		done := g.beginFault()
		g.signal(syscall.SIGSTOP)
		revert = func() {
			g.signal(syscall.SIGCONT)
			time.Sleep(resumeDelay)
			done()
		}
	case 1:
		// Each process has a listener of the store, the keepers before the gateways.
		revert = s.cutStore(s.storeListeners[len(s.keepers)+i])
	default:
		revert = s.cutStore(s.storeListeners...)
	}
	s.env.RemoveKey(key)
	var probes sync.WaitGroup
	wellAt := time.Now().Add(revokeTimeout + e.duration)
	for n := range revokeProbes {
		probes.Go(func() { s.useRemovedKey(g, key, uint64(e.variant+n), wellAt.Add(probeAfter)) })
	}
	time.Sleep(time.Until(wellAt))
	revert()
	probes.Wait()
}

// cutStore leaves calls at listeners of the store without a reply until the returned function is
// called.
func (s *soak) cutStore(listeners ...*stub.Listener) (revert func()) {
	done := s.recordFault(&s.storeFaults)
	for _, l := range listeners {
		l.SetFault(stub.FaultNoReply)
	}
	return func() {
		for _, l := range listeners {
			l.SetFault(stub.NoFault)
		}
		done()
	}
}

// useRemovedKey sends requests with a key to a gateway, one after another.
func (s *soak) useRemovedKey(g *proc, key string, stream uint64, end time.Time) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, stream))
	c := testbed.NewClient(s.env.Checker)
	defer c.Close()
	for time.Now().Before(end) {
		req := s.randomRequest(r)
		req.Gateway, req.Keys = g.callers, []string{key}
		sentAt := time.Now()
		s.checkResult(g, req, c.Do(req), sentAt)
		time.Sleep(probeInterval)
	}
}
