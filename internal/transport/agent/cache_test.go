package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/prefix"
)

// handlerTransport is an http.RoundTripper that calls a handler without a network.
type handlerTransport struct{ http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result(), nil
}

// chatStart returns an attempt of a chat; each message is repeated to 100 words.
func chatStart(id string, messages ...string) wire.Start {
	var body []string
	var parts []prefix.Part
	for i, m := range messages {
		role := []string{"system", "user"}[min(i, 1)]
		text := strings.Repeat(m+" <&> ", 50)
		body = append(body, fmt.Sprintf(`{"role":%q,"content":%q}`, role, text))
		parts = append(parts, prefix.Part{Role: role, Text: []byte(text)})
	}
	return wire.Start{
		AttemptID: id, Model: "m", Kind: wire.KindChat, Prefix: prefix.ChatDigests("m", parts), PromptTokens: 100 * len(messages),
		Body: fmt.Appendf(nil, `{"model":"m","max_tokens":1,"messages":[%s]}`, strings.Join(body, ",")),
	}
}

// TestCacheEvents guards against a cache estimate that keeps prompts which the engine has
// evicted, stays certain after a gap in the events, or survives a restart of the engine.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.New(engsim.Settings{MemoryTotalBytes: 100, Slots: 1, LoadBytesPerSecond: 100, PrefixBlocks: 24}, pltsim.NewWeights(&pltsim.Faults{}, 2, 3))
		defer e.Close()
		if err := e.ApplyOrder(engine.Order{ID: "o", Kind: engine.OrderLoad, Model: "m", MemoryBytes: 10}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		log := logrus.New()
		log.SetOutput(io.Discard)
		client := engine.New("http://engine", &http.Client{Transport: handlerTransport{e.Handler()}})
		a := New(t.Context(), Settings{ID: "a", Slots: 1}, EngineBackend{Engine: client}, gossip.NewStore(), log.WithField("t", ""))
		run := func(s wire.Start) {
			a.indexCacheBlocks(s)
			a.mu.Lock()
			a.prefill.cache.Add(s.Prefix)
			a.mu.Unlock()
			if end := a.backend.run(t.Context(), s, "", func(json.RawMessage) {}); end.Error != nil {
				t.Fatal(end.Error)
			}
			a.ReadCacheEvents(t.Context(), client)
		}
		cachedTokens := func(s wire.Start) int { return a.probe(wire.Probe{Model: "m", Prefix: s.Prefix}).CachedTokens }
		first, second, third := chatStart("1", "rules", "apple"), chatStart("2", "rules", "pear"), chatStart("3", "other", "plum")
		run(first)
		run(second)
		whole, shared := first.Prefix[1].Tokens, first.Prefix[0].Tokens
		if cachedTokens(first) != whole || cachedTokens(second) != second.Prefix[1].Tokens {
			t.Fatalf("%d and %d tokens estimated as cached, want both prompts", cachedTokens(first), cachedTokens(second))
		}
		run(third) // evicts the six blocks that only the first prompt has
		if n := cachedTokens(first); n != shared {
			t.Errorf("%d tokens of an evicted prompt estimated as cached", n)
		}
		if n := cachedTokens(third); n != third.Prefix[1].Tokens {
			t.Errorf("%d tokens of the newest prompt estimated as cached", n)
		}
		for i := range 100 { // 1,200 events, of which the engine keeps 1,024
			if end := a.backend.run(t.Context(), chatStart(fmt.Sprint("x", i), fmt.Sprint("new", i)), "", func(json.RawMessage) {}); end.Error != nil {
				t.Fatal(end.Error)
			}
		}
		a.ReadCacheEvents(t.Context(), client)
		if n := cachedTokens(third); n >= third.Prefix[1].Tokens {
			t.Errorf("%d tokens estimated as cached after a gap in the events", n)
		}
		a.SetEngineState(&engine.State{Incarnation: "new"})
		if n := cachedTokens(third); n != 0 {
			t.Errorf("%d tokens estimated as cached after a restart", n)
		}
	})
}

// TestPromptWait guards against an expected wait that leaves out the prefills in progress,
// and against prefills that stay counted after their attempts ended.
func TestPrefillWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		a := New(t.Context(), Settings{ID: "a", Slots: 4}, EngineBackend{}, gossip.NewStore(), log.WithField("t", ""))
		wait := func() int64 { return a.probe(wire.Probe{Model: "m"}).WaitMillis }
		begin := func(s wire.Start) *attempt {
			at := &attempt{start: s, startedAt: time.Now()}
			a.mu.Lock()
			defer a.mu.Unlock()
			a.prefillStarted(at)
			return at
		}
		s := chatStart("1", "rules", "apple")
		s.Stream, s.PromptTokens = true, 1000
		slow := begin(s)
		if wait() != 100 {
			t.Fatalf("%d ms expected before a prompt of 1000 tokens, want 100", wait())
		}
		again := begin(s)
		if want := int64(200 - s.Prefix[1].Tokens/10); wait() < want-1 || wait() > want+1 {
			t.Errorf("%d ms expected, want %d: a part of the second prompt is cached", wait(), want)
		}
		time.Sleep(400 * time.Millisecond) // four times as long as expected
		a.prefillDone(slow, true)
		if per := a.probe(wire.Probe{Model: "m"}).PrefillPerTokenNanos; per <= defaultPrefillTimePerToken.Nanoseconds() {
			t.Errorf("%d ns per token measured on a slow engine", per)
		}
		a.prefillDone(again, false)
		a.prefillDone(again, false) // an attempt ends after its first item
		whole := wire.Start{AttemptID: "2", PromptTokens: 1000}
		begin(whole)
		time.Sleep(time.Second)
		if wait() != 0 {
			t.Errorf("%d ms expected of an idle engine", wait())
		}
	})
}
