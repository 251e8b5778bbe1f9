package pick

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/fleet"
)

// maxParts bounds the parts of a prompt that are decoded; later ones are ignored.
const maxParts = 16

// ParsePromptParts decodes the comma-separated parts of a prompt, each ID:TOKENS, up to the
// first malformed one. The hash of each part covers the model, because an engine's prefix
// cache is kept per model.
func ParsePromptParts(name fleet.ModelName, s string) []PromptPart {
	if s == "" {
		return nil
	}
	var out []PromptPart
	hash := xxhash.Sum64String(name.String())
	for field := range strings.SplitSeq(s, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || n < 0 || len(out) == maxParts {
			break
		}
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], hash)
		d := xxhash.New()
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(id)
		hash = d.Sum64()
		out = append(out, PromptPart{PrefixHash: hash, Tokens: n})
	}
	return out
}

// ParseTokenCounts decodes PROMPT,OUTPUT: the number of prompt tokens and the largest number
// of output tokens. A count that is malformed or negative is 0, and so is one after it.
func ParseTokenCounts(s string) (prompt, output int) {
	promptText, outputText, _ := strings.Cut(s, ",")
	prompt, err := strconv.Atoi(strings.TrimSpace(promptText))
	if err != nil || prompt < 0 {
		return 0, 0
	}
	output, err = strconv.Atoi(strings.TrimSpace(outputText))
	if err != nil || output < 0 {
		return prompt, 0
	}
	return prompt, output
}
