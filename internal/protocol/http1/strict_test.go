package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestNoResponse guards against bytes that are no response in the protocol and pass for one.
func TestNoResponse(t *testing.T) {
	const id = "Test-Request: a\r\n"
	for name, response := range map[string]string{
		"status 000":                 "HTTP/1.1 000 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status 000, then a second":  "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status 099":                 "HTTP/1.1 099 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status 600":                 "HTTP/1.1 600 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status 999":                 "HTTP/1.1 999 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status with a sign":         "HTTP/1.1 +20 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status of another protocol": "HTTP/1.1 101 Switching Protocols\r\n" + id + "\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"two blanks before status":   "HTTP/1.1  200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"version":                    "HTTP/2.0 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"blank in a name":            "HTTP/1.1 200 OK\r\n" + id + "X Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after a name":         "HTTP/1.1 200 OK\r\n" + id + "Content-Length : 2\r\n\r\nok and more",
		"blank before a name":        "HTTP/1.1 200 OK\r\n" + id + "X: 1\r\n Content-Length: 2\r\n\r\nok",
		"blank before the first":     "HTTP/1.1 200 OK\r\n X: 1\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"control byte in a name":     "HTTP/1.1 200 OK\r\n" + id + "X\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"tab in a name":              "HTTP/1.1 200 OK\r\n" + id + "X\tY: 1\r\nContent-Length: 2\r\n\r\nok",
		"no name":                    "HTTP/1.1 200 OK\r\n" + id + ": 1\r\nContent-Length: 2\r\n\r\nok",
		"no colon":                   "HTTP/1.1 200 OK\r\n" + id + "X\r\nContent-Length: 2\r\n\r\nok",
		"byte above 127 in a name":   "HTTP/1.1 200 OK\r\n" + id + "X\xe9: 1\r\nContent-Length: 2\r\n\r\nok",
		"zero byte in a value":       "HTTP/1.1 200 OK\r\n" + id + "X: a\x00b\r\nContent-Length: 2\r\n\r\nok",
		"carriage return in a value": "HTTP/1.1 200 OK\r\n" + id + "X: a\rb\r\nContent-Length: 2\r\n\r\nok",
		"two lengths":                "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
		"length with a sign":         "HTTP/1.1 200 OK\r\n" + id + "Content-Length: +2\r\n\r\nok",
		"length and chunks":          "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"other coding":               "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in a trailer's name":  "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n2\r\nok\r\n0\r\nX A: 1\r\n\r\n",
		"chunks without their end":   "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serveEndpoint(t, func(_ *http.Request, c net.Conn, _ int64) bool {
				_, _ = io.WriteString(c, response)
				return false
			})
			if got, err := do(t, NewPool(time.Second), addr, "a", ""); err == nil {
				t.Errorf("the body %q counts as a response", got)
			} else if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("the error %v looks like a whole response", err)
			}
		})
	}
}

// TestLawfulResponse guards against a check that rejects what the protocol allows.
func TestLawfulResponse(t *testing.T) {
	const id = "Test-Request: a\r\n"
	for name, response := range map[string]string{
		"no reason":                   "HTTP/1.1 200\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"empty reason":                "HTTP/1.1 200 \r\n" + id + "Content-Length: 2\r\n\r\nok",
		"status 599":                  "HTTP/1.1 599 X\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.0":                    "HTTP/1.0 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"line feeds":                  "HTTP/1.1 200 OK\nTest-Request: a\nContent-Length: 2\n\nok",
		"tab and latin-1 in a value":  "HTTP/1.1 200 OK\r\n" + id + "X: a\tb\xe9 \r\nContent-Length: 2\r\n\r\nok",
		"empty value":                 "HTTP/1.1 200 OK\r\n" + id + "X:\r\nContent-Length:2\r\n\r\nok",
		"unusual name":                "HTTP/1.1 200 OK\r\n" + id + "!#$%&'*+-.^_`|~: 1\r\nContent-Length: 2\r\n\r\nok",
		"two equal lengths":           "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"chunks":                      "HTTP/1.1 200 OK\r\n" + id + "transfer-encoding: Chunked\r\n\r\n1;x=y\r\no\r\n1\r\nk\r\n0\r\n\r\n",
		"chunks and a trailer":        "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n\r\n",
		"an interim response":         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok",
		"the end of the connection":   "HTTP/1.1 200 OK\r\n" + id + "\r\nok",
		"more fields than one buffer": "HTTP/1.1 200 OK\r\n" + id + strings.Repeat("X-Field: "+strings.Repeat("a", 90)+"\r\n", 200) + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serveEndpoint(t, func(_ *http.Request, c net.Conn, _ int64) bool {
				_, _ = io.WriteString(c, response)
				return false
			})
			if got, err := do(t, NewPool(time.Second), addr, "a", ""); err != nil || got != "ok" {
				t.Errorf("body %q, error %v", got, err)
			}
		})
	}
}
