package http1

import (
	"cmp"
	"context"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestTransport guards against connections that aren't kept, and against a call that runs twice, or fails for nothing, because the peer closed its idle connection when the call was on its way.
func TestTransport(t *testing.T) {
	for _, tc := range []struct {
		method, body string
		keep         int
		// kept says that the second request comes on the first one's connection, which ends it
		// without an answer; answered says that the request is answered all the same.
		kept, answered bool
	}{
		{http.MethodGet, "", 2, true, true},
		{http.MethodPost, "x", 2, true, false},
		{http.MethodGet, "", 0, false, true},
		{http.MethodPost, "x", 0, false, true},
	} {
		var requests atomic.Int64
		addr, conns := serveEndpoint(t, func(r *http.Request, c net.Conn, n int64) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1); n == 1 && requests.Load() == 2 {
				return false
			}
			respond(c, "", "", "fine")
			return true
		})
		hc := &http.Client{Transport: NewTransport(TransportSettings{DialTimeout: time.Second, MaxIdlePerHost: tc.keep, IdleTimeout: time.Minute})}
		call := func() bool {
			req, err := http.NewRequestWithContext(t.Context(), tc.method, "http://"+addr+"/x", strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := hc.Do(req)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			return err == nil && string(data) == "fine"
		}
		if !call() {
			t.Fatalf("%s, %d kept: the first call failed", tc.method, tc.keep)
		}
		if got := call(); got != tc.answered {
			t.Errorf("%s, %d kept: answered %t, want %t", tc.method, tc.keep, got, tc.answered)
		}
		want := int64(2)
		if tc.kept && !tc.answered {
			want = 1
		}
		if conns.Load() != want {
			t.Errorf("%s, %d kept: %d connections, want %d", tc.method, tc.keep, conns.Load(), want)
		}
	}
}

// TestTransportTLS guards against peers with an https URL that can't be called, against a certificate that isn't checked, and against a call that fails because the peer closed its idle connection before.
func TestTransportTLS(t *testing.T) {
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }))
	defer srv.Close()
	call := func(hc *http.Client, method string) error {
		req, err := http.NewRequestWithContext(t.Context(), method, srv.URL+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := hc.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if data, err := io.ReadAll(resp.Body); err != nil || string(data) != "fine" {
			t.Errorf("%s: body %q, error %v", method, data, err)
		}
		return nil
	}
	roots := x509.NewCertPool()
	roots.AddCert(srv.Certificate())
	hc := &http.Client{Transport: NewTransport(TransportSettings{DialTimeout: time.Second, MaxIdlePerHost: 2, IdleTimeout: time.Minute, RootCAs: roots})}
	for n, method := range []string{http.MethodGet, http.MethodPost, http.MethodPost} {
		if n == 2 {
			srv.CloseClientConnections()
		}
		if err := call(hc, method); err != nil {
			t.Errorf("call %d, %s: %v", n, method, err)
		}
	}
	if err := call(&http.Client{Transport: NewTransport(TransportSettings{DialTimeout: time.Second})}, http.MethodGet); err == nil {
		t.Error("a certificate of an unknown authority is taken")
	}
}

// TestTransportDefaultPort guards against a URL without a port that can't be called.
func TestTransportDefaultPort(t *testing.T) {
	for url, want := range map[string]string{
		"http://a/x": "a:80", "https://a/x": "a:443", "http://[::1]/x": "[::1]:80", "http://a:81/x": "a:81", "https://[::1]:444/x": "[::1]:444",
	} {
		dialed := ""
		hc := &http.Client{Transport: NewTransport(TransportSettings{Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			dialed = address
			return nil, io.ErrClosedPipe
		}})}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := hc.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		if dialed != want {
			t.Errorf("%s: dialed %s, want %s", url, cmp.Or(dialed, "nothing"), want)
		}
	}
}
