package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// client is a caller that keeps one channel to a gateway for its requests.
type client struct {
	f    *fleet
	conn net.Conn
	br   *bufio.Reader
	// open is the channel of the newest stream.
	open atomic.Pointer[net.Conn]
	// served counts the answers on the channel.
	served int
}

// answer is how a request ended for its caller.
type answer struct {
	id     string
	sentAt time.Time
	status int
	reason string
	// kept is set if the channel had served a request before, closed if it ended without an answer.
	kept, closed bool
	overdue      bool
}

var requests atomic.Uint64

// sever breaks the channel of the newest stream, as a link that fails does.
func (c *client) sever() {
	if conn := c.open.Load(); conn != nil && *conn != nil {
		_ = (*conn).Close()
	}
}

// request is one request of a client.
type request struct {
	method, path string
	body         []byte
	// over is the time in which the body is sent.
	over     time.Duration
	deadline time.Duration
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.served = nil, 0
	}
}

// do sends a request to a gateway and waits for its answer.
func (c *client) do(g *proc, q request) answer {
	a := answer{id: fmt.Sprintf("%08x-%d", rand.Uint32(), requests.Add(1)), sentAt: time.Now()}
	if c.conn != nil && c.conn.RemoteAddr().String() != g.callers {
		c.drop()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", g.callers, time.Second)
		if err != nil {
			a.reason = "no channel"
			return a
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	a.kept = c.served > 0
	c.f.rec.add("%s sent to %s: %s %s (%d bytes)", a.id, g.name, q.method, q.path, len(q.body))
	defer func() {
		c.f.rec.add("%s answered: status %d %s", a.id, a.status, a.reason)
		if a.status == 0 {
			c.drop()
		}
	}()
	_ = c.conn.SetDeadline(a.sentAt.Add(q.deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", q.method, q.path, routeHost, headerID, a.id, headerDeadline, q.deadline.Milliseconds(), len(q.body))
	if err := c.send(append([]byte(head), q.body[:min(len(q.body), 1024)]...), q); err != nil {
		// The gateway may have answered and closed the channel before the end of the body.
		a.reason = "cut while it was sent"
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err != nil {
		return a.failed(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a.failed(err)
	}
	a.status, a.reason = resp.StatusCode, ""
	if resp.StatusCode >= http.StatusBadRequest {
		a.reason = string(body[:min(len(body), 60)])
	}
	c.served++
	if resp.Close {
		c.drop()
	}
	return a
}

func (a answer) failed(err error) answer {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.overdue, a.reason = true, "no answer in time"
		return a
	}
	a.closed, a.reason = true, "channel closed without an answer"
	return a
}

// send writes the head at once and the rest of the body evenly over a time.
func (c *client) send(head []byte, q request) error {
	const steps = 40
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	rest := q.body[min(len(q.body), 1024):]
	if q.over <= 0 {
		_, err := c.conn.Write(rest)
		return err
	}
	began := time.Now()
	for i := range steps {
		time.Sleep(time.Until(began.Add(q.over * time.Duration(i+1) / steps)))
		if _, err := c.conn.Write(rest[len(rest)*i/steps : len(rest)*(i+1)/steps]); err != nil {
			return err
		}
	}
	return nil
}
