package http1

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// TransportSettings configure a Transport.
type TransportSettings struct {
	// Dial opens a connection; nil opens one within DialTimeout, or without a limit of its own if
	// that is 0.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept if the peer states no time, and MaxIdlePerHost how
	// many are kept for one address. Without a number each request has a connection of its own.
	IdleTimeout    time.Duration
	MaxIdlePerHost int
	// RootCAs verify the certificates of peers with an https URL; nil takes the system's.
	RootCAs *x509.CertPool
}

// Transport is an http.RoundTripper for http and https URLs that reads responses as strictly as a
// Pool does. It neither decompresses bodies nor uses proxies.
type Transport struct {
	cfg        TransportSettings
	plain, tls *Pool
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport without connections.
func NewTransport(cfg TransportSettings) *Transport {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	pool := func(dial func(ctx context.Context, addr string) (net.Conn, error)) *Pool {
		return &Pool{dial: dial, perHost: max(0, cfg.MaxIdlePerHost), idleTimeout: cfg.IdleTimeout, idle: map[string][]*conn{}}
	}
	return &Transport{
		cfg:   cfg,
		plain: pool(func(ctx context.Context, addr string) (net.Conn, error) { return cfg.Dial(ctx, "tcp", addr) }),
		tls:   pool(cfg.dialTLS),
	}
}

// dialTLS opens a connection and verifies the peer's certificate.
func (cfg TransportSettings) dialTLS(ctx context.Context, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	if cfg.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cfg.DialTimeout)
		defer cancel()
	}
	raw, err := cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := tls.Client(raw, &tls.Config{ServerName: host, RootCAs: cfg.RootCAs, MinVersion: tls.VersionTLS12})
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

var errScheme = errors.New("the URL's scheme is neither http nor https")

// poolOf returns the pool for a URL and the address that it names.
func (t *Transport) poolOf(u *url.URL) (*Pool, string, error) {
	pool, port := t.plain, "80"
	switch u.Scheme {
	case "http":
	case "https":
		pool, port = t.tls, "443"
	default:
		return nil, "", fmt.Errorf("%w: %s", errScheme, u.Scheme)
	}
	return pool, net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), port)), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	pool, addr, err := t.poolOf(r.URL)
	if err != nil {
		return nil, err
	}
	req := &Request{Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Header: r.Header}
	if req.Method == "" {
		req.Method = http.MethodGet
	}
	if req.Host == "" {
		req.Host = r.URL.Host
	}
	if r.Body != nil {
		defer r.Body.Close()
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, fmt.Errorf("read the request's body: %w", err)
		}
		if len(data) > 0 {
			req.Body = [][]byte{data}
		}
	}
	if t.cfg.MaxIdlePerHost == 0 || r.Close {
		req.Header = r.Header.Clone()
		req.Header.Set("Connection", "close")
	}
	for {
		resp, err := pool.Do(r.Context(), addr, addr, req)
		var failed *Error
		switch {
		case err == nil:
			out := resp.resp
			out.Request = r
			out.Body = transportBody{r.Context(), resp}
			return out, nil
		case errors.As(err, &failed) && failed.Stale && r.Context().Err() == nil && repeatable(r):
			// The peer closed the idle connection while the request was on its way.
			continue
		default:
			return nil, err
		}
	}
}

// repeatable reports whether a request may be sent again when its idle connection turns out to be
// closed. A sender that marks a request with a key says so.
func repeatable(r *http.Request) bool {
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return r.Header.Get("Idempotency-Key") != ""
}

// transportBody is a response's body that gives its connection back.
type transportBody struct {
	ctx  context.Context
	resp *Response
}

// Read implements io.Reader.
func (b transportBody) Read(p []byte) (int, error) {
	n, err := b.resp.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && b.ctx.Err() != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close implements io.Closer.
func (b transportBody) Close() error {
	b.resp.Close()
	return nil
}
