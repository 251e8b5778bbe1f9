package keeper

import (
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/dgram"
)

// TestStreamRecords guards against a keeper that loses the record of a stream, or that leaves a query for an unknown one unanswered.
func TestStreamRecords(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	k, err := New(Settings{Listen: "127.0.0.1:0"}, nil, nil, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	defer k.conn.Close()
	gateway, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer gateway.Close()
	send := func(m dgram.Message) {
		data, err := dgram.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		k.handleDatagram(data, gateway.LocalAddr())
	}
	send(&dgram.StreamRecords{Streams: []dgram.VersionStreams{{Service: "s", Version: "one", Keys: []uint64{1, 2}}, {Service: "s", Version: "", Keys: []uint64{3}}}})
	for key, want := range map[uint64][]dgram.VersionStreams{
		2: {{Service: "s", Version: "one", Keys: []uint64{2}}}, 3: {{Service: "s", Keys: []uint64{3}}}, 4: nil,
	} {
		send(&dgram.StreamQuery{Query: key + 10, Key: key})
		buf := make([]byte, dgram.MaxBytes)
		_ = gateway.SetReadDeadline(time.Now().Add(time.Second))
		n, _, err := gateway.ReadFrom(buf)
		if err != nil {
			t.Fatalf("stream %d: %v", key, err)
		}
		m, err := dgram.Decode(buf[:n])
		if got := (&dgram.StreamRecords{Query: key + 10, Streams: want}); err != nil || !reflect.DeepEqual(m, got) {
			t.Errorf("stream %d: got %+v, error %v; want %+v", key, m, err, got)
		}
	}
	if len(k.subscribers) != 0 {
		t.Error("a query made the gateway a subscriber")
	}
}
