package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
)

// sendMessages sends a chat of user messages through an entry and returns the status and the error code.
func (f *crashFleet) sendMessages(entry int, messages ...string) (int, string) {
	list := make([]string, 0, len(messages))
	for _, m := range messages {
		list = append(list, fmt.Sprintf(`{"role":"user","content":%q}`, m))
	}
	return f.post(entry, openai.PathChat, `{"model":"m","messages":[`+strings.Join(list, ",")+`]}`)
}

// TestSharedMessagePoisonBound guards against chats that share one message, and nothing else, crashing engine after engine.
func TestSharedMessagePoisonBound(t *testing.T) {
	const calm, firstCrashes, maxLate = 3 * time.Second, 5, 3
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 12)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var fifth time.Time
		atFifth, sound, served := 0, 0, 0
		for i := range 120 {
			time.Sleep(150 * time.Millisecond)
			wg.Go(func() {
				status, _ := f.sendMessages(i%2, "the same first message", fmt.Sprint("sound ", i))
				mu.Lock()
				defer mu.Unlock()
				if sound++; status == http.StatusOK {
					served++
				}
			})
			if i%4 == 3 {
				wg.Go(func() { f.sendMessages(i%2, "the same first message", "this will crash it", fmt.Sprint("another ", i)) })
			}
			if _, all := f.crashes(); all >= firstCrashes && fifth.IsZero() {
				fifth = time.Now()
			}
			if !fifth.IsZero() && atFifth == 0 && time.Since(fifth) > calm {
				_, atFifth = f.crashes()
			}
		}
		wg.Wait()
		time.Sleep(5 * time.Second)
		engines, all := f.crashes()
		t.Logf("%d engines crashed, %d crashes, %d of %d sound chats served", engines, all, served, sound)
		if atFifth > 0 && all-atFifth > maxLate {
			t.Errorf("%d crashes later than %v after crash number %d, want at most %d", all-atFifth, calm, firstCrashes, maxLate)
		}
		if served < sound*9/10 {
			t.Errorf("%d of %d sound chats were served", served, sound)
		}
		for i := range 2 {
			if _, code := f.sendMessages(i, "yet another chat", "this will crash it", "with other messages"); code != fault.CodeCrashesEngines {
				t.Errorf("entry %d answers a chat with the message with code %q", i, code)
			}
			if status, code := f.sendMessages(i, "the same first message", "without the other"); status != http.StatusOK {
				t.Errorf("entry %d answers a sound chat with status %d, code %q", i, status, code)
			}
		}
	})
}
