package wire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxFrameBytes limits the body of one frame; a 1 MiB request body fits with its envelope.
const MaxFrameBytes = 4 << 20

const (
	headerBytes = 4
	// chunkFlag in a frame's length marks a MessagePack chunk; other frames are JSON-RPC.
	chunkFlag = 1 << 31
)

// Codec frames objects with a big-endian length; it implements jsonrpc2.ObjectCodec.
// Chunks have frames of their own that bypass JSON-RPC, which decodes parameters into
// maps and encodes them again: that cost about 20 microseconds per token.
type Codec struct {
	// OnChunk receives chunks in order with the other frames; if it is nil, a chunk is an error.
	OnChunk func(Chunk)
}

// WriteObject encodes obj, a *Chunk or any JSON value, and writes one frame with a single Write.
func (c Codec) WriteObject(w io.Writer, obj any) error {
	if m, ok := obj.(*Chunk); ok {
		return c.writeChunk(w, m)
	}
	body, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	return c.write(w, append(frame, body...), 0)
}

// write fills in the header of a frame and writes the frame.
func (Codec) write(w io.Writer, frame []byte, flag uint32) error {
	n := len(frame) - headerBytes
	if n > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d; send a smaller body", n, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(n)|flag)
	_, err := w.Write(frame)
	return err
}

// ReadObject reads the next JSON frame into v and passes the chunks before it to OnChunk.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	for {
		body, flag, err := c.read(r)
		if err != nil {
			return err
		}
		if flag == 0 {
			if err := json.Unmarshal(body, v); err != nil {
				return malformedFrame(err)
			}
			return nil
		}
		m, err := decodeChunk(body)
		if err != nil {
			return malformedFrame(err)
		}
		if c.OnChunk == nil {
			return malformedFrame(fmt.Errorf("unexpected chunk frame"))
		}
		c.OnChunk(m)
	}
}

func malformedFrame(err error) error {
	return fmt.Errorf("malformed frame: %w; check that the peer runs the same version", err)
}

// maxPreallocBytes is the largest frame whose buffer is allocated before its bytes arrive.
const maxPreallocBytes = 64 << 10

// read returns the body of the next frame and its chunk flag.
func (Codec) read(r *bufio.Reader) (body []byte, flag uint32, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	flag, n = n&chunkFlag, n&^chunkFlag
	if n > MaxFrameBytes {
		return nil, 0, fmt.Errorf("frame of %d bytes exceeds the limit of %d; check that the peer runs the same version", n, MaxFrameBytes)
	}
	if n <= maxPreallocBytes {
		body = make([]byte, n)
		_, err = io.ReadFull(r, body)
	} else {
		// The buffer grows as bytes arrive, so that a false length allocates little.
		body, err = io.ReadAll(io.LimitReader(r, int64(n)))
	}
	if errors.Is(err, io.EOF) || (err == nil && len(body) < int(n)) {
		err = io.ErrUnexpectedEOF
	}
	return body, flag, err
}
