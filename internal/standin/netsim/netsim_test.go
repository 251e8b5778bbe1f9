package netsim

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestHTTP guards against a network that net/http cannot use or on which the virtual clock
// does not advance.
func TestHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l, err := n.Listen("server:80")
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })}
		go srv.Serve(l)
		defer srv.Close()
		tr := n.Transport("client")
		defer tr.CloseIdleConnections()
		n.SetFault("client", "server:80", Fault{Delay: 5 * time.Millisecond})
		began := time.Now()
		for range 3 {
			resp, err := (&http.Client{Transport: tr}).Post("http://server:80/", "text/plain", strings.NewReader("hello"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if string(body) != "hello" || err != nil {
				t.Fatalf("got %q, error %v", body, err)
			}
		}
		if d := time.Since(began); d != 30*time.Millisecond {
			t.Fatalf("three round trips took %s of virtual time", d)
		}
	})
}

// TestFaults guards against links that deliver despite a reset, a blackhole or a refusal.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(n *Network)
		dial  error
		read  error
	}{
		{"healthy", func(*Network) {}, nil, nil},
		{"cut", func(n *Network) { n.ResetConnections("a", "b") }, nil, errReset},
		{"another link cut", func(n *Network) { n.ResetConnections("a", "c") }, nil, nil},
		{"silent", func(n *Network) { n.SetFault("", "b", Fault{Blackhole: true}) }, context.DeadlineExceeded, context.DeadlineExceeded},
		{"refuses", func(n *Network) { n.SetFault("a", "", Fault{Refuse: true}) }, errors.ErrUnsupported, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				l, _ := n.Listen("b")
				defer l.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go io.Copy(c, c)
					}
				}()
				c, err := n.Dialer("a")(ctx, "b")
				if err != nil {
					t.Fatal(err)
				}
				defer n.ResetConnections("", "")
				tc.fault(n)
				_, _ = c.Write([]byte("x"))
				_ = c.SetReadDeadline(time.Now().Add(time.Second))
				if _, err := c.Read(make([]byte, 1)); (err == nil) != (tc.read == nil) {
					t.Errorf("read: %v", err)
				}
				c2, err := n.Dialer("a")(ctx, "b")
				if (err == nil) != (tc.dial == nil) {
					t.Errorf("dial: %v", err)
				}
				if c2 != nil {
					c2.Close()
				}
				c.Close()
			})
		})
	}
}

// TestLateAndDuplicate guards against a network that loses the pending data of a broken
// connection, still lets its sender read or write, or duplicates a write at a wrong time.
func TestLateAndDuplicate(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault Fault
		late  time.Duration
		want  string
	}{
		{"repeated", Fault{Delay: time.Millisecond, DuplicateAfter: 5 * time.Millisecond}, 0, "2ms:1 2ms:2 6ms:1 7ms:2"},
		{"broken", Fault{Delay: 5 * time.Millisecond}, time.Second, "1.002s:1 1.002s:2 2.002s:EOF"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				l, _ := n.Listen("b")
				defer l.Close()
				near, far := connect(t, n, l)
				defer n.ResetConnections("", "")
				n.SetFault("a", "b", tc.fault)
				began := time.Now()
				for _, s := range []string{"1", "2"} {
					_, _ = near.Write([]byte(s))
					time.Sleep(time.Millisecond)
				}
				if tc.late > 0 {
					n.DisconnectDialers("a", "b", tc.late)
					if _, err := near.Read(make([]byte, 1)); err == nil {
						t.Error("the broken connection still reads")
					}
					if _, err := near.Write([]byte("3")); err == nil {
						t.Error("the broken connection still writes")
					}
				}
				var got []string
				for range strings.Fields(tc.want) {
					b := make([]byte, 1)
					text := "EOF"
					if _, err := far.Read(b); err == nil {
						text = string(b)
					}
					got = append(got, time.Since(began).String()+":"+text)
				}
				if s := strings.Join(got, " "); s != tc.want {
					t.Errorf("got %s, not %s", s, tc.want)
				}
			})
		})
	}
}

// connect opens a connection from host a to address b and returns both ends.
func connect(t *testing.T, n *Network, l net.Listener) (near, far net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	near, err := n.Dialer("a")(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	return near, <-accepted
}
