package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// chunkFields is the number of fields in an encoded chunk, which is a MessagePack array.
const chunkFields = 4

// maxPooledBufferBytes is the capacity above which a buffer is not returned to the pool.
const maxPooledBufferBytes = 64 << 10

// chunkWriter encodes chunks into a reusable buffer.
type chunkWriter struct {
	buf     bytes.Buffer
	encoder *msgpack.Encoder
}

var chunkWriters = sync.Pool{New: func() any {
	w := &chunkWriter{}
	w.encoder = msgpack.NewEncoder(&w.buf)
	return w
}}

// writeChunk writes a chunk as one MessagePack frame.
func (c Codec) writeChunk(w io.Writer, m *Chunk) error {
	cw := chunkWriters.Get().(*chunkWriter)
	defer func() {
		if cw.buf.Cap() <= maxPooledBufferBytes {
			chunkWriters.Put(cw)
		}
	}()
	cw.buf.Reset()
	cw.buf.Write(make([]byte, headerBytes))
	if err := encodeChunk(cw.encoder, m); err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	return c.write(w, cw.buf.Bytes(), chunkFlag)
}

func encodeChunk(enc *msgpack.Encoder, m *Chunk) error {
	if err := enc.EncodeArrayLen(chunkFields); err != nil {
		return err
	}
	if err := enc.EncodeString(m.AttemptID); err != nil {
		return err
	}
	if err := enc.EncodeString(m.Incarnation); err != nil {
		return err
	}
	if err := enc.EncodeInt(int64(m.Offset)); err != nil {
		return err
	}
	if err := enc.EncodeArrayLen(len(m.Items)); err != nil {
		return err
	}
	for _, item := range m.Items {
		if err := enc.EncodeBytes(item); err != nil {
			return err
		}
	}
	return nil
}

// decodeChunk decodes a chunk whose items share the memory of body.
func decodeChunk(body []byte) (Chunk, error) {
	r := bytes.NewReader(body)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	m, n, err := decodeChunkHeader(dec)
	if err != nil {
		return Chunk{}, err
	}
	// An item takes at least one byte; a larger declared count is rejected before it allocates.
	if n < 0 || n > r.Len() {
		return Chunk{}, fmt.Errorf("chunk declares %d items but only %d bytes follow", n, r.Len())
	}
	m.Items = make([]json.RawMessage, 0, n)
	for range n {
		size, err := dec.DecodeBytesLen()
		if err != nil {
			return Chunk{}, err
		}
		if size < 0 || size > r.Len() {
			return Chunk{}, fmt.Errorf("chunk item declares %d bytes but only %d follow", size, r.Len())
		}
		start := len(body) - r.Len()
		m.Items = append(m.Items, body[start:start+size:start+size])
		if _, err := r.Seek(int64(size), io.SeekCurrent); err != nil {
			return Chunk{}, err
		}
	}
	if r.Len() > 0 {
		return Chunk{}, fmt.Errorf("chunk frame has %d trailing bytes", r.Len())
	}
	return m, nil
}

// decodeChunkHeader decodes the fields before the items, and the number of items.
func decodeChunkHeader(dec *msgpack.Decoder) (m Chunk, items int, err error) {
	fields, err := dec.DecodeArrayLen()
	if err != nil {
		return m, 0, err
	}
	if fields != chunkFields {
		return m, 0, fmt.Errorf("chunk has %d fields, want %d", fields, chunkFields)
	}
	if m.AttemptID, err = dec.DecodeString(); err != nil {
		return m, 0, err
	}
	if m.Incarnation, err = dec.DecodeString(); err != nil {
		return m, 0, err
	}
	if m.Offset, err = dec.DecodeInt(); err != nil {
		return m, 0, err
	}
	if m.Offset < 0 {
		return m, 0, fmt.Errorf("chunk offset %d is negative", m.Offset)
	}
	items, err = dec.DecodeArrayLen()
	return m, items, err
}
