package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"chervilhead/internal/state/fleet"
)

// cutHeads are heads of successful answers, each with the body that follows it.
var cutHeads = map[string]struct{ head, body string }{
	"length":            {"Content-Length: 4\r\n", "fine"},
	"empty":             {"Content-Length: 0\r\n", ""},
	"chunked":           {"Transfer-Encoding: chunked\r\n", "4\r\nfine\r\n0\r\n\r\n"},
	"connection":        {"", "fine"},
	"connection close":  {"Connection: close\r\n", "fine"},
	"length of stream":  {"Content-Type: text/event-stream\r\nContent-Length: 11\r\n", event(1)},
	"chunked stream":    {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event(1)), event(1))},
	"connection stream": {"Content-Type: text/event-stream\r\n", event(1)},
}

// TestHeadEndsEarly guards against an answer whose head ends early and that reaches the caller as a complete success.
func TestHeadEndsEarly(t *testing.T) {
	for name, answer := range cutHeads {
		for _, lineEnd := range []string{"\r\n", "\n"} {
			for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
				for _, route := range []struct {
					kind      fleet.RouteKind
					resumable bool
				}{{fleet.Idempotent, false}, {fleet.AtMostOnce, false}, {fleet.Stream, false}, {fleet.Stream, true}} {
					t.Run(fmt.Sprintf("%s/%q/interim %v/%v_%v", name, lineEnd, interim != "", route.kind, route.resumable), func(t *testing.T) {
						t.Parallel()
						head := interim + "HTTP/1.1 200 OK\r\nTest-Request: id-1\r\nTest-Signature: s\r\n" + answer.head + "\r\n"
						if lineEnd == "\n" {
							head = string(withoutCR(head))
						}
						for cut := range len(head) {
							g := startGateway(t, route.kind, route.resumable, startEndpoint(t, func(_ *http.Request, _ string, c net.Conn) {
								_, _ = io.WriteString(c, head[:cut])
								_ = c.Close()
							}))
							for _, method := range []string{http.MethodPost, http.MethodHead} {
								if a, err := g.do(t.Context(), t, method, "/a/x", nil, ""); err == nil && a.status < http.StatusBadRequest {
									t.Errorf("%s, cut after %q: the caller got %d %q", method, head[:cut], a.status, a.body)
								}
							}
							g.Close()
						}
					})
				}
			}
		}
	}
}

func withoutCR(s string) []byte {
	out := make([]byte, 0, len(s))
	for i := range len(s) {
		if s[i] != '\r' {
			out = append(out, s[i])
		}
	}
	return out
}
