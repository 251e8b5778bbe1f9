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

// maxCalls bounds the calls of one connection that run at once. Further frames stay
// in the socket until a call has ended.
const maxCalls = 1024

// writeTimeout bounds each write, so that a connection fails when its peer has stopped reading.
const writeTimeout = 10 * time.Second

// discardLog drops the log lines of the jsonrpc2 library; loggingCodec logs why a connection ends.
var discardLog = stdlog.New(io.Discard, "", 0)

// Handler serves the calls and notifications that a process receives. Calls of one
// connection run concurrently; its notifications run in order, and their results are ignored.
type Handler interface {
	Serve(ctx context.Context, c *Conn, method string, params json.RawMessage) (any, error)
}

// ChunkHandler is implemented by a Handler that receives stream chunks, which travel in
// frames outside JSON-RPC, in order with the notifications of their connection.
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
	mu     sync.Mutex
	// remote describes the other side; on accepted connections it is empty until the hello arrives.
	remote wire.Hello
	// observer receives the document versions that messages carry; it may be nil.
	observer versionObserver
	// lastActive is the Unix time at which bytes last passed or the pool last handed the
	// connection out, in nanoseconds.
	lastActive atomic.Int64
}

// NewConn serves h over a network connection until either side closes it.
func NewConn(ctx context.Context, nc net.Conn, h Handler, log *logrus.Entry) *Conn {
	c := &Conn{}
	c.markActive()
	codec := &loggingCodec{log: log.WithField("peer", nc.RemoteAddr().String())}
	if ch, ok := h.(ChunkHandler); ok {
		codec.OnChunk = ch.HandleChunk
	}
	c.observer, _ = h.(versionObserver)
	c.stream = jsonrpc2.NewBufferedStream(&trackedConn{Conn: nc, c: c}, codec)
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, c.stream, &rpcHandler{c: c, h: h, ready: ready, callSem: make(chan struct{}, maxCalls)},
		jsonrpc2.SetLogger(discardLog))
	close(ready)
	return c
}

// Call sends a request and decodes the reply into result. It returns a *fault.Error
// when the other side replied with one.
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

// Notify sends a notification. A wire.Chunk is sent as a chunk frame instead, and
// method is ignored.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	if m, ok := params.(wire.Chunk); ok {
		return c.stream.WriteObject(&m)
	}
	return c.rpc.Notify(ctx, method, params)
}

// CallAsync sends a request and returns a function that waits for the reply.
func (c *Conn) CallAsync(ctx context.Context, method string, params any) (wait func(ctx context.Context, result any) error, err error) {
	waiter, err := c.rpc.DispatchCall(ctx, method, params)
	if err != nil {
		return nil, err
	}
	return waiter.Wait, nil
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

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the connection.
func (c *Conn) Close() { _ = c.rpc.Close() }

// rpcHandler implements jsonrpc2.Handler: it runs each call on its own goroutine and
// notifications in order.
type rpcHandler struct {
	c       *Conn
	h       Handler
	ready   chan struct{}
	callSem chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (a *rpcHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-a.ready
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		_, _ = a.h.Serve(ctx, a.c, req.Method, params)
		return
	}
	a.callSem <- struct{}{}
	go func() {
		defer func() { <-a.callSem }()
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

// Decode parses the parameters of a call or notification; its error has the code malformed_message.
func Decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, fault.New(fault.Invalid, "malformed_message", fmt.Sprintf("cannot decode the parameters: %v", err),
			"check that both processes run the same version")
	}
	return v, nil
}

// AcceptHello records the hello of a process that has connected and returns reply.
func AcceptHello(c *Conn, hello json.RawMessage, reply wire.HelloReply) (any, error) {
	h, err := Decode[wire.Hello](hello)
	if err != nil {
		return nil, err
	}
	c.SetRemote(h)
	c.ObserveVersions(h)
	return reply, nil
}

// UnknownMethod returns the error for a method that the process does not serve.
func UnknownMethod(method string) error {
	return fault.New(fault.Invalid, "unknown_method", fmt.Sprintf("this process does not serve method %q", method),
		"check that both processes run the same version")
}

// markActive records that the connection is in use.
func (c *Conn) markActive() { c.lastActive.Store(time.Now().UnixNano()) }

// idle returns the time since the connection was last in use.
func (c *Conn) idleFor() time.Duration { return time.Since(time.Unix(0, c.lastActive.Load())) }

// trackedConn sets a deadline on each write and records when the connection was last used.
type trackedConn struct {
	net.Conn
	c *Conn
}

// Read implements net.Conn.
func (a *trackedConn) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	a.c.markActive()
	return n, err
}

// Write implements net.Conn.
func (a *trackedConn) Write(b []byte) (int, error) {
	if err := a.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	a.c.markActive()
	return a.Conn.Write(b)
}

// loggingCodec logs why a connection ends, except for an ordinary close.
type loggingCodec struct {
	wire.Codec
	log *logrus.Entry
}

// ReadObject reads a frame and logs an error that ends the connection.
func (l *loggingCodec) ReadObject(r *bufio.Reader, v any) error {
	err := l.Codec.ReadObject(r, v)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		l.log.WithError(err).Info("closing peer connection")
	}
	return err
}
