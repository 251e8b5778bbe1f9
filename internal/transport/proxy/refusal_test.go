package proxy

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
)

// refusals are what an endpoint may write once more on a connection: refusals of earlier requests.
var refusals = map[string]string{
	"503":            "HTTP/1.1 503 X\r\nTest-Request: id-0\r\nTest-Signature: s\r\nTest-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
	"503 unsigned":   "HTTP/1.1 503 X\r\nTest-Request: id-0\r\nTest-Not-Run: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n",
	"503 without id": "HTTP/1.1 503 X\r\nTest-Signature: s\r\nTest-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
	"503 chunked":    "HTTP/1.1 503 X\r\nTest-Request: id-0\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	"503 unframed":   "HTTP/1.1 503 X\r\nTest-Request: id-0\r\nTest-Not-Run: 1\r\n\r\nfull",
	"421":            "HTTP/1.1 421 X\r\nTest-Request: id-0\r\nTest-Instance: other\r\nContent-Length: 0\r\n\r\n",
	"429":            "HTTP/1.1 429 X\r\nTest-Request: id-0\r\nTest-Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	"408 three":      strings.Repeat("HTTP/1.1 408 X\r\nTest-Request: id-0\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 3),
	"head cut off":   "HTTP/1.1 503 X\r\nTest-Request: id-0\r\nTest-Not-Run: 1\r\n",
}

// TestEarlierRefusal guards against a refusal of an earlier request that is taken for the answer to one that ran: its caller would be told that it didn't run, or it would run twice.
func TestEarlierRefusal(t *testing.T) {
	const framed, chunked, unframed = "length", "chunked", "connection"
	answer := func(c net.Conn, r *http.Request, framing, before, during string) {
		fmt.Fprint(c, before)
		head := fmt.Sprintf("HTTP/1.1 200 X\r\nTest-Request: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n", r.Header.Get("Test-Request"))
		one, two := event(1), event(2)
		switch framing {
		case framed:
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s%s", head, len(one+two), one, two)
		case chunked:
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
			writeChunk(c, one)
			fmt.Fprint(c, during)
			writeChunk(c, two)
			writeChunk(c, "")
		case unframed:
			fmt.Fprintf(c, "%s\r\n%s%s%s", head, one, during, two)
			_ = c.Close()
		}
	}
	for refusal, bytes := range refusals {
		for _, framing := range []string{framed, chunked, unframed} {
			for _, at := range []string{"before", "during", "after", "later"} {
				for _, kind := range []fleet.RouteKind{fleet.AtMostOnce, fleet.Stream} {
					if at == "during" && framing != chunked || at == "later" && framing == unframed {
						// Nothing tells these bytes from the body's, or there is no connection any more.
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%v", refusal, framing, at, kind), func(t *testing.T) {
						t.Parallel()
						var count atomic.Int64
						first := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
							requests := count.Add(1)
							switch {
							case at == "before" && requests == 1:
								answer(c, r, framing, bytes, "")
							case at == "during" && requests == 1:
								answer(c, r, framing, "", bytes)
							case at == "later" && requests == 2:
								// The bytes arrive after the next request was sent.
								answer(c, r, framing, bytes, "")
							default:
								answer(c, r, framing, "", "")
							}
							if at == "after" && requests == 1 {
								fmt.Fprint(c, bytes)
							}
						})
						second := startEndpoint(t, serveOK)
						g := startGateway(t, kind, false, first, second)
						for i := range 3 {
							a, err := g.do(t.Context(), t, "POST", "/a/x", map[string]string{"Test-Request": fmt.Sprint("id-", i+1)}, "p")
							if err == nil && slices.Contains([]int{408, 421, 429, 503}, a.status) {
								t.Errorf("request %d ran and is told %d, %q", i+1, a.status, a.body)
							}
							if a.status == http.StatusOK && (err == nil && a.body != event(1)+event(2) && a.body != "fine" || strings.Contains(a.body, "HTTP/1.1")) {
								t.Errorf("request %d got %q, error %v", i+1, a.body, err)
							}
							time.Sleep(2 * time.Millisecond)
						}
						if first.requests.Load()+second.requests.Load() > 3 {
							t.Errorf("%d and %d runs of three requests", first.requests.Load(), second.requests.Load())
						}
					})
				}
			}
		}
	}
}
