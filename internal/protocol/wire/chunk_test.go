package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"reflect"
	"testing"
)

func encodeFrame(tb testing.TB, m Chunk) []byte {
	var b bytes.Buffer
	if err := (Codec{}).WriteObject(&b, &m); err != nil {
		tb.Fatal(err)
	}
	return b.Bytes()
}

// TestChunkOrder guards against chunks that are altered in transit or reordered with JSON frames.
func TestChunkOrder(t *testing.T) {
	m := Chunk{AttemptID: "a", Incarnation: "i", Offset: 3, Items: []json.RawMessage{[]byte(`{"z":1,"a":2}`), []byte(`"x"`)}}
	var b bytes.Buffer
	b.Write(encodeFrame(t, m))
	if err := (Codec{}).WriteObject(&b, End{AttemptID: "a"}); err != nil {
		t.Fatal(err)
	}
	var got []Chunk
	var end End
	c := Codec{OnChunk: func(m Chunk) { got = append(got, m) }}
	if err := c.ReadObject(bufio.NewReader(&b), &end); err != nil || end.AttemptID != "a" {
		t.Fatalf("end %+v, error %v", end, err)
	}
	if !reflect.DeepEqual(got, []Chunk{m}) {
		t.Fatalf("got %+v", got)
	}
}

// FuzzChunk guards against malformed chunk frames that cause a panic or a large allocation,
// and against accepted chunks that change when they are encoded again.
func FuzzChunk(f *testing.F) {
	f.Add(encodeFrame(f, Chunk{AttemptID: "a", Incarnation: "i", Offset: 3, Items: []json.RawMessage{[]byte("1")}})[headerBytes:])
	f.Add([]byte{0x94, 0xa0, 0xa0, 0x00, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x94, 0xa0, 0xa0, 0x00, 0x91, 0xc6, 0x7f, 0xff, 0xff, 0xff})
	f.Add([]byte{0x94, 0xa0, 0xa0, 0x00, 0xc0})
	f.Fuzz(func(t *testing.T, body []byte) {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(body))|chunkFlag)
		frame = append(frame, body...)
		frame = append(frame, 0, 0, 0, 2, '{', '}')
		var got []Chunk
		c := Codec{OnChunk: func(m Chunk) { got = append(got, m) }}
		var v struct{}
		if err := c.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &v); err != nil {
			return
		}
		decoded, err := decodeChunk(encodeFrame(t, got[0])[headerBytes:])
		if err != nil || !reflect.DeepEqual(decoded, got[0]) {
			t.Fatalf("round trip of %+v gives %+v, error %v", got[0], decoded, err)
		}
	})
}
