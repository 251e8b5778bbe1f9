package entry

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"chervilhead/internal/protocol/wire"
)

// TestServiceHeadOfAgent guards against a status or a field name that is none in the protocol, and that an agent passes on as the head of an answer.
func TestServiceHeadOfAgent(t *testing.T) {
	for name, head := range map[string]wire.HTTPResponseHead{
		"status 0":               {Status: 0},
		"status 99":              {Status: 99},
		"an interim status":      {Status: 101},
		"status 600":             {Status: 600},
		"blank in a name":        {Status: 200, Header: map[string][]string{"X Y": {"1"}}},
		"control byte in a name": {Status: 200, Header: map[string][]string{"X\x01Y": {"1"}}},
		"no name":                {Status: 200, Header: map[string][]string{"": {"1"}}},
		"line end in a value":    {Status: 200, Header: map[string][]string{"X": {"1\r\nY: 2"}}},
	} {
		t.Run(name, func(t *testing.T) {
			item, err := json.Marshal(head)
			if err != nil {
				t.Fatal(err)
			}
			out := &serviceWriter{w: httptest.NewRecorder()}
			if err := out.write([]json.RawMessage{item}); err == nil || out.head != nil {
				t.Errorf("error %v, head %+v; want an error and no head", err, out.head)
			}
		})
	}
	out := &serviceWriter{w: httptest.NewRecorder()}
	if err := out.write([]json.RawMessage{[]byte(`{"status":200,"header":{"X-Y":["a\tb"]}}`)}); err != nil || out.head == nil {
		t.Errorf("a sound head: error %v", err)
	}
}
