package prefix

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

func message(role string, n int) Part {
	return Part{Role: role, Text: []byte(strings.Repeat(role[:1], n*bytesPerToken))}
}

// TestChatDigests guards against a turn that shares no digest with the turn before, digests
// shared by different models or texts, and a number of digests that grows with the chat.
func TestChatDigests(t *testing.T) {
	parts := []Part{message("system", 100), message("user", 80)}
	var before Digests
	key := ConversationHash("m", parts)
	for turn := range 20 {
		digests := ChatDigests("m", parts)
		if len(digests) == 0 || len(digests) > MaxDigests || !slices.IsSortedFunc(digests, func(a, b Digest) int { return a.Tokens - b.Tokens }) {
			t.Fatalf("turn %d: got digests %v", turn, digests)
		}
		if turn > 0 && !slices.Contains(digests, before[len(before)-1]) {
			t.Fatalf("turn %d shares no digest but that of the instructions with the turn before", turn)
		}
		if ChatDigests("other", parts)[0].Hash == digests[0].Hash {
			t.Fatal("two models share a digest")
		}
		if ConversationHash("m", parts) != key {
			t.Fatalf("turn %d has another conversation hash", turn)
		}
		before = digests
		parts = append(parts, message("assistant", 50), message("user", 70+turn))
	}
	other := []Part{parts[0], message("user", 81)}
	if ConversationHash("m", other) == key {
		t.Error("two chats with the same instructions have the same conversation hash")
	}
	if ChatDigests("m", other)[0] != ChatDigests("m", parts)[0] {
		t.Error("two chats with the same instructions share no digest")
	}
}

// TestTextDigests guards against a prompt that extends another one but shares no digest with
// it.
func TestTextDigests(t *testing.T) {
	long := []byte(strings.Repeat("word ", 10_000))
	for _, n := range []int{0, 100, 300, 1000, 40_000} {
		a, b := TextDigests("m", long[:n]), TextDigests("m", append(slices.Clone(long[:n]), "and more of it"...))
		if len(a) > MaxDigests || !slices.Equal(a, b) {
			t.Errorf("%d bytes: got digests %v, and %v for an extended prompt", n, a, b)
		}
	}
}

// TestBounds guards against maps that exceed their bound, keep what was dropped, or count an
// uncertain prefix in full.
func TestBounds(t *testing.T) {
	cache, index, blocks := NewCacheEstimate(100), NewIndex(100), NewBlockIndex(100)
	digests := func(i int) Digests {
		return Digests{{Hash: uint64(i), Tokens: 64}, {Hash: uint64(i) << 32, Tokens: 128}}
	}
	for i := 1; i <= 1000; i++ {
		cache.Add(digests(i))
		index.Add(fmt.Sprint("e", i%3), digests(i))
		blocks.Add(map[string]uint64{fmt.Sprint(i): uint64(i)})
	}
	if cache.Len() != 100 || index.Len() != 100 || blocks.blocks.order.Len() != 100 || len(cache.digests.entries) != 100 {
		t.Fatalf("got %d, %d and %d entries, want 100", cache.Len(), index.Len(), blocks.blocks.order.Len())
	}
	if cache.CachedTokens(digests(1)) != 0 || index.CachedTokens("e1", digests(1)) != 0 || cache.CachedTokens(digests(1000)) != 128 || index.CachedTokens("e1", digests(1000)) != 128 {
		t.Error("the oldest digests were kept or the newest dropped")
	}
	if index.CachedTokens("e2", digests(1000)) != 0 {
		t.Error("an endpoint that did not compute the prompt counts as a holder")
	}
	cache.Drop(1000 << 32)
	if cache.CachedTokens(digests(1000)) != 64 {
		t.Error("the shorter prefix was dropped with the longer one")
	}
	cache.MarkUncertain()
	if cache.CachedTokens(digests(999)) >= 128 {
		t.Errorf("an uncertain prefix of 128 tokens counts %d, want fewer than 128", cache.CachedTokens(digests(999)))
	}
	cache.Add(digests(999))
	if cache.CachedTokens(digests(999)) != 128 {
		t.Error("a prefix stays uncertain after it was computed again")
	}
	cache.Clear()
	if cache.Len() != 0 || cache.CachedTokens(digests(999)) != 0 {
		t.Error("digests are left after a restart")
	}
}

// FuzzMarks guards against encoded digests that cause a panic, exceed their bound or change
// when they are encoded again.
func FuzzMarks(f *testing.F) {
	f.Add([]byte("AAAAAAAAAAEAAABA"))
	f.Add([]byte("!"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var first, again Digests
		if first.UnmarshalText(text) != nil {
			return
		}
		b, err := first.MarshalText()
		if err != nil || again.UnmarshalText(b) != nil || len(first) > MaxDigests || len(again) != len(first) {
			t.Fatalf("%q gives %v and then %v, error %v", text, first, again, err)
		}
		for i := range first {
			if first[i].Hash != again[i].Hash || min(first[i].Tokens, math.MaxInt32) != again[i].Tokens {
				t.Fatalf("%v became %v", first, again)
			}
		}
	})
}

// BenchmarkMemory measures the memory of the hints: the bytes per operation are those of a
// full index at an entry, and of the two maps of an agent.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1024, 2048, 4096, 8192} {
		b.Run(fmt.Sprintf("entry/marks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				index := NewIndex(n)
				for i := range n {
					index.Add("endpoint", Digests{{Hash: uint64(i), Tokens: 64}})
				}
			}
		})
		b.Run(fmt.Sprintf("agent/marks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				cache, blocks := NewCacheEstimate(n), NewBlockIndex(n)
				for i := range n {
					cache.Add(Digests{{Hash: uint64(i), Tokens: 64}})
					blocks.Add(map[string]uint64{fmt.Sprintf("%032x", i): uint64(i)})
				}
			}
		})
	}
}
