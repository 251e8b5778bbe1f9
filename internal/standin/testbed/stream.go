package testbed

import (
	"io"
	"net"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// streamWriter writes an engine's stream.
type streamWriter interface {
	// write sends one event; it returns false if the caller has gone.
	write(event string) bool
	// breakOff ends the stream before the event, or within it.
	breakOff(event string)
	// end ends what has not been broken off.
	end()
}

// unframedStreams is the number of streams of which one has neither a length nor chunks.
const unframedStreams = 4

// newStreamWriter returns a writer whose framing is a function of the request's id only.
func newStreamWriter(w http.ResponseWriter, id string) streamWriter {
	if xxhash.Sum64String("framing of "+id)%unframedStreams != 0 {
		return chunkedStream{w}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return chunkedStream{w}
	}
	out := &unframedStream{conn: conn}
	out.write("HTTP/1.1 200 OK\r\n")
	if err := w.Header().Write(conn); err != nil {
		return out
	}
	out.write("\r\n")
	return out
}

// chunkedStream ends with its last chunk.
type chunkedStream struct{ w http.ResponseWriter }

func (s chunkedStream) write(event string) bool {
	if _, err := io.WriteString(s.w, event); err != nil {
		return false
	}
	return http.NewResponseController(s.w).Flush() == nil
}

func (s chunkedStream) breakOff(string) { panic(http.ErrAbortHandler) }
func (s chunkedStream) end()            {}

// unframedStream ends with its connection, also when it is broken off.
type unframedStream struct{ conn net.Conn }

func (s *unframedStream) write(event string) bool {
	_, err := io.WriteString(s.conn, event)
	return err == nil
}

func (s *unframedStream) breakOff(event string) { s.write(event[:len(event)-1-len(event)/4]) }
func (s *unframedStream) end()                  { _ = s.conn.Close() }
