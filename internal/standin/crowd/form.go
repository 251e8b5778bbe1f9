package crowd

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Form is how a client misbehaves.
type Form interface{ form() }

type (
	// Body is a request with a body.
	Body struct {
		// Announced is the length that the head announces, in bytes; 0 means that the body is chunked.
		Announced int64
		// Sent is the number of bytes of the body that are sent, Piece that of one write or chunk.
		Sent  int64
		Piece int
		// Pause is the time between two writes.
		Pause time.Duration
		// Ended says that a chunked body gets its end.
		Ended bool
	}
	// Head is a head of many short fields that is never finished; Bytes is its length so far.
	Head struct{ Bytes int }
	// Unread is a complete request without a body whose answer is never read.
	Unread struct{}
	// Silent is a connection on which nothing is sent.
	Silent struct{}
)

func (Body) form()   {}
func (Head) form()   {}
func (Unread) form() {}
func (Silent) form() {}

// writeTimeout bounds one write of a client; a peer that doesn't read blocks it.
const writeTimeout = 20 * time.Second

// batchBytes is how much of a body one write holds if its pieces are small.
const batchBytes = 64 << 10

// send sends what a form sends on a connection; head is the request line and the fields without
// those that tell the body's length.
func send(conn net.Conn, head string, f Form) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set the deadline of a write: %w", err)
	}
	switch f := f.(type) {
	case Silent:
		return nil
	case Unread:
		return write(conn, head+"\r\n")
	case Head:
		return write(conn, head+strings.Repeat("a:b\r\n", max(0, f.Bytes-len(head))/len("a:b\r\n")))
	case Body:
		return sendBody(conn, head, f)
	default:
		return fmt.Errorf("unknown form %T", f)
	}
}

func write(conn net.Conn, s string) error {
	_, err := io.WriteString(conn, s)
	return err
}

func sendBody(conn net.Conn, head string, f Body) error {
	framing := "Transfer-Encoding: chunked\r\n"
	if f.Announced > 0 {
		framing = "Content-Length: " + strconv.FormatInt(f.Announced, 10) + "\r\n"
	}
	if err := write(conn, head+framing+"\r\n"); err != nil {
		return err
	}
	piece := strings.Repeat("b", f.Piece)
	if f.Announced == 0 {
		piece = fmt.Sprintf("%x\r\n%s\r\n", f.Piece, piece)
	}
	batch := max(1, batchBytes/len(piece))
	if f.Pause > 0 {
		batch = 1
	}
	for left := f.Sent / int64(f.Piece); left > 0; left -= int64(batch) {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := write(conn, strings.Repeat(piece, int(min(left, int64(batch))))); err != nil {
			return err
		}
		time.Sleep(f.Pause)
	}
	if rest := f.Sent % int64(f.Piece); rest > 0 && f.Announced > 0 {
		if err := write(conn, strings.Repeat("b", int(rest))); err != nil {
			return err
		}
	}
	if f.Ended {
		return write(conn, "0\r\n\r\n")
	}
	return nil
}
