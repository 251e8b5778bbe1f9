package proxy

import (
	"bytes"
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/state/fleet"
)

// TestKeyLease guards against a request whose lease has ended and that runs, or is answered 401
// for a key that a newer configuration may have, and against one refused before the lease ends.
func TestKeyLease(t *testing.T) {
	e := startEndpoint(t, serveOK)
	g := startKeyedGateway(t, fleet.AtMostOnce, e)
	const now = time.Hour
	strict := Revocation{Strict: true, Bound: 5 * time.Second}
	for _, tc := range []struct {
		name       string
		revocation Revocation
		// age is that of the proof; a negative one means that there is none.
		age       time.Duration
		path, key string
		status    int
	}{
		{"fresh", strict, time.Second, "/a/x", "key-one", 200},
		{"just before the end", strict, 4890 * time.Millisecond, "/a/x", "key-one", 200},
		{"at the end", strict, 4900 * time.Millisecond, "/a/x", "key-one", 503},
		{"frozen for a day", strict, 24 * time.Hour, "/a/x", "key-one", 503},
		{"never proven", strict, -1, "/a/x", "key-one", 503},
		{"unknown key after the end", strict, time.Minute, "/a/x", "unknown", 503},
		{"missing key after the end", strict, time.Minute, "/a/x", "", 503},
		{"unknown key with a fresh proof", strict, time.Second / 2, "/a/x", "unknown", 401},
		{"public route after the end", strict, time.Minute, "/public/x", "", 200},
		{"not strict", Revocation{Bound: 5 * time.Second}, time.Minute, "/a/x", "key-one", 200},
	} {
		v := *g.view.Load()
		v.ConfigConfirmedAt = time.Now()
		v.ConfigProven, v.ConfigProvenAt = tc.age >= 0, now-tc.age
		g.view.Store(&v)
		g.handler.cfg.Revocation, g.handler.cfg.Elapsed = tc.revocation, func() time.Duration { return now }
		before := e.requests.Load()
		header := map[string]string{"Api-Key": tc.key}
		if tc.key == "" {
			header = nil
		}
		a, err := g.do(context.Background(), t, "GET", tc.path, header, "")
		if err != nil || a.status != tc.status || tc.status == 503 && (a.header.Get("Retry-After") == "" || a.body != refusedUnconfirmed+"\n") {
			t.Errorf("%s: response %+v, error %v, want status %d", tc.name, a, err, tc.status)
		}
		if ran := e.requests.Load() > before; ran != (tc.status == 200) {
			t.Errorf("%s: the request ran: %v", tc.name, ran)
		}
	}
}

// TestRevocationBound guards against a request that runs though it was sent later than the bound
// after its key was removed, whenever the gateway hears of that and however long it is frozen.
func TestRevocationBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		r := Revocation{Strict: true, Bound: 5 * time.Second}
		revoked := time.Hour
		// The key is still in the view, so the view's proof is from before the removal, give or
		// take the inaccuracy of the clocks.
		v := &watch.View{ConfigProven: true, ConfigProvenAt: revoked + 50*time.Millisecond - draw("proof", 20*time.Second)}
		sent := revoked + r.Bound + 1 + draw("sent", time.Minute)
		if arrived := sent + draw("in buffer", time.Minute); r.proves(v, arrived) {
			t.Fatalf("a request sent %v after the removal runs by a proof of %v", sent-revoked, v.ConfigProvenAt-revoked)
		}
	})
}

// lockedBuffer is a buffer that several goroutines write.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// TestKeysStayOutOfLogs guards against a key in a log line or an answer, and against a refusal
// whose log line doesn't say why.
func TestKeysStayOutOfLogs(t *testing.T) {
	g := startKeyedGateway(t, fleet.AtMostOnce, startEndpoint(t, closeConnection))
	var log lockedBuffer
	g.handler.log.Logger.SetOutput(&log)
	for _, key := range []string{"key-one", "secret-unknown", "secret-unknown", "secret,malformed", ""} {
		a, err := g.do(context.Background(), t, "GET", "/a/x", map[string]string{"Api-Key": key}, "")
		if err != nil || strings.Contains(a.body, "secret") {
			t.Errorf("key %q: response %+v, error %v", key, a, err)
		}
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	text := log.String()
	if strings.Contains(text, "secret") || strings.Contains(text, "key-one") {
		t.Errorf("the log holds a key:\n%s", text)
	}
	prints := regexp.MustCompile(`key_fingerprint=([0-9a-f]{8})\b`).FindAllStringSubmatch(text, -1)
	if len(prints) != 2 || prints[0][1] != prints[1][1] {
		t.Errorf("fingerprints %v, want two equal ones:\n%s", prints, text)
	}
	if strings.Count(text, "config_confirmed_age_ms=") != 4 || strings.Count(text, "refusal="+refusedMalformed) != 2 || strings.Count(text, "config=2") < 4 {
		t.Errorf("a refusal doesn't say why:\n%s", text)
	}
}
