package dgram

import (
	"reflect"
	"testing"
	"time"

	"chervilhead/internal/state/poison"
)

var messages = []Message{
	&KeeperRequest{Gateway: "g", Endpoint: "e", Incarnation: 7, EngineConfigHash: 9, UsedAdapters: []string{"m/a"}, WantedAdapters: []string{"m/b"}, Move: &Move{FencingToken: 1, ID: 2, Unload: []string{"x"}, Load: "y"}},
	&EndpointState{Address: "10.0.0.1:1", Endpoint: "e", KeeperIncarnation: 3, MessageSequence: 4, Alive: true, Models: []Model{{Name: "m", Version: 1, Adapters: []string{"a"}}}, Gateways: 2},
	&Demand{Gateway: "g", GatewayIncarnation: 1, MessageSequence: 2, Models: []ModelDemand{{Service: "s", Model: "m", OfferedLoad: 0.5, Waiting: 1}}},
	&PlannerStatus{StoreVersion: 8, EndpointsDigest: 1 << 63, ConfigVersion: 3, ConfigConfirmedAge: time.Second, Resigned: true, ConfigProofEra: 2, ConfigProofTime: time.Hour},
	&CreditRequest{Gateway: "g", GatewayIncarnation: 1, Sequence: 2, Groups: []GroupCredit{{Group: "a", Held: 1, Returned: 2, Need: 3, Least: 3, Ahead: 4, UsedPerSecond: 5}}},
	&CreditGrant{Term: 1, GatewayIncarnation: 2, Sequence: 3, Groups: []GroupGrant{{Granted: 4, WaitMs: 5, AboveShare: true}}},
	&StreamRecords{Query: 1 << 63, Streams: []VersionStreams{{Service: "s", Version: "v", Keys: []uint64{1, 1 << 63}}}},
	&StreamRecords{Batch: 7, Streams: []VersionStreams{{Service: "s", Keys: []uint64{1}, Revisions: []uint32{1 << 31}, Doubtful: true}}},
	&StreamQuery{Query: 5, Key: 1 << 63},
	&StreamsKept{Batch: 1 << 63},
	&NewerConfig{Version: 1 << 63},
	&CrashReports{Reports: []CrashReport{{Crash: 1 << 63, Trial: true, Keys: []uint64{1, 1 << 63}, Cleared: []uint64{2}}}},
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

// TestDeclaredLengths guards against a datagram of a few bytes that declares a long array: the
// decoder would allocate all of it, which takes the process down.
func TestDeclaredLengths(t *testing.T) {
	for _, data := range [][]byte{
		{3, 0x94, 0xa1, 0xe5, '&', '1', 0xdd, 0xe5, 0xee, 'r', '0', 0xcc, '0'},
		{1, 0xdd, 0xff, 0xff, 0xff, 0xff},
		{2, 0x91, 0xdf, 0x00, 0x10, 0x00, 0x00},
		{2, 0x91, 0xdb, 0x7f, 0xff, 0xff, 0xff},
		{2, 0x91, 0xdc},
	} {
		if m, err := Decode(data); err == nil {
			t.Errorf("%x decoded to %+v", data, m)
		}
	}
}

// TestCrashReportsFit guards against crash reports of many parts, or many of one, that don't fit into a datagram.
func TestCrashReportsFit(t *testing.T) {
	var many []uint64
	for i := range uint64(8000) {
		many = append(many, 1<<63+i)
	}
	reports := []poison.CrashReport{{Crash: 1 << 63, Trial: true, Keys: many, Cleared: many}}
	for i := range uint64(2000) {
		reports = append(reports, poison.CrashReport{Crash: 1<<63 + i, Keys: []uint64{1 << 63}})
	}
	keys := 0
	for _, m := range NewCrashReports(reports) {
		if _, err := Encode(m); err != nil {
			t.Fatal(err)
		}
		for _, r := range m.Decoded() {
			keys += len(r.Keys) + len(r.Cleared)
		}
	}
	if keys != 18000 {
		t.Errorf("%d of 18000 keys are in the messages", keys)
	}
}
