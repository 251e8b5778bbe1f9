package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestWait guards against connections that are closed under a request, or just after a response that didn't say so, and against idle ones that keep a server from stopping.
func TestWait(t *testing.T) {
	const quiet = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		// busy is how long the request takes that begins before Wait, or zero if there is none, and
		// next the time after its response at which another one follows, or zero.
		busy, next time.Duration
		limit      time.Duration
		err        error
		min, max   time.Duration
	}{
		{"unused", 0, 0, time.Second, nil, quiet, 2 * quiet},
		{"running", 100 * time.Millisecond, 0, 2 * time.Second, nil, 100*time.Millisecond + quiet, 900 * time.Millisecond},
		{"next request at once", 100 * time.Millisecond, 20 * time.Millisecond, 2 * time.Second, nil, 200*time.Millisecond + quiet, time.Second},
		{"beyond the limit", time.Second, 0, 300 * time.Millisecond, context.DeadlineExceeded, 300 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			conns := New()
			srv := httptest.NewUnstartedServer(conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(tc.busy)
				_, _ = io.WriteString(w, "fine")
			})))
			srv.Config.ConnContext, srv.Config.ConnState = conns.Context, conns.Observe
			srv.Start()
			t.Cleanup(srv.Close)
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			answers := make(chan error, 1)
			if tc.busy > 0 {
				go func() { answers <- requests(c, tc.next) }()
			} else {
				answers <- nil
			}
			time.Sleep(20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
			defer cancel()
			began := time.Now()
			err = conns.Wait(ctx, quiet)
			if took := time.Since(began); !errors.Is(err, tc.err) || took < tc.min-50*time.Millisecond || took > tc.max {
				t.Errorf("ended after %v with %v; want %v after %v to %v", took, err, tc.err, tc.min, tc.max)
			}
			if err := <-answers; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestRequestOnClosedConnection guards against a request that is passed on although the connection on which it was read is being closed.
func TestRequestOnClosedConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	for _, tc := range []struct {
		state  http.ConnState
		passed bool
	}{{http.StateNew, false}, {http.StateIdle, false}, {http.StateActive, true}} {
		conns, passed := New(), false
		ctx := conns.Context(t.Context(), near)
		conns.Observe(near, tc.state)
		conns.closeQuiet(0)
		func() {
			defer func() {
				if r := recover(); r != nil && !errors.Is(r.(error), http.ErrAbortHandler) {
					t.Errorf("the handler panicked: %v", r)
				}
			}()
			conns.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true })).ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
		}()
		if passed != tc.passed {
			t.Errorf("%v: the request was passed on: %v, want %v", tc.state, passed, tc.passed)
		}
	}
}

// requests sends a request, and another one at a time after its response unless that is zero.
func requests(c net.Conn, next time.Duration) error {
	br := bufio.NewReader(c)
	for range 2 {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		if next == 0 {
			return nil
		}
		time.Sleep(next)
	}
	return nil
}
