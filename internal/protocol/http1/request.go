package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Stage is how far a failed request got.
type Stage uint8

// The stages of a failed request.
const (
	// Unsent means that no byte was sent to the endpoint.
	Unsent Stage = iota
	// Sent means that the endpoint may have run the request.
	Sent
	// ResponseStarted means that the response began.
	ResponseStarted
)

// Error is the failure of a request.
type Error struct {
	Stage Stage
	// Reused is set when the request was sent on a connection from the pool, and Stale if that
	// connection ended before a byte of a response.
	Reused, Stale bool
	Cause         error
}

func (e *Error) Error() string {
	return fmt.Sprintf("request failed (%s): %v", [...]string{"not sent", "sent", "response started"}[e.Stage], e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var errUnrelatedResponses = errors.New("the responses on the connection belong to other requests")

// Request is a request to an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	// Body holds the parts of the body in order.
	Body [][]byte
	// Trailer holds the trailer fields, if there are any.
	Trailer http.Header
	// IDHeader is the header field that an endpoint echoes in its response; ID is its value. Without
	// a name the first response is taken.
	IDHeader, ID string
	// BeforeSend, if set, is called once there is a connection; its error keeps the request from
	// being sent.
	BeforeSend func() error
	// Reserve, if set, is called before the response's head or trailer takes the memory of an unusually
	// long one; its error ends the request.
	Reserve func(bytes int64) error
	// OnHead, if set, is called with the head of each response that is read, also of interim ones
	// and of those to other requests.
	OnHead func(status int, header http.Header)
	// DialTimeout bounds the opening of a connection, in addition to the pool's timeout; 0 sets
	// no further bound.
	DialTimeout time.Duration
}

// Response is a response whose header has been read; the caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length in bytes, or -1 if it is unknown.
	ContentLength int64
	// Framing is what ends the body.
	Framing Framing

	resp     *http.Response
	body     *body
	release  func(complete bool)
	complete bool
}

// Framing is what ends a response's body.
type Framing uint8

// The framings of a body.
const (
	FramingLength Framing = iota
	FramingChunked
	// FramingConnection means that the end of the connection ends the body, so that a body that
	// was cut off can look complete.
	FramingConnection
)

// String returns the framing's name in logs.
func (f Framing) String() string {
	return [...]string{"length", "chunked", "connection"}[f]
}

// FramingOf returns what ends the body of a response.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Request != nil && resp.Request.Method == http.MethodHead:
		return FramingLength
	case len(resp.TransferEncoding) > 0 || resp.Uncompressed:
		return FramingChunked
	default:
		return FramingConnection
	}
}

// Trailer returns the trailer fields once the body has been read whole.
func (r *Response) Trailer() http.Header { return r.resp.Trailer }

// Read reads the body; io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close returns the connection to the pool, or closes it if the body was not read whole.
func (r *Response) Close() {
	if r.release != nil {
		r.release(r.complete)
		r.release = nil
	}
}

const (
	// maxResponses bounds the responses, informational ones included, that are read to find
	// the one to a request.
	maxResponses = 3
	// inlineBodyBytes is the size up to which a body is written before the response is read.
	// To a longer body an endpoint may respond before it has read all of it.
	inlineBodyBytes = 2048
)

// Do sends a request to an address and returns the response to it; a failure is an *Error.
// Idle connections are kept by key, which identifies the endpoint's incarnation, so that none
// is used for the next owner of the address.
func (p *Pool) Do(ctx context.Context, key, addr string, req *Request) (*Response, error) {
	c := p.get(key, time.Now())
	reused := c != nil
	if c == nil {
		nc, err := p.dialWithin(ctx, addr, req.DialTimeout)
		if err != nil {
			return nil, &Error{Stage: Unsent, Cause: err}
		}
		c = newConn(nc)
		if p.idleTimeout > 0 {
			c.idleTimeout = p.idleTimeout
		}
	}
	c.read, c.reserve = 0, req.Reserve
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			p.put(key, c, time.Now())
			return nil, &Error{Stage: Unsent, Reused: reused, Cause: err}
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	fail := func(stage Stage, err error) (*Response, error) {
		stop()
		c.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Stage: stage, Reused: reused, Stale: reused && c.read == 0, Cause: err}
	}
	up := &upload{c: c, done: make(chan struct{})}
	length := req.bodyLength()
	bufs := encodeRequest(req, length)
	if length <= inlineBodyBytes {
		if n, err := c.Write(slices.Concat(bufs...)); err != nil {
			if n == 0 && !reused {
				return fail(Unsent, err)
			}
			return fail(Sent, err)
		}
		close(up.done)
	} else {
		go func() {
			_, up.err = bufs.WriteTo(c.Conn)
			// A failed write shows in the read of the response.
			close(up.done)
		}()
	}
	resp, err := readResponse(c, req) //nolint:bodyclose // Response.Close ends the body with its connection.
	if err != nil {
		return fail(Sent, err)
	}
	c.applyKeepAlive(resp.Header)
	out := &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, resp: resp, body: newBody(c, resp, up.stop)}
	out.Framing = FramingOf(resp)
	out.release = func(complete bool) {
		canceled := !stop()
		if complete && !canceled && !resp.Close && up.whole() && c.br.Buffered() == 0 {
			p.put(key, c, time.Now())
			return
		}
		c.abort()
	}
	return out, nil
}

// readResponse reads responses until the one with the request's id. It bounds what it reads
// of anything else, because a faulty endpoint may send bytes without end.
func readResponse(c *conn, req *Request) (*http.Response, error) {
	for range maxResponses {
		c.headBytesLeft = maxHeadBytes
		resp, err := readHead(c.br, req.Method)
		if err != nil {
			return nil, err
		}
		c.headBytesLeft = unlimited
		if req.OnHead != nil {
			req.OnHead(resp.StatusCode, resp.Header)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.IDHeader == "" {
			return resp, nil
		}
		got := resp.Header.Get(req.IDHeader)
		if got == req.ID {
			return resp, nil
		}
		if got == "" {
			return nil, fmt.Errorf("%w: a response with status %d names no request", errUnrelatedResponses, resp.StatusCode)
		}
		switch _, err := io.CopyN(io.Discard, newBody(c, resp, noUpload), maxUnrelatedBytes); {
		case err == nil:
			return nil, fmt.Errorf("%w, one of them with over %d bytes", errUnrelatedResponses, maxUnrelatedBytes)
		case !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return nil, errUnrelatedResponses
}

// noUpload stands for the upload of a response that belongs to no request in progress.
func noUpload() error { return nil }

// bodyLength returns the length of the request's body in bytes.
func (r *Request) bodyLength() int {
	n := 0
	for _, b := range r.Body {
		n += len(b)
	}
	return n
}

// encodeRequest returns the request as it is sent; a body with trailer fields is one chunk.
func encodeRequest(req *Request, length int) net.Buffers {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		// A bytes.Buffer returns no error.
		return nil
	}
	var end []byte
	switch {
	case len(req.Trailer) > 0:
		// Trailer fields require chunked encoding.
		fmt.Fprintf(&b, "Trailer: %s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Join(slices.Sorted(maps.Keys(req.Trailer)), ", "))
		end = encodeTrailer(req.Trailer, length > 0)
		if length > 0 {
			fmt.Fprintf(&b, "%x\r\n", length)
		}
	case length > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", length)
	default:
		b.WriteString("\r\n")
	}
	return append(append(net.Buffers{b.Bytes()}, req.Body...), end)
}

// encodeTrailer returns what follows the only chunk of a body, or stands for a body without one.
func encodeTrailer(trailer http.Header, afterChunk bool) []byte {
	var b bytes.Buffer
	if afterChunk {
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n")
	if err := trailer.Write(&b); err != nil {
		// A bytes.Buffer returns no error.
		return nil
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
