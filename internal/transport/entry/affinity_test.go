package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilhead/internal/protocol/openai"
)

// chat sends a chat with the given number of earlier turns. The prompt field tells the fake
// engine the request's id and its number of tokens.
func (f *testFleet) chat(t *testing.T, id string, first string, turns int) (status int) {
	t.Helper()
	messages := []string{fmt.Sprintf(`{"role":"system","content":%q}`, strings.Repeat("rules ", 200)), fmt.Sprintf(`{"role":"user","content":%q}`, first)}
	for i := range turns {
		messages = append(messages, `{"role":"assistant","content":"yes"}`, fmt.Sprintf(`{"role":"user","content":%q}`, strings.Repeat(fmt.Sprint(id, i, " "), 100)))
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s 10","messages":[%s]}`, testModel, id, strings.Join(messages, ","))
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, openai.PathChat, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	w := httptest.NewRecorder()
	f.entry.Handler().ServeHTTP(w, req)
	return w.Code
}

// hostsThatRan returns the indexes of the hosts that ran a request.
func (f *testFleet) hostsThatRan(id string) (hosts []int) {
	for i, h := range f.hosts {
		if n, _ := h.engine.runs(id); n > 0 {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

// TestPrefixAffinity guards against later turns of a chat running elsewhere than on the
// endpoint that has their prefix cached, although that endpoint is no busier than others.
func TestPrefixAffinity(t *testing.T) {
	inBubble(t, 8, perToken, func(t *testing.T, f *testFleet) {
		for c := range 20 {
			first := strings.Repeat(fmt.Sprint("chat", c, " "), 50)
			for turn := range 5 {
				id := fmt.Sprintf("c%d-%d", c, turn)
				if status := f.chat(t, id, first, turn); status != http.StatusOK {
					t.Fatalf("%s: status %d", id, status)
				}
				if at, before := f.hostsThatRan(id), f.hostsThatRan(fmt.Sprintf("c%d-0", c)); len(at) != 1 || at[0] != before[0] {
					t.Errorf("%s ran on %v, the first turn on %v", id, at, before)
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// TestSharedPrefixLoad guards against chats with a shared prefix that overload their two
// homes while other endpoints are idle.
func TestSharedPrefixLoad(t *testing.T) {
	inBubble(t, 8, perToken, func(t *testing.T, f *testFleet) {
		first := strings.Repeat("the same first message ", 50)
		var wg sync.WaitGroup
		const chats = 64
		for c := range chats {
			wg.Go(func() {
				if status := f.chat(t, fmt.Sprint("c", c), first, 1); status != http.StatusOK {
					t.Errorf("chat %d: status %d", c, status)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		used := 0
		for _, h := range f.hosts {
			h.engine.mu.Lock()
			if h.engine.runCount > 0 {
				used++
			}
			h.engine.mu.Unlock()
		}
		// Two endpoints with two slots each run 20 of these per second; 50 per second arrive.
		if used < len(f.hosts)/2 {
			t.Errorf("%d of %d endpoints ran chats with the shared prefix", used, len(f.hosts))
		}
	})
}
