package http1

import (
	"bufio"
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
	"sync/atomic"
	"time"
)

// Stage says how far a request got that has no answer.
type Stage uint8

// The stages of a request.
const (
	// Unsent means that no byte reached the endpoint.
	Unsent Stage = iota
	// Sent means that the endpoint may have run the request.
	Sent
	// ResponseStarted means that the answer began.
	ResponseStarted
)

// Error is a request without a whole answer.
type Error struct {
	Stage Stage
	// Reused is set when the request went out on a connection that had been idle.
	Reused bool
	Cause  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("request failed (%s): %v", [...]string{"not sent", "sent", "answer begun"}[e.Stage], e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// errForeign means that too many answers on a connection belong to other requests.
var errForeign = errors.New("the answers on the connection belong to other requests")

// Request is a request to an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Trailer holds the fields after the body, if there are any.
	Trailer http.Header
	// IDHeader names the header field that an endpoint echoes; ID is its value.
	IDHeader, ID string
}

// Response is the beginning of an answer; Close must be called.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length, or -1.
	ContentLength int64
	// CloseDelimited is set when only the end of the connection ends the body.
	CloseDelimited bool

	resp *http.Response
	done func(whole bool)
	read bool
}

// Trailer returns the fields after the body once it has been read whole.
func (r *Response) Trailer() http.Header { return r.resp.Trailer }

// Read reads the body; io.EOF means that it is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.resp.Body.Read(p)
	if err == io.EOF {
		r.read = true
	}
	return n, err
}

// Close ends the answer; a connection whose answer was not read whole is closed.
func (r *Response) Close() {
	if r.done != nil {
		r.done(r.read)
		r.done = nil
	}
}

const (
	// maxForeign bounds the answers of other requests that are skipped on a connection.
	maxForeign = 3
	// inlineBody is the size of a body in bytes that is written before the answer is
	// read. An endpoint may answer a longer one before it has read it.
	inlineBody = 2048
)

// Do sends a request to an address. The connections are kept under key, which names the
// endpoint's incarnation, so that none is used for the next owner of an address.
func (p *Pool) Do(ctx context.Context, key, addr string, req *Request) (*Response, error) {
	c := p.take(key, time.Now())
	kept := c != nil
	if c == nil {
		nc, err := p.dial(ctx, addr)
		if err != nil {
			return nil, &Error{Stage: Unsent, Cause: err}
		}
		c = newConn(nc)
	}
	stop := context.AfterFunc(ctx, c.drop)
	fail := func(stage Stage, err error) (*Response, error) {
		stop()
		c.drop()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Stage: stage, Reused: kept, Cause: err}
	}
	var written atomic.Bool
	head, body := head(req), body(req)
	if len(body) <= inlineBody {
		if n, err := c.Write(append(head, body...)); err != nil {
			if n == 0 && !kept {
				return fail(Unsent, err)
			}
			return fail(Sent, err)
		}
		written.Store(true)
	} else {
		go func() {
			bufs := net.Buffers{head, body}
			if _, err := bufs.WriteTo(c.Conn); err == nil {
				written.Store(true)
			}
			// A failed write shows in the read of the answer.
		}()
	}
	resp, err := readHead(c.br, req) //nolint:bodyclose // Response.Close ends the body with its connection.
	if err != nil {
		return fail(Sent, err)
	}
	c.noteKeepAlive(resp.Header)
	out := &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, resp: resp}
	out.CloseDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	out.done = func(whole bool) {
		ended := !stop()
		if whole && !ended && !resp.Close && written.Load() && c.br.Buffered() == 0 {
			p.put(key, c, time.Now())
			return
		}
		c.drop()
	}
	return out, nil
}

// readHead reads answers until the one to the request.
func readHead(br *bufio.Reader, req *Request) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxForeign {
		resp, err := http.ReadResponse(br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		got := resp.Header.Get(req.IDHeader)
		if got == req.ID {
			return resp, nil
		}
		if got == "" {
			return nil, fmt.Errorf("%w: an answer with status %d names no request", errForeign, resp.StatusCode)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

func head(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + inlineBody)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		// A bytes.Buffer returns no error.
		return nil
	}
	switch {
	case len(req.Trailer) > 0:
		// Fields can follow a body only in chunks.
		fmt.Fprintf(&b, "Trailer: %s\r\nTransfer-Encoding: chunked\r\n", strings.Join(slices.Sorted(maps.Keys(req.Trailer)), ", "))
	case len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// body returns the body as it is sent.
func body(req *Request) []byte {
	if len(req.Trailer) == 0 {
		return req.Body
	}
	var b bytes.Buffer
	if len(req.Body) > 0 {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(req.Body), req.Body)
	}
	b.WriteString("0\r\n")
	if err := req.Trailer.Write(&b); err != nil {
		// A bytes.Buffer returns no error.
		return nil
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
