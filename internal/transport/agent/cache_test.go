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

// direct sends HTTP requests to a handler without a network.
type direct struct{ http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w.Result(), nil
}

// chatStart returns the attempt of a chat whose messages have 100 words each.
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

// TestCacheEvents guards against an agent that claims prompts its engine has evicted,
// trusts old claims after a gap in the events, or keeps claims over a restart.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engsim.New(engsim.Settings{MemoryTotalBytes: 100, Slots: 1, LoadBytesPerSecond: 100, PrefixBlocks: 24}, pltsim.NewWeights(&pltsim.Faults{}, 2, 3))
		defer e.Close()
		if err := e.Order(engine.Order{ID: "o", Kind: engine.OrderLoad, Model: "m", MemoryBytes: 10}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		log := logrus.New()
		log.SetOutput(io.Discard)
		client := engine.New("http://engine", &http.Client{Transport: direct{e.Handler()}})
		a := New(t.Context(), Settings{ID: "a", Slots: 1}, EngineBackend{Engine: client}, gossip.NewStore(), log.WithField("t", ""))
		run := func(s wire.Start) {
			a.nameBlocks(s)
			a.mu.Lock()
			a.prompts.held.Add(s.Prefix)
			a.mu.Unlock()
			if end := a.backend.run(t.Context(), s, "", func(json.RawMessage) {}); end.Error != nil {
				t.Fatal(end.Error)
			}
			a.ReadCacheEvents(t.Context(), client)
		}
		claims := func(s wire.Start) int { return a.probe(wire.Probe{Model: "m", Prefix: s.Prefix}).CachedTokens }
		first, second, third := chatStart("1", "rules", "apple"), chatStart("2", "rules", "pear"), chatStart("3", "other", "plum")
		run(first)
		run(second)
		whole, shared := first.Prefix[1].Tokens, first.Prefix[0].Tokens
		if claims(first) != whole || claims(second) != second.Prefix[1].Tokens {
			t.Fatalf("%d and %d tokens claimed, want both prompts", claims(first), claims(second))
		}
		run(third) // takes the place of the six blocks that only the first prompt has
		if n := claims(first); n != shared {
			t.Errorf("%d tokens of an evicted prompt claimed", n)
		}
		if n := claims(third); n != third.Prefix[1].Tokens {
			t.Errorf("%d tokens of the newest prompt claimed", n)
		}
		for i := range 100 { // 1,200 events, of which the engine keeps 1,024
			if end := a.backend.run(t.Context(), chatStart(fmt.Sprint("x", i), fmt.Sprint("new", i)), "", func(json.RawMessage) {}); end.Error != nil {
				t.Fatal(end.Error)
			}
		}
		a.ReadCacheEvents(t.Context(), client)
		if n := claims(third); n >= third.Prefix[1].Tokens {
			t.Errorf("%d tokens claimed after a gap", n)
		}
		a.SetEngineState(&engine.State{Incarnation: "new"})
		if n := claims(third); n != 0 {
			t.Errorf("%d tokens claimed after a restart", n)
		}
	})
}

// TestPromptWait guards against a load report that hides the prompts being computed,
// and against prompts that stay counted after their attempts ended.
func TestPromptWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		a := New(t.Context(), Settings{ID: "a", Slots: 4}, EngineBackend{}, gossip.NewStore(), log.WithField("t", ""))
		wait := func() int64 { return a.probe(wire.Probe{Model: "m"}).WaitMillis }
		begin := func(s wire.Start) *attempt {
			at := &attempt{start: s, began: time.Now()}
			a.mu.Lock()
			defer a.mu.Unlock()
			a.promptBegun(at)
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
			t.Errorf("%d ms expected, want %d: the second prompt is cached in part", wait(), want)
		}
		time.Sleep(400 * time.Millisecond) // four times as long as expected
		a.promptDone(slow, true)
		if per := a.probe(wire.Probe{Model: "m"}).PromptTokenNanos; per <= defaultPerToken.Nanoseconds() {
			t.Errorf("%d ns per token learned of a slow engine", per)
		}
		a.promptDone(again, false)
		a.promptDone(again, false) // an attempt ends after its first item
		whole := wire.Start{AttemptID: "2", PromptTokens: 1000}
		begin(whole)
		time.Sleep(time.Second)
		if wait() != 0 {
			t.Errorf("%d ms expected of an idle engine", wait())
		}
	})
}
