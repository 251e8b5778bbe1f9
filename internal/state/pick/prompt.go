package pick

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/fleet"
)

// maxParts bounds the parts of a prompt that are told apart.
const maxParts = 16

// ParsePromptParts decodes a prompt's parts, ID:TOKENS with commas between. Each part's chain
// covers the model, because engines keep prompts by model.
func ParsePromptParts(name fleet.ModelName, s string) []PromptPart {
	if s == "" {
		return nil
	}
	var out []PromptPart
	chain := xxhash.Sum64String(name.String())
	for field := range strings.SplitSeq(s, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || n < 0 || len(out) == maxParts {
			break
		}
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], chain)
		d := xxhash.New()
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(id)
		chain = d.Sum64()
		out = append(out, PromptPart{PrefixHash: chain, Tokens: n})
	}
	return out
}

// ParseTokenCounts decodes the numbers of prompt tokens and of output tokens at most.
func ParseTokenCounts(s string) (prompt, output int) {
	a, b, _ := strings.Cut(s, ",")
	prompt, err := strconv.Atoi(strings.TrimSpace(a))
	if err != nil || prompt < 0 {
		return 0, 0
	}
	output, err = strconv.Atoi(strings.TrimSpace(b))
	if err != nil || output < 0 {
		return prompt, 0
	}
	return prompt, output
}
