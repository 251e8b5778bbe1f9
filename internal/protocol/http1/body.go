package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
)

// body is the body of a response. It returns io.EOF only once the body is whole.
type body struct {
	c    *conn
	br   *bufio.Reader
	resp *http.Response
	// left is the number of bytes that are still to come, of a body with a length.
	left int64
	// chunks is nil unless the body is chunked.
	chunks io.Reader
	// uploaded returns an error if the request could not be written because the connection broke.
	uploaded func() error
	err      error
}

// newBody returns the body that follows a response's head.
func newBody(c *conn, resp *http.Response, uploaded func() error) *body {
	b := &body{c: c, br: c.br, resp: resp, uploaded: uploaded}
	switch FramingOf(resp) {
	case FramingLength:
		b.left = resp.ContentLength
		if resp.Request.Method == http.MethodHead {
			b.left = 0
		}
	case FramingChunked:
		b.chunks = httputil.NewChunkedReader(c.br)
	case FramingConnection:
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	var n int
	switch FramingOf(b.resp) {
	case FramingLength:
		n, b.err = b.readLength(p)
	case FramingChunked:
		n, b.err = b.chunks.Read(p)
		if errors.Is(b.err, io.EOF) {
			b.err = b.readTrailer()
		}
	case FramingConnection:
		n, b.err = b.br.Read(p)
		if errors.Is(b.err, io.EOF) {
			b.err = b.endOfConnection()
		}
	}
	return n, b.err
}

func (b *body) readLength(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// readTrailer reads what follows the last chunk.
func (b *body) readTrailer() error {
	b.c.headBytesLeft = maxHeadBytes
	trailer, err := readFields(b.br)
	b.c.headBytesLeft = unlimited
	if err != nil {
		return err
	}
	if len(trailer) > 0 {
		b.resp.Trailer = trailer
	}
	return io.EOF
}

// endOfConnection returns io.EOF if the end of the connection is the end of the body. The kernel
// reports a reset once, and the goroutine that writes the request may have got the report.
func (b *body) endOfConnection() error {
	if err := b.uploaded(); err != nil {
		return fmt.Errorf("%w: the connection broke while the request was written: %w", io.ErrUnexpectedEOF, err)
	}
	return io.EOF
}
