package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// maxCalls bounds the calls of one connection that are served at once; further
// frames stay in the socket until one has ended.
const maxCalls = 1024

// writeTimeout ends a connection whose peer has stopped reading.
const writeTimeout = 10 * time.Second

// discard drops the library's own log lines: loggedCodec logs why a connection ends.
var discard = stdlog.New(io.Discard, "", 0)

// Handler serves the calls and notifications of one process. A notification's
// result is ignored. Notifications of one connection arrive in order.
type Handler interface {
	Serve(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
}

// ChunkHandler is a Handler that takes chunks, which travel outside JSON-RPC.
// They arrive in order with the notifications of their connection.
type ChunkHandler interface {
	HandleChunk(m wire.Chunk)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error) {
	return f(ctx, c, method, params)
}

// Conn is one connection to another process of the system.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream jsonrpc2.ObjectStream
	// Remote describes the other side; on accepted connections it is empty until the hello arrives.
	mu     sync.Mutex
	remote wire.Hello
	// watch acts on the document versions that messages carry; it may be nil.
	watch observer
	// active is the time of the latest bytes in either direction, in nanoseconds.
	active atomic.Int64
}

// NewConn runs the protocol over a network connection until either side closes it.
func NewConn(ctx context.Context, nc net.Conn, h Handler, log *logrus.Entry) *Conn {
	c := &Conn{}
	c.touch()
	codec := &loggedCodec{log: log.WithField("peer", nc.RemoteAddr().String())}
	if ch, ok := h.(ChunkHandler); ok {
		codec.OnChunk = ch.HandleChunk
	}
	c.watch, _ = h.(observer)
	c.stream = jsonrpc2.NewBufferedStream(&activeConn{Conn: nc, c: c}, codec)
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, c.stream, &adapter{c: c, h: h, ready: ready, calls: make(chan struct{}, maxCalls)},
		jsonrpc2.SetLogger(discard))
	close(ready)
	return c
}

// Call sends a request and decodes the reply into result.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	if err == nil {
		c.ObserveVersions(result)
	}
	var re *jsonrpc2.Error
	if errors.As(err, &re) && re.Data != nil {
		var fe fault.Error
		if json.Unmarshal(*re.Data, &fe) == nil && fe.Code != "" {
			return &fe
		}
	}
	return err
}

// Notify sends a notification; a chunk goes out in a frame of its own kind.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	if m, ok := params.(wire.Chunk); ok {
		return c.stream.WriteObject(&m)
	}
	return c.rpc.Notify(ctx, method, params)
}

// CallAsync sends a request without waiting and returns a function that waits for
// the reply.
func (c *Conn) CallAsync(ctx context.Context, method string, params any) (wait func(ctx context.Context, result any) error, err error) {
	w, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return nil, err
	}
	return w.Wait, nil
}

// Remote returns the hello of the other side.
func (c *Conn) Remote() wire.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remote
}

// SetRemote records the hello of the other side.
func (c *Conn) SetRemote(h wire.Hello) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remote = h
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// adapter runs calls on their own goroutines and notifications in order.
type adapter struct {
	c     *Conn
	h     Handler
	ready chan struct{}
	calls chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (a *adapter) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-a.ready
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		_, _ = a.h.Serve(ctx, a.c, req.Method, params)
		return
	}
	a.calls <- struct{}{}
	go func() {
		defer func() { <-a.calls }()
		res, err := a.h.Serve(ctx, a.c, req.Method, params)
		if err != nil {
			_ = rpc.ReplyWithError(ctx, req.ID, rpcError(err))
			return
		}
		_ = rpc.Reply(ctx, req.ID, res)
	}()
}

func rpcError(err error) *jsonrpc2.Error {
	fe := fault.As(err)
	re := &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	re.SetError(fe)
	return re
}

// Decode parses the parameters of a call.
func Decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, fault.New(fault.Invalid, "malformed_message", fmt.Sprintf("parameters do not decode: %v", err),
			"check that both processes run the same version")
	}
	return v, nil
}

// AcceptHello takes the hello of a process that has connected and returns the reply to it.
func AcceptHello(c *Conn, hello json.RawMessage, reply wire.HelloReply) (any, error) {
	h, err := Decode[wire.Hello](hello)
	if err != nil {
		return nil, err
	}
	c.SetRemote(h)
	c.ObserveVersions(h)
	return reply, nil
}

// UnknownMethod returns the error for an unknown method.
func UnknownMethod(method string) error {
	return fault.New(fault.Invalid, "unknown_method", fmt.Sprintf("method %q is not served here", method),
		"check that both processes run the same version")
}

// touch notes that the connection is in use.
func (c *Conn) touch() { c.active.Store(time.Now().UnixNano()) }

// idle returns the time since the connection was last in use.
func (c *Conn) idle() time.Duration { return time.Since(time.Unix(0, c.active.Load())) }

// activeConn bounds writes and notes when bytes pass.
type activeConn struct {
	net.Conn
	c *Conn
}

// Read implements net.Conn.
func (a *activeConn) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	a.c.touch()
	return n, err
}

// Write implements net.Conn.
func (a *activeConn) Write(b []byte) (int, error) {
	if err := a.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	a.c.touch()
	return a.Conn.Write(b)
}

// loggedCodec logs why a connection ends when that is not an ordinary close.
type loggedCodec struct {
	wire.Codec
	log *logrus.Entry
}

// ReadObject reads a frame and logs a malformed or oversized one.
func (l *loggedCodec) ReadObject(r *bufio.Reader, v any) error {
	err := l.Codec.ReadObject(r, v)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		l.log.WithError(err).Info("closing peer connection")
	}
	return err
}
