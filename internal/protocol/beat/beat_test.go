package beat

import (
	"reflect"
	"testing"
	"time"
)

var messages = []Message{
	&Ask{Gateway: "g", Endpoint: "e", Born: 7, Engine: 9, Used: []string{"m/a"}, Want: []string{"m/b"}, Move: &Move{Term: 1, ID: 2, Drop: []string{"x"}, Load: "y"}},
	&State{Address: "10.0.0.1:1", Endpoint: "e", Life: 3, Number: 4, Alive: true, Models: []Model{{Name: "m", Version: 1, Adapters: []string{"a"}}}, Gateways: 2},
	&Demand{Gateway: "g", Life: 1, Number: 2, Models: []ModelDemand{{Service: "s", Model: "m", Work: 0.5, Waiting: 1}}},
	&Seen{Store: 8, Endpoints: 1 << 63, Config: 3, ConfigAge: time.Second, Resigned: true},
}

func TestRoundTrip(t *testing.T) {
	for _, m := range messages {
		data, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v, want %+v, error %v", got, m, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := Decode(data); err == nil && m == nil {
			t.Fatal("no message and no error")
		}
	})
}
