package bulk

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// readChunk is the number of bytes after which the time limit of a body is extended.
const readChunk = 32 << 10

var (
	// ErrTooLong is the error of a body that is longer than allowed.
	ErrTooLong = errors.New("the body is too long")
	// ErrStopped is the error of a response that didn't begin, or didn't go on, in time.
	ErrStopped = errors.New("the response did not begin, or did not go on, in time")
)

// Limits bound a call whose response has a body of unknown length.
type Limits struct {
	// Head is the longest time from the call's begin to the response's head.
	Head time.Duration
	// Stall is the longest time without further bytes of the body.
	Stall time.Duration
	// MinRate is the lowest rate of the whole body, in bytes a second.
	MinRate int
	// Bytes is the greatest length of the body.
	Bytes int
}

// Call is a call in progress.
type Call struct {
	limits Limits
	ctx    context.Context
	timer  *time.Timer
	headAt time.Time
	// onBytes is called for each part of the body that has arrived.
	onBytes func()
}

// New returns a call, the context to make it with, which ends with ErrStopped as its cause once a
// limit of time is passed, and a function that releases both; onBytes, which may be nil, is called
// for each part of the body that has arrived.
func New(ctx context.Context, limits Limits, onBytes func()) (context.Context, *Call, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if onBytes == nil {
		onBytes = func() {}
	}
	c := &Call{limits: limits, ctx: ctx, timer: time.AfterFunc(limits.Head, func() { cancel(ErrStopped) }), onBytes: onBytes}
	return ctx, c, func() {
		c.timer.Stop()
		cancel(nil)
	}
}

// Err returns ErrStopped for an error of the call that a limit of time has caused, and other
// errors as they are.
func (c *Call) Err(err error) error {
	if err != nil && errors.Is(context.Cause(c.ctx), ErrStopped) {
		return ErrStopped
	}
	return err
}

// extend takes the number of bytes of the body that have arrived.
func (c *Call) extend(n int) {
	earned := c.limits.Stall + time.Duration(n)*time.Second/time.Duration(c.limits.MinRate)
	c.timer.Reset(min(c.limits.Stall, earned-time.Since(c.headAt)))
}

// Read returns the body of the call's response, or what has arrived of it and an error.
func (c *Call) Read(resp *http.Response) ([]byte, error) {
	limit := c.limits.Bytes
	if resp.ContentLength > int64(limit) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, resp.ContentLength)
	}
	c.headAt = time.Now()
	c.extend(0)
	data := make([]byte, 0, max(int(resp.ContentLength), 0)+1)
	for {
		if len(data) == cap(data) {
			data = append(data, make([]byte, max(readChunk, len(data)/2))...)[:len(data)]
		}
		n, err := resp.Body.Read(data[len(data):min(cap(data), len(data)+readChunk)])
		data = data[:len(data)+n]
		if n > 0 {
			c.extend(len(data))
			c.onBytes()
		}
		switch {
		case len(data) > limit:
			return data, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, c.Err(err)
		}
	}
}
