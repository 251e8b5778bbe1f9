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

// TestChat guards against a next turn that shares no mark with the turn before, marks
// shared by different models or texts, and a number of marks that grows with the chat.
func TestChat(t *testing.T) {
	parts := []Part{message("system", 100), message("user", 80)}
	var before Digests
	key := ConversationHash("m", parts)
	for turn := range 20 {
		marks := ChatDigests("m", parts)
		if len(marks) == 0 || len(marks) > MaxDigests || !slices.IsSortedFunc(marks, func(a, b Digest) int { return a.Tokens - b.Tokens }) {
			t.Fatalf("turn %d: marks %v", turn, marks)
		}
		if turn > 0 && !slices.Contains(marks, before[len(before)-1]) {
			t.Fatalf("turn %d shares nothing but the instructions with the turn before", turn)
		}
		if ChatDigests("other", parts)[0].Hash == marks[0].Hash {
			t.Fatal("two models share a mark")
		}
		if ConversationHash("m", parts) != key {
			t.Fatalf("turn %d has another key", turn)
		}
		before = marks
		parts = append(parts, message("assistant", 50), message("user", 70+turn))
	}
	other := []Part{parts[0], message("user", 81)}
	if ConversationHash("m", other) == key {
		t.Error("two chats with the same instructions have one key")
	}
	if ChatDigests("m", other)[0] != ChatDigests("m", parts)[0] {
		t.Error("two chats with the same instructions share no mark")
	}
}

// TestText guards against prompts that extend another one and share no mark with it.
func TestText(t *testing.T) {
	long := []byte(strings.Repeat("word ", 10_000))
	for _, n := range []int{0, 100, 300, 1000, 40_000} {
		a, b := TextDigests("m", long[:n]), TextDigests("m", append(slices.Clone(long[:n]), "and more of it"...))
		if len(a) > MaxDigests || !slices.Equal(a, b) {
			t.Errorf("%d bytes: %v and %v", n, a, b)
		}
	}
}

// TestBounds guards against memories that outgrow their bound, keep what was dropped,
// or still trust what became uncertain.
func TestBounds(t *testing.T) {
	held, m, names := NewCacheEstimate(100), NewIndex(100), NewBlockIndex(100)
	mark := func(i int) Digests {
		return Digests{{Hash: uint64(i), Tokens: 64}, {Hash: uint64(i) << 32, Tokens: 128}}
	}
	for i := 1; i <= 1000; i++ {
		held.Add(mark(i))
		m.Add(fmt.Sprint("e", i%3), mark(i))
		names.Add(map[string]uint64{fmt.Sprint(i): uint64(i)})
	}
	if held.Len() != 100 || m.Len() != 100 || names.marks.order.Len() != 100 || len(held.marks.at) != 100 {
		t.Fatalf("%d, %d and %d marks kept, want 100", held.Len(), m.Len(), names.marks.order.Len())
	}
	if held.CachedTokens(mark(1)) != 0 || m.CachedTokens("e1", mark(1)) != 0 || held.CachedTokens(mark(1000)) != 128 || m.CachedTokens("e1", mark(1000)) != 128 {
		t.Error("the oldest marks were kept or the newest dropped")
	}
	if m.CachedTokens("e2", mark(1000)) != 0 {
		t.Error("an endpoint that computed nothing counts as a holder")
	}
	held.Drop(1000 << 32)
	if held.CachedTokens(mark(1000)) != 64 {
		t.Error("a shorter beginning went with the longer one")
	}
	held.MarkUncertain()
	if held.CachedTokens(mark(999)) >= 128 {
		t.Errorf("an uncertain beginning of 128 tokens counts %d", held.CachedTokens(mark(999)))
	}
	held.Add(mark(999))
	if held.CachedTokens(mark(999)) != 128 {
		t.Error("a beginning stays uncertain after it was computed again")
	}
	held.Clear()
	if held.Len() != 0 || held.CachedTokens(mark(999)) != 0 {
		t.Error("marks left after a restart")
	}
}

// FuzzMarks guards against encoded marks that panic, exceed their bound or change when
// they are written again.
func FuzzMarks(f *testing.F) {
	f.Add([]byte("AAAAAAAAAAEAAABA"))
	f.Add([]byte("!"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var m, again Digests
		if m.UnmarshalText(text) != nil {
			return
		}
		b, err := m.MarshalText()
		if err != nil || again.UnmarshalText(b) != nil || len(m) > MaxDigests || len(again) != len(m) {
			t.Fatalf("%q gives %v and then %v, error %v", text, m, again, err)
		}
		for i := range m {
			if m[i].Hash != again[i].Hash || min(m[i].Tokens, math.MaxInt32) != again[i].Tokens {
				t.Fatalf("%v became %v", m, again)
			}
		}
	})
}

// BenchmarkMemory measures the memory of the hints: the bytes per operation are those
// of a full map at an entry, and of an agent's two.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1024, 2048, 4096, 8192} {
		b.Run(fmt.Sprintf("entry/marks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := NewIndex(n)
				for i := range n {
					m.Add("endpoint", Digests{{Hash: uint64(i), Tokens: 64}})
				}
			}
		})
		b.Run(fmt.Sprintf("agent/marks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				held, names := NewCacheEstimate(n), NewBlockIndex(n)
				for i := range n {
					held.Add(Digests{{Hash: uint64(i), Tokens: 64}})
					names.Add(map[string]uint64{fmt.Sprintf("%032x", i): uint64(i)})
				}
			}
		})
	}
}
