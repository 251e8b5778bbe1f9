package prefix

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/ident"
)

// Digest is the beginning of a prompt up to a place where a later prompt may go on
// differently. Tokens is estimated from the bytes.
type Digest struct {
	Hash   uint64
	Tokens int
}

// Digests are the marks of a prompt, the shortest first.
type Digests []Digest

// markBytes is the size of an encoded mark: the hash and 32 bits of tokens.
const markBytes = 12

// MarshalText implements encoding.TextMarshaler; in JSON a mark takes 16 bytes.
func (ms Digests) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(ms)*markBytes)
	for _, m := range ms {
		raw = binary.BigEndian.AppendUint64(raw, m.Hash)
		raw = binary.BigEndian.AppendUint32(raw, uint32(min(max(m.Tokens, 0), math.MaxInt32)))
	}
	return base64.RawURLEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (ms *Digests) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(raw)%markBytes != 0 || len(raw) > MaxDigests*markBytes {
		return fmt.Errorf("prefix marks %.20q are not at most %d blocks of %d bytes; check that the peer runs the same version", text, MaxDigests, markBytes)
	}
	out := make(Digests, 0, len(raw)/markBytes)
	for ; len(raw) > 0; raw = raw[markBytes:] {
		out = append(out, Digest{Hash: binary.BigEndian.Uint64(raw), Tokens: int(binary.BigEndian.Uint32(raw[8:]))})
	}
	*ms = out
	return nil
}

const (
	// bytesPerToken estimates tokens before an engine has counted them.
	bytesPerToken = 4
	// MaxDigests bounds the marks of a prompt, and with them the bytes of a probe.
	MaxDigests = 4
	// leastTokens is the shortest beginning worth a mark: 64 tokens take an engine a few milliseconds.
	leastTokens = 64
)

// Part is a piece of a prompt. A place at which earlier prompts may have ended closes
// it: in a chat each system or user message, because the next turn adds an answer.
type Part struct {
	Role string
	Text []byte
}

// ChatDigests returns the marks of a chat: the shared instructions and the ends of the last
// turns, the shortest first.
func ChatDigests(model string, parts []Part) Digests {
	h := newHash(model)
	var all Digests
	tokens := 0
	for _, p := range parts {
		h.part(p)
		if tokens += len(p.Text) / bytesPerToken; p.Role != "assistant" && tokens >= leastTokens {
			all = append(all, Digest{Hash: h.Sum64(), Tokens: tokens})
		}
	}
	if len(all) > MaxDigests {
		all = append(all[:1:1], all[len(all)-MaxDigests+1:]...)
	}
	return all
}

// TextDigests returns the marks of a prompt without structure: its longest beginnings with a
// power of two of tokens, so that prompts that extend it share all but the last part.
func TextDigests(model string, text []byte) Digests {
	h := newHash(model)
	var all Digests
	from := 0
	for tokens := leastTokens; tokens*bytesPerToken <= len(text); tokens *= 2 {
		_, _ = h.Write(text[from : tokens*bytesPerToken])
		from = tokens * bytesPerToken
		all = append(all, Digest{Hash: h.Sum64(), Tokens: tokens})
	}
	return all[max(0, len(all)-MaxDigests):]
}

// ConversationHash returns a key that is equal for all turns of a chat: the hash of all
// messages up to the first one of the user. Chats that share only their instructions differ.
func ConversationHash(model string, parts []Part) uint64 {
	h := newHash(model)
	for _, p := range parts {
		h.part(p)
		if p.Role == "user" {
			break
		}
	}
	return h.Sum64()
}

// digest hashes a prompt part by part.
type digest struct{ *xxhash.Digest }

func newHash(model string) digest {
	h := digest{xxhash.New()}
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	return h
}

func (h digest) part(p Part) {
	_, _ = h.WriteString(p.Role)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(p.Text)
	_, _ = h.Write([]byte{0})
}

// blockTokens is the number of tokens in a block of an engine's prefix cache.
const blockTokens = 16

// ChatBlocks returns, by the engine's name of the last whole block within it, the hash
// of each of a chat's marks. The name is the fingerprint of the model and all words up
// to the block's end. With an engine that splits words otherwise no name ever matches,
// and evictions stay unknown.
func ChatBlocks(model string, marks Digests, parts []Part) map[string]uint64 {
	out := make(map[string]uint64, len(marks))
	h := newHash(model)
	var words []string
	for _, p := range parts {
		h.part(p)
		words = append(words, strings.Fields(string(p.Text))...)
		for _, m := range marks {
			if m.Hash == h.Sum64() {
				nameBlock(out, model, words, m.Hash)
			}
		}
	}
	return out
}

// TextBlocks is ChatBlocks for a prompt without structure, whose marks lie at multiples
// of a token's estimated bytes.
func TextBlocks(model string, marks Digests, text []byte) map[string]uint64 {
	out := make(map[string]uint64, len(marks))
	words := strings.Fields(string(text))
	n, bytes := 0, 0
	for _, m := range marks {
		for n < len(words) && bytes+len(words[n]) < m.Tokens*bytesPerToken {
			bytes += len(words[n]) + 1
			n++
		}
		nameBlock(out, model, words[:n], m.Hash)
	}
	return out
}

func nameBlock(out map[string]uint64, model string, words []string, mark uint64) {
	if n := len(words) / blockTokens * blockTokens; n > 0 {
		out[ident.Fingerprint("", model, []byte(strings.Join(words[:n], " ")))] = mark
	}
}
