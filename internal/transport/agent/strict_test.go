package agent

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// TestMalformedServiceAnswer guards against bytes that are no answer in the protocol and that an agent passes on as a service's answer.
func TestMalformedServiceAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"status 600":              "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after a name":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value": "HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
			end := NewServiceBackend("s", "http://"+l.Addr().String()).run(t.Context(), wire.Start{HTTPRequest: &wire.HTTPRequest{Method: http.MethodGet, Path: "/x"}}, "", func(json.RawMessage) {})
			if end.Outcome == fault.OutcomeComplete || end.Outcome == fault.OutcomeNotRun {
				t.Errorf("outcome %s, want one of a call that may have run", end.Outcome)
			}
		})
	}
}
