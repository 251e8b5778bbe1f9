package agent

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// TestServiceStreamCutInsideEvent guards against a service's stream that was broken off and ends as a complete answer.
func TestServiceStreamCutInsideEvent(t *testing.T) {
	for _, tc := range []struct {
		contentType, body string
		outcome           fault.Outcome
	}{
		{"text/event-stream", "data: 1\n\ndata: 2\n\n", fault.OutcomeComplete},
		{"text/event-stream; charset=utf-8", "data: 1\n\ndata: 2\n", fault.OutcomeFailed},
		{"text/event-stream", "data: 1\n\nda", fault.OutcomeFailed},
		{"text/event-stream", "", fault.OutcomeFailed},
		{"text/plain", "da", fault.OutcomeComplete},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", tc.contentType, tc.body)
		}))
		defer srv.Close()
		b := NewServiceBackend("desk", srv.URL).WithDial((&net.Dialer{}).DialContext)
		var got []byte
		end := b.run(t.Context(), wire.Start{HTTPRequest: &wire.HTTPRequest{Method: http.MethodGet, Path: "/"}}, "", func(item json.RawMessage) {
			var piece []byte
			if json.Unmarshal(item, &piece) == nil {
				got = append(got, piece...)
			}
		})
		if end.Outcome != tc.outcome || string(got) != tc.body {
			t.Errorf("%s %q: outcome %s, got %q; want %s", tc.contentType, tc.body, end.Outcome, got, tc.outcome)
		}
	}
}
