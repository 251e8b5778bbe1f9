package guard

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"chervilhead/internal/state/intake"
)

// Handler returns a handler that accounts for requests. An answer that begins before its request has
// ended closes the connection, once the client has had time to read it.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if p := c.currentPhase(); p == intake.Idle || p == intake.Fresh {
			// The head came with the request before.
			if c.begin() != nil {
				g.refuse(reasonHead)
				c.reply(http.StatusServiceUnavailable, "memory")
				panic(http.ErrAbortHandler)
			}
		}
		if r.ContentLength == 0 {
			if c.enter(intake.Running) != nil {
				// It was shed after its head had been read.
				c.reply(http.StatusServiceUnavailable, "memory")
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		g.serveBody(w, r, c, next)
	})
}

// serveBody serves a request with a body.
func (g *Guard) serveBody(w http.ResponseWriter, r *http.Request, c *conn, next http.Handler) {
	rc := http.NewResponseController(w)
	// Otherwise the server would read the rest of the body before it sends an answer.
	_ = rc.EnableFullDuplex()
	if c.currentPhase() == intake.Head && c.enter(intake.Body) != nil {
		c.reply(http.StatusServiceUnavailable, "memory")
		panic(http.ErrAbortHandler)
	}
	body := &trackedBody{ReadCloser: r.Body}
	r.Body = body
	rw := &earlyWriter{ResponseWriter: w, body: body, conn: c}
	next.ServeHTTP(rw, r)
	if body.ended.Load() {
		return
	}
	if !rw.begun {
		rw.WriteHeader(http.StatusOK)
	}
	_ = rc.Flush()
	// The server must not read on; what still comes is discarded once it has closed the connection.
	_ = c.SetReadDeadline(past)
	c.linger()
}

// trackedBody is a request's body that notices its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// earlyWriter announces the connection's end in an answer that begins before its request has ended.
type earlyWriter struct {
	http.ResponseWriter
	body  *trackedBody
	conn  *conn
	begun bool
}

// Unwrap is used by http.ResponseController.
func (w *earlyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *earlyWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		if !w.body.ended.Load() {
			w.Header().Set("Connection", "close")
			w.conn.refused.Store(true)
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *earlyWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
