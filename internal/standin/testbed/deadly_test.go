package testbed

import (
	"net"
	"testing"
	"time"
)

func startPlainEndpoint(t *testing.T) *Endpoint {
	t.Helper()
	env, err := New(Settings{PlainEndpoints: 1, HeartbeatInterval: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	return env.PlainEndpoints[0]
}

// TestCrashDuringKill guards against an endpoint that is started twice, once after a crash and once by who killed it meanwhile.
func TestCrashDuringKill(t *testing.T) {
	for name, crashFirst := range map[string]bool{"a crash, then a kill": true, "a kill, then a crash": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startPlainEndpoint(t)
			self := e.ID()
			serves := func() bool {
				c, err := net.DialTimeout("tcp", e.ListenAddress(), time.Second)
				if err == nil {
					_ = c.Close()
				}
				return err == nil
			}
			if crashFirst {
				go e.crash(self)
				time.Sleep(restartTime / 2)
			}
			e.Kill()
			if !crashFirst {
				go e.crash(self)
			}
			time.Sleep(restartTime + 300*time.Millisecond)
			if serves() {
				t.Error("the endpoint serves again before who killed it started it")
			}
			if err := e.Start(); err != nil {
				t.Error(err)
			}
			if !serves() {
				t.Error("the endpoint doesn't serve once it was started")
			}
		})
	}
}

// TestCrashRestarts guards against an endpoint that stays away after a crash.
func TestCrashRestarts(t *testing.T) {
	t.Parallel()
	e := startPlainEndpoint(t)
	before := e.ID()
	e.crash(before)
	if e.ID() == before {
		t.Error("the endpoint has not started again")
	}
}
