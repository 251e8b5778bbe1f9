package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzReadObject guards against frames that cause a panic, are read beyond their
// length or change when they are encoded again.
func FuzzReadObject(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		var c Chunk
		if (Codec{}).ReadObject(r, &c) != nil {
			return
		}
		if left := r.Buffered(); left > len(data)-headerBytes {
			t.Fatalf("%d of %d bytes left unread", left, len(data))
		}
		var buf bytes.Buffer
		if err := (Codec{}).WriteObject(&buf, c); err != nil {
			t.Fatal(err)
		}
		var decoded Chunk
		if err := (Codec{}).ReadObject(bufio.NewReader(&buf), &decoded); err != nil {
			t.Fatal(err)
		}
		before, _ := json.Marshal(c)
		after, _ := json.Marshal(decoded)
		if !bytes.Equal(before, after) {
			t.Fatalf("round trip of %s gives %s", before, after)
		}
	})
}
