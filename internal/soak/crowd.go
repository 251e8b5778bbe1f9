package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilhead/internal/standin/crowd"
	"chervilhead/internal/standin/testbed"
	"chervilhead/platform"
	"chervilhead/platform/stub"
)

const (
	// crowdMemoryMB is the memory of gateways beside clients that don't behave, so that a small crowd
	// reaches it.
	crowdMemoryMB = 110
	// crowdTime bounds the time for which a crowd of one form stays.
	crowdTime = 4 * time.Second
	// memoryInterval is the pause between two looks at the memory of a gateway.
	memoryInterval = 50 * time.Millisecond
	// longestBody is the limit of a body in the configuration.
	longestBody = 1 << 20
)

// crowdForms are the forms of clients that don't behave.
var crowdForms = []crowd.Form{
	crowd.Silent{},
	crowd.Unread{},
	crowd.Head{Bytes: 12 << 10},
	crowd.Body{Announced: longestBody, Sent: longestBody, Piece: 64 << 10},
	crowd.Body{Announced: longestBody, Sent: longestBody - 1, Piece: 64 << 10},
	crowd.Body{Announced: longestBody, Sent: longestBody - 1, Piece: 16 << 10, Pause: 20 * time.Millisecond},
	crowd.Body{Sent: longestBody - 64<<10, Piece: 64 << 10},
	crowd.Body{Sent: longestBody / 4, Piece: 16},
	crowd.Body{Sent: 8 * longestBody, Piece: 64 << 10},
	crowd.Body{Announced: 1 << 30, Sent: 4 * longestBody, Piece: 64 << 10},
}

// crowdGateway lets crowds of one form after another stay at a gateway.
func (s *soak) crowdGateway(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(5000+number)))
	g, names := s.gateways[number], platform.Headers()
	for ctx.Err() == nil {
		route := s.env.Route([]string{"get", "post", "chat"}[r.IntN(3)])
		path := route.Prefix + "s"
		if r.IntN(4) == 0 {
			path = "/nowhere/"
		}
		var mu sync.Mutex
		n := 0
		form := crowdForms[r.IntN(len(crowdForms))]
		head := func() string {
			mu.Lock()
			defer mu.Unlock()
			n++
			id := fmt.Sprintf("stranger-%d-%d-%d", number, n, time.Now().UnixNano())
			s.env.Checker.AddStranger(id, g.callers, http.MethodPost, path, route.Kind == stub.KindOnce, unfinished(form))
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", path, testbed.RouteHost, names.RequestID, id)
		}
		cctx, cancel := context.WithTimeout(ctx, crowdTime/4+time.Duration(r.Int64N(int64(crowdTime))))
		c := crowd.Start(cctx, crowd.Settings{Address: g.callers, Size: s.cfg.Strangers, Head: head, Form: form, Reconnect: r.IntN(2) == 0})
		<-cctx.Done()
		cancel()
		c.Close()
	}
}

// unfinished reports whether clients of a form never send the end of a request.
func unfinished(f crowd.Form) bool {
	b, ok := f.(crowd.Body)
	return ok && b.Sent < b.Announced || ok && b.Announced == 0 && !b.Ended
}

// watchMemory checks that a gateway stays within its memory.
func (s *soak) watchMemory(ctx context.Context, g *proc) {
	for wait(ctx, memoryInterval) == nil {
		g.mu.Lock()
		pid := 0
		if g.cmd != nil && g.cmd.Process != nil && !g.stopRequested {
			pid = g.cmd.Process.Pid
		}
		g.mu.Unlock()
		if pid == 0 {
			continue
		}
		if u, err := crowd.UsageOf(pid); err == nil && u.Memory() > crowdMemoryMB<<20 {
			s.env.Checker.AddViolation("FAULT", "%s takes %d MB, %d of them received and unread; its host has %d MB", g.name, u.Memory()>>20, u.Unread>>20, crowdMemoryMB)
			return
		}
	}
}

// gatewayMemoryMB is the memory of a gateway.
func (s *soak) gatewayMemoryMB() int64 {
	if s.cfg.Strangers > 0 {
		return crowdMemoryMB
	}
	return 200
}
