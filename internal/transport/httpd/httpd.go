package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chervilhead/internal/transport/guard"
)

const (
	// headerTimeout bounds how long a client may take to send the request header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a client may keep a connection without a request, and
	// maxHeaderBytes the header of a request, on a guarded address.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Server is an HTTP server on one listener.
type Server struct {
	srv *http.Server
	l   net.Listener
}

// Listen listens on a TCP address and serves h on it. It panics if the listener fails later.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address", address, err)
	}
	return serve(&http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}, l), nil
}

// ListenGuarded is like Listen for an address that clients reach who may not behave; g keeps them
// within their limits.
func ListenGuarded(address string, h http.Handler, g *guard.Guard) (*Server, error) {
	l, err := g.Listen(address)
	if err != nil {
		return nil, err
	}
	return serve(&http.Server{
		Handler: g.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ConnContext: g.Context, ConnState: g.Observe,
	}, l), nil
}

func serve(srv *http.Server, l net.Listener) *Server {
	s := &Server{srv: srv, l: l}
	go func() {
		if err := srv.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("serve %s: %v", l.Addr(), err))
		}
	}()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.l.Addr().String() }

// Drain stops accepting connections and waits until every request in flight has ended or
// ctx is done.
func (s *Server) Drain(ctx context.Context) error { return s.srv.Shutdown(ctx) }

// Close closes the listener and every connection at once.
func (s *Server) Close() { _ = s.srv.Close() }

// AbortResponse ends a response that has begun, so that what was sent can't pass for a complete
// one. It doesn't return.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// A plain close ends a body without chunks just as its end does; a reset doesn't.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

func resetConn(conn net.Conn) {
	if lc, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is gone; Close handles that too.
		_ = lc.SetLinger(0)
	}
	_ = conn.Close()
}

// RegisterHealthAndMetrics adds /healthz, /readyz and /metrics to a router; /readyz fails
// with status 503 unless ready returns true.
func RegisterHealthAndMetrics(r *mux.Router, ready func() bool, reg *prometheus.Registry) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	r.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
}
