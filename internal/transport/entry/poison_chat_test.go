package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/route"
	"chervilhead/internal/transport/peer"
)

// sendChat sends a chat through an entry and returns the status and the error code. The
// long first message is the same for all chats, so that they have the same homes.
func (f *crashFleet) sendChat(entry int, last string) (int, string) {
	first := strings.Repeat("the same first message ", 400)
	return f.post(entry, openai.PathChat, fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q},{"role":"assistant","content":"yes"},{"role":"user","content":%q}]}`, first, last))
}

// TestChatPoisonBound guards against a chat that crashes more than three engines because
// it runs outside its homes while they are busy with chats that have the same prefix.
func TestChatPoisonBound(t *testing.T) {
	for _, copies := range []int{1, 20} {
		t.Run(fmt.Sprint("copies=", copies), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(t, 12)
				logHook := logtest.NewLocal(f.log.Logger)
				var wg sync.WaitGroup
				for i := range 400 {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * 5 * time.Millisecond)
						f.sendChat(i%2, fmt.Sprint("innocent ", i))
					})
				}
				for range 10 {
					time.Sleep(200 * time.Millisecond)
					for i := range copies {
						wg.Go(func() { f.sendChat(i%2, "crash") })
					}
				}
				wg.Wait()
				time.Sleep(10 * time.Second)
				for i := range 2 {
					if _, code := f.sendChat(i, "crash"); code != fault.CodeCrashesEngines {
						t.Errorf("entry %d answers the blocked chat with code %q", i, code)
					}
				}
				if engines, all := f.crashes(); all > 3 {
					t.Errorf("%d crashes on %d engines, want at most 3", all, engines)
				}
				if !slices.ContainsFunc(logHook.AllEntries(), func(l *logrus.Entry) bool { return l.Data["reason"] == route.ReasonHomesBusy }) {
					t.Error("no chat ran outside its homes, so the bound was not tested")
				}
			})
		})
	}
}

// TestChatHomes guards against an entry and agents that disagree on the homes of a request,
// so that each one waits for another agent's permit.
func TestChatHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(t, 40)
		var permits atomic.Int64
		for id, h := range f.handlers {
			f.handlers[id] = peer.HandlerFunc(func(ctx context.Context, c *peer.Conn, method string, params json.RawMessage) (any, error) {
				if method == wire.MethodPermit {
					permits.Add(1)
				}
				return h.Serve(ctx, c, method, params)
			})
		}
		for i := range 50 {
			if status, code := f.sendChat(i%2, fmt.Sprint("turn ", i)); status != http.StatusOK {
				t.Fatalf("status %d, code %q", status, code)
			}
			if status, code := f.send(i%2, fmt.Sprint("prompt ", i)); status != http.StatusOK {
				t.Fatalf("status %d, code %q", status, code)
			}
		}
		if n := permits.Load(); n > 0 {
			t.Errorf("%d permits requested in an idle fleet", n)
		}
	})
}
