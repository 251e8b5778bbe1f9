package cmds

import (
	"fmt"
	"io"
	"testing"

	"chervilhead/internal/standin/rawsim"
)

// TestMalformedAnswers guards against bytes that are no answer in the protocol and that a command prints as one.
func TestMalformedAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		args       func(address string) []string
	}{
		{"where", `{"gateway":"g1"}`, func(address string) []string {
			return []string{"where", "--gateway", address, "--host", "h", "--path", "/p"}
		}},
		{"table", `{"revision":1}`, func(address string) []string {
			return []string{"table", "show", "--admin", address, "--key", "operator"}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run := func(response string) error {
				cmd := New()
				cmd.SetOut(io.Discard)
				cmd.SetErr(io.Discard)
				cmd.SetArgs(tc.args(rawsim.Serve(t, response)))
				return cmd.ExecuteContext(t.Context())
			}
			if err := run(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(tc.body), tc.body)); err != nil {
				t.Fatalf("a sound answer: %v", err)
			}
			for name, head := range rawsim.MalformedHeads(len(tc.body)) {
				if err := run(head + "\r\n" + tc.body); err == nil {
					t.Errorf("%s: taken for an answer", name)
				}
			}
		})
	}
}
