package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"chervilhead/internal/standin/testbed"
)

// TestCrashesWithoutKeepers guards against a request, or a part of prompts, that crashes further endpoints at each gateway, because the keepers that would tell the gateways of each other's crashes have ended or stand still.
func TestCrashesWithoutKeepers(t *testing.T) {
	t.Parallel()
	bin := build(t)
	// The platform's bounds: requests that reach endpoints later than calm after the third crash, or
	// the fifth of a part.
	const calm, maxLate, rounds = 3 * time.Second, 3, 10
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
		// after is the number of requests before the keepers are lost.
		after int
		part  bool
		// frozenPlanner is set if the gateway that plans stands still with them.
		frozenPlanner bool
	}{
		{name: "ended", signal: syscall.SIGKILL},
		{name: "standing still", signal: syscall.SIGSTOP},
		{name: "ended between the crashes", signal: syscall.SIGKILL, after: 2},
		{name: "a part, standing still", signal: syscall.SIGSTOP, after: 1, part: true},
		{name: "ended, with a gateway that stands still", signal: syscall.SIGKILL, frozenPlanner: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			takeTurn(t)
			s := losses[0].start(t, bin)
			blocking := 3
			if tc.part {
				s.env.SetDeadlyPart("dd")
				blocking = 5
			} else {
				s.env.SetDeadlyBody("deadly")
			}
			gateways := s.gateways
			for round := range rounds {
				if round == tc.after {
					for _, k := range s.keepers {
						k.signal(tc.signal)
					}
					if tc.frozenPlanner {
						// One of three; the planner is the first that takes the lease, mostly the first one.
						s.gateways[0].signal(syscall.SIGSTOP)
						gateways = s.gateways[1:]
					}
				}
				time.Sleep(restartPause)
				r := testbed.Request{Gateway: gateways[round%len(gateways)].callers, Route: s.env.Route("post"), Path: "x", Body: "deadly", Deadline: requestDeadline}
				if tc.part {
					r.Route, r.Model, r.Prompt, r.Body = s.env.Route("chat"), testbed.Models[round%2], fmt.Sprintf("aa:300,dd:30,n%d:20", round), fmt.Sprint("deadly", round)
				}
				c := testbed.NewClient(s.env.Checker)
				c.Do(r)
				c.Close()
			}
			crashes, late := s.env.Checker.Crashes(), 0
			for i, at := range crashes {
				if i >= blocking && at.Sub(crashes[blocking-1]) > calm {
					late++
				}
			}
			t.Logf("%d crashes in %d rounds, %d of them late", len(crashes), rounds, late)
			if len(crashes) == 0 || late > maxLate || len(crashes) > blocking+maxLate {
				t.Errorf("%d endpoints crashed, %d of them later than %v after crash number %d; %d are allowed", len(crashes), late, calm, blocking, maxLate)
			}
		})
	}
}
