package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"chervilhead/internal/state/fleet"
)

// TestTrailers checks that trailers are forwarded in both directions, for buffered responses,
// for responses too long to buffer, and for streams.
func TestTrailers(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind fleet.RouteKind
		body string
	}{
		{"whole", fleet.AtMostOnce, "fine"},
		{"long", fleet.AtMostOnce, strings.Repeat("x", 2*maxBufferedBytes)},
		{"stream", fleet.Stream, "id: 1\ndata: x\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := make(chan http.Header, 1)
			e := startEndpoint(t, func(r *http.Request, _ string, c net.Conn) {
				got <- r.Trailer
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Request: %s\r\nTest-Signature: s\r\nTransfer-Encoding: chunked\r\nTrailer: X-After\r\n\r\n%x\r\n%s\r\n0\r\nX-After: answer\r\n\r\n", r.Header.Get("Test-Request"), len(tc.body), tc.body)
			})
			g := startGateway(t, tc.kind, false, e)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.URL+"/a/x", io.MultiReader(strings.NewReader("the body")))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "test.example"
			req.Header.Set("Test-Request", "r1")
			req.Header.Set("Test-Deadline", "500")
			req.Header.Set("Test-Model", "m")
			req.Trailer = http.Header{"X-After": {"request"}, "Test-Hold": {"forged"}}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != tc.body {
				t.Fatalf("got %d bytes, error %v", len(body), err)
			}
			if resp.Trailer.Get("X-After") != "answer" {
				t.Errorf("the client got the trailer %v", resp.Trailer)
			}
			if tr := <-got; tr.Get("X-After") != "request" || tr.Get("Test-Hold") != "" {
				t.Errorf("the endpoint got the trailer %v", tr)
			}
		})
	}
}
