package openai

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"

	"chervilhead/internal/protocol/wire"
)

// FuzzParseRequest guards against accepted requests that later steps cannot serve.
func FuzzParseRequest(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, kind := range []wire.AttemptKind{wire.KindChat, wire.KindCompletion} {
			r, err := ParseRequest(kind, body)
			if err != nil {
				continue
			}
			if r.Model == "" || r.TokenLimit(1) < 1 || (kind == wire.KindChat && len(r.Messages) == 0) {
				t.Fatalf("accepted %+v", r)
			}
		}
	})
}

// events reads a stream to its end.
func events(t *testing.T, r io.Reader) (out [][]byte, last error) {
	s := NewScanner(r)
	for {
		data, err := s.Next()
		if err != nil {
			return out, err
		}
		if len(data) > MaxEventBytes || bytes.ContainsAny(data, "\n") {
			t.Fatalf("event of %d bytes", len(data))
		}
		out = append(out, data)
	}
}

// FuzzScanner guards against events that depend on how the stream was cut into
// reads, and against events that change when they are relayed.
func FuzzScanner(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, last := events(t, bytes.NewReader(data))
		cut, lastCut := events(t, iotest.OneByteReader(bytes.NewReader(data)))
		if !slices.EqualFunc(whole, cut, bytes.Equal) || last.Error() != lastCut.Error() {
			t.Fatalf("%q (%v) became %q (%v)", whole, last, cut, lastCut)
		}
		var relayed []byte
		for _, ev := range whole {
			relayed = AppendEvent(relayed, ev)
		}
		if again, _ := events(t, bytes.NewReader(relayed)); !slices.EqualFunc(whole, again, bytes.Equal) {
			t.Fatalf("%q became %q", whole, again)
		}
	})
}

// plainEvent is an event that carries a token.
const plainEvent = `{"id":"c-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}],"usage":null}`

// FuzzParseEvent guards against token counts that would charge a group wrongly, and
// against events whose end or usage the short way misses.
func FuzzParseEvent(f *testing.F) {
	f.Add([]byte(plainEvent))
	f.Add([]byte(`{"choices":[{"text":"\"finish_reason\":null","finish_reason":"stop"}]}`))
	f.Add([]byte(`{"choices":[{"finish_reason":null}],"usage":{"prompt_tokens":3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ev, err := ParseEvent(data)
		slow, slowErr := parseFields(data)
		if slowErr == nil && (err != nil || ev.FinishReason != slow.FinishReason || (ev.Usage == nil) != (slow.Usage == nil)) {
			t.Fatalf("%q: got %+v, %v, want %+v", data, ev, err, slow)
		}
		if err != nil || ev.Usage == nil {
			return
		}
		if u := ev.Usage; u.PromptTokens < 0 || u.CompletionTokens < 0 || u.TotalTokens < 0 || u.CachedTokens < 0 || u.CachedTokens > u.PromptTokens {
			t.Fatalf("usage %+v", *u)
		}
	})
}

// BenchmarkParseEvent measures the reading of an event that carries a token.
func BenchmarkParseEvent(b *testing.B) {
	for name, parse := range map[string]func([]byte) (Event, error){"whole": parseFields, "short": ParseEvent} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if ev, err := parse([]byte(plainEvent)); err != nil || ev.Choices != 1 {
					b.Fatal(ev, err)
				}
			}
		})
	}
}

// TestScannerCut guards against part of an event, left by a broken connection, that
// passes for an event.
func TestScannerCut(t *testing.T) {
	const stream = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"
	for cut := range len(stream) {
		got, last := events(t, bytes.NewReader([]byte(stream[:cut])))
		for _, ev := range got {
			if !bytes.HasSuffix(ev, []byte("}")) {
				t.Errorf("cut at %d: event %q", cut, ev)
			}
		}
		if done := errors.Is(last, ErrDone); done != (cut >= len(stream)-2) {
			t.Errorf("cut at %d: %v", cut, last)
		}
	}
}
