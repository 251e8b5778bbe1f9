package rawsim

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// patience bounds how long a connection waits for a request.
const patience = 5 * time.Second

// Serve answers the first bytes of each connection with the same response, then closes it; it returns
// the address and stops with the test.
func Serve(t testing.TB, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(patience))
				if _, err := c.Read(make([]byte, 64<<10)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// MalformedHeads returns heads by their fault, each without the empty line that ends it, for a body of
// n bytes.
func MalformedHeads(n int) map[string]string {
	return map[string]string{
		"status 000, then a second": fmt.Sprintf("HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n", n),
		"status 000":                fmt.Sprintf("HTTP/1.1 000 OK\r\nContent-Length: %d\r\n", n),
		"status 600":                fmt.Sprintf("HTTP/1.1 600 OK\r\nContent-Length: %d\r\n", n),
		"blank in a name":           fmt.Sprintf("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: %d\r\n", n),
		"blank after a name":        fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n", n),
		"control byte in a name":    fmt.Sprintf("HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: %d\r\n", n),
		"control byte in a value":   fmt.Sprintf("HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: %d\r\n", n),
	}
}
