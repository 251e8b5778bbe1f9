package http1

import (
	"errors"
	"os"
	"time"
)

// upload is the writing of a request's body beside the reading of its response.
type upload struct {
	c    *conn
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// whole reports whether the request has been written whole.
func (u *upload) whole() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// stop ends the writing and returns its error, or nil if it was only interrupted.
func (u *upload) stop() error {
	if err := u.c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-u.done
	if errors.Is(u.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return u.err
}
