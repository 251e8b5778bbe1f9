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

// Digest identifies a prefix of a prompt, up to a position at which a later prompt may
// continue differently. Tokens is estimated from the bytes.
type Digest struct {
	Hash   uint64
	Tokens int
}

// Digests are the prefix digests of a prompt, the shortest prefix first.
type Digests []Digest

// digestBytes is the size of an encoded digest: the hash and 32 bits of tokens.
const digestBytes = 12

// MarshalText implements encoding.TextMarshaler; in JSON a digest takes 16 bytes.
func (ds Digests) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(ds)*digestBytes)
	for _, d := range ds {
		raw = binary.BigEndian.AppendUint64(raw, d.Hash)
		raw = binary.BigEndian.AppendUint32(raw, uint32(min(max(d.Tokens, 0), math.MaxInt32)))
	}
	return base64.RawURLEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (ds *Digests) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(raw)%digestBytes != 0 || len(raw) > MaxDigests*digestBytes {
		return fmt.Errorf("prefix digests %.20q are not at most %d blocks of %d bytes; check that the peer runs the same version", text, MaxDigests, digestBytes)
	}
	out := make(Digests, 0, len(raw)/digestBytes)
	for ; len(raw) > 0; raw = raw[digestBytes:] {
		out = append(out, Digest{Hash: binary.BigEndian.Uint64(raw), Tokens: int(binary.BigEndian.Uint32(raw[8:]))})
	}
	*ds = out
	return nil
}

const (
	// bytesPerToken is the estimated size of a token before an engine has counted the tokens.
	bytesPerToken = 4
	// MaxDigests bounds the digests of a prompt, and thereby the size of a probe.
	MaxDigests = 4
	// minDigestTokens is the shortest prefix with a digest: an engine computes 64 tokens in a
	// few milliseconds.
	minDigestTokens = 64
)

// Part is a part of a prompt that ends where an earlier prompt may have ended: in a chat
// after each system or user message, because the next turn adds an answer.
type Part struct {
	Role string
	Text []byte
}

// ChatDigests returns the digests of a chat: those of the shared instructions and of the
// prefixes up to the last turns, the shortest first.
func ChatDigests(model string, parts []Part) Digests {
	h := newHasher(model)
	var all Digests
	tokens := 0
	for _, p := range parts {
		h.writePart(p)
		if tokens += len(p.Text) / bytesPerToken; p.Role != "assistant" && tokens >= minDigestTokens {
			all = append(all, Digest{Hash: h.Sum64(), Tokens: tokens})
		}
	}
	if len(all) > MaxDigests {
		all = append(all[:1:1], all[len(all)-MaxDigests+1:]...)
	}
	return all
}

// TextDigests returns the digests of a prompt without structure: those of its longest prefixes
// whose number of tokens is a power of two, so that a prompt that extends it has them too.
func TextDigests(model string, text []byte) Digests {
	h := newHasher(model)
	var all Digests
	from := 0
	for tokens := minDigestTokens; tokens*bytesPerToken <= len(text); tokens *= 2 {
		_, _ = h.Write(text[from : tokens*bytesPerToken])
		from = tokens * bytesPerToken
		all = append(all, Digest{Hash: h.Sum64(), Tokens: tokens})
	}
	return all[max(0, len(all)-MaxDigests):]
}

// ConversationHash returns a hash that is equal for all turns of a chat: that of the messages
// up to and including the user's first one. Chats that share only the instructions differ.
func ConversationHash(model string, parts []Part) uint64 {
	h := newHasher(model)
	for _, p := range parts {
		h.writePart(p)
		if p.Role == "user" {
			break
		}
	}
	return h.Sum64()
}

// hasher hashes a prompt part by part.
type hasher struct{ *xxhash.Digest }

func newHasher(model string) hasher {
	h := hasher{xxhash.New()}
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	return h
}

func (h hasher) writePart(p Part) {
	_, _ = h.WriteString(p.Role)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(p.Text)
	_, _ = h.Write([]byte{0})
}

// blockTokens is the number of tokens in a block of an engine's prefix cache.
const blockTokens = 16

// ChatBlocks returns the digest hash of each prefix of a chat, keyed by the name that the
// engine gives to the last whole cache block of that prefix. The name is the fingerprint of
// the model and all words up to the end of the block. If an engine splits words differently,
// no name ever matches, and evictions stay unknown.
func ChatBlocks(model string, digests Digests, parts []Part) map[string]uint64 {
	out := make(map[string]uint64, len(digests))
	h := newHasher(model)
	var words []string
	for _, p := range parts {
		h.writePart(p)
		words = append(words, strings.Fields(string(p.Text))...)
		for _, d := range digests {
			if d.Hash == h.Sum64() {
				addBlock(out, model, words, d.Hash)
			}
		}
	}
	return out
}

// TextBlocks is ChatBlocks for a prompt without structure, whose prefixes end at multiples of
// a token's estimated size.
func TextBlocks(model string, digests Digests, text []byte) map[string]uint64 {
	out := make(map[string]uint64, len(digests))
	words := strings.Fields(string(text))
	n, bytes := 0, 0
	for _, d := range digests {
		for n < len(words) && bytes+len(words[n]) < d.Tokens*bytesPerToken {
			bytes += len(words[n]) + 1
			n++
		}
		addBlock(out, model, words[:n], d.Hash)
	}
	return out
}

func addBlock(out map[string]uint64, model string, words []string, hash uint64) {
	if n := len(words) / blockTokens * blockTokens; n > 0 {
		out[ident.Fingerprint("", model, []byte(strings.Join(words[:n], " ")))] = hash
	}
}
