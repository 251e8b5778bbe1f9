package agent

import (
	"encoding/json"
	"net/http"
	"testing"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/rawsim"
	"chervilhead/internal/state/fault"
)

// TestMalformedServiceAnswer guards against bytes that are no answer in the protocol and that an agent passes on as a service's answer.
func TestMalformedServiceAnswer(t *testing.T) {
	for name, head := range rawsim.MalformedHeads(2) {
		t.Run(name, func(t *testing.T) {
			addr := rawsim.Serve(t, head+"\r\nok and more")
			end := NewServiceBackend("s", "http://"+addr).run(t.Context(), wire.Start{HTTPRequest: &wire.HTTPRequest{Method: http.MethodGet, Path: "/x"}}, "", func(json.RawMessage) {})
			if end.Outcome == fault.OutcomeComplete || end.Outcome == fault.OutcomeNotRun {
				t.Errorf("outcome %s, want one of a call that may have run", end.Outcome)
			}
		})
	}
}
