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

// FuzzParseRequest guards against accepted requests without a model, messages or a positive
// token limit, which later steps rely on.
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

// readEvents reads a stream to its end.
func readEvents(t *testing.T, r io.Reader) (out [][]byte, last error) {
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

// FuzzScanner guards against events that depend on how the stream is split into reads, and
// against events that change when they are relayed.
func FuzzScanner(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := readEvents(t, bytes.NewReader(data))
		bytewise, bytewiseErr := readEvents(t, iotest.OneByteReader(bytes.NewReader(data)))
		if !slices.EqualFunc(whole, bytewise, bytes.Equal) || wholeErr.Error() != bytewiseErr.Error() {
			t.Fatalf("read at once %q (%v), read by the byte %q (%v)", whole, wholeErr, bytewise, bytewiseErr)
		}
		var relayed []byte
		for _, ev := range whole {
			relayed = AppendEvent(relayed, ev)
		}
		if reread, _ := readEvents(t, bytes.NewReader(relayed)); !slices.EqualFunc(whole, reread, bytes.Equal) {
			t.Fatalf("relaying %q gives %q", whole, reread)
		}
	})
}

// tokenEvent is an event that carries a token and no finish reason or usage.
const tokenEvent = `{"id":"c-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}],"usage":null}`

// FuzzParseEvent guards against token counts that would charge a group wrongly, and against
// events whose finish reason or usage the fast path misses.
func FuzzParseEvent(f *testing.F) {
	f.Add([]byte(tokenEvent))
	f.Add([]byte(`{"choices":[{"text":"\"finish_reason\":null","finish_reason":"stop"}]}`))
	f.Add([]byte(`{"choices":[{"finish_reason":null}],"usage":{"prompt_tokens":3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ev, err := ParseEvent(data)
		want, wantErr := decodeEvent(data)
		if wantErr == nil && (err != nil || ev.FinishReason != want.FinishReason || (ev.Usage == nil) != (want.Usage == nil)) {
			t.Fatalf("%q: got %+v, %v, want %+v", data, ev, err, want)
		}
		if err != nil || ev.Usage == nil {
			return
		}
		if u := ev.Usage; u.PromptTokens < 0 || u.CompletionTokens < 0 || u.TotalTokens < 0 || u.CachedTokens < 0 || u.CachedTokens > u.PromptTokens {
			t.Fatalf("usage %+v", *u)
		}
	})
}

// BenchmarkParseEvent compares full decoding of an event that carries a token with the fast path.
func BenchmarkParseEvent(b *testing.B) {
	for name, parse := range map[string]func([]byte) (Event, error){"whole": decodeEvent, "short": ParseEvent} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if ev, err := parse([]byte(tokenEvent)); err != nil || ev.Choices != 1 {
					b.Fatal(ev, err)
				}
			}
		})
	}
}

// TestScannerTruncatedStream guards against part of an event, left by a broken connection,
// that is returned as an event.
func TestScannerTruncatedStream(t *testing.T) {
	const stream = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"
	for n := range len(stream) {
		got, last := readEvents(t, bytes.NewReader([]byte(stream[:n])))
		for _, ev := range got {
			if !bytes.HasSuffix(ev, []byte("}")) {
				t.Errorf("cut at %d: event %q", n, ev)
			}
		}
		if done := errors.Is(last, ErrDone); done != (n >= len(stream)-2) {
			t.Errorf("cut at %d: %v", n, last)
		}
	}
}
