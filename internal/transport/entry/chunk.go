package entry

import "chervilhead/internal/protocol/wire"

// HandleChunk takes consecutive items of an answer; it implements peer.ChunkHandler.
func (e *Entry) HandleChunk(m wire.Chunk) {
	if in := e.inbox(m.AttemptID); in != nil {
		in.chunk(m)
	}
}
