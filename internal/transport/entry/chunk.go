package entry

import "chervilhead/internal/protocol/wire"

// HandleChunk adds consecutive items of an answer to the attempt's inbox; it implements
// peer.ChunkHandler.
func (e *Entry) HandleChunk(m wire.Chunk) {
	if in := e.inbox(m.AttemptID); in != nil {
		in.addChunk(m)
	}
}
