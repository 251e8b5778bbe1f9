package demo

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"chervilhead/internal/standin/svcsim"
)

type response struct {
	status int
	header http.Header
	body   string
}

// send sends a request of group registry through one entry. A non-empty key is its idempotency
// key and marks it as non-idempotent.
func send(t *testing.T, d *Demo, entry int, method, path, key, body string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.CallerAddresses()[entry]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+RegistryGroupKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Chervilhead-Idempotent", "false")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, string(data)}
}

func serviceExecutions(t *testing.T, d *Demo) int {
	t.Helper()
	var c svcsim.CountReply
	got := send(t, d, 0, http.MethodGet, "/services/confirm/count", "", "")
	if err := json.Unmarshal([]byte(got.body), &c); err != nil {
		t.Fatal(err)
	}
	return c.Count
}

// TestIdempotencyKeyRunsOnce guards against a second execution of a request with the same
// idempotency key, and against a resend that gets anything but the recorded outcome, for
// services, answers in one piece and streams.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	d := startDemo(t)
	for _, tc := range []struct{ name, path, body, other string }{
		{"service", "/services/confirm/run", "bib 7", "bib 8"},
		{"large service answer", "/services/confirm/run", strings.Repeat("bib ", 20_000), "bib 8"},
		{"whole", "/v1/completions", `{"model":"corral-00","prompt":"x"}`, `{"model":"corral-00","prompt":"y"}`},
		{"stream", "/v1/completions", `{"model":"corral-00","prompt":"x","stream":true}`, `{"model":"corral-00","prompt":"x"}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := serviceExecutions(t, d)
			first := send(t, d, 0, http.MethodPost, tc.path, tc.name[:5], tc.body)
			for entry := range 2 {
				got := send(t, d, entry, http.MethodPost, tc.path, tc.name[:5], tc.body)
				if got.body != first.body || got.status != first.status || got.header.Get("Idempotent-Replayed") != "true" || got.header.Get("Chervilhead-Outcome") != "complete" {
					t.Errorf("resend through entry %d: status %d, header %v, %d bytes; first status %d, %d bytes", entry, got.status, got.header, len(got.body), first.status, len(first.body))
				}
			}
			if got := send(t, d, 1, http.MethodPost, tc.path, tc.name[:5], tc.other); got.status != http.StatusUnprocessableEntity {
				t.Errorf("another body under the key: status %d", got.status)
			}
			if n := serviceExecutions(t, d) - before; strings.HasPrefix(tc.path, "/services") && n != 1 {
				t.Errorf("the service ran %d times", n)
			}
		})
	}
	t.Run("concurrent requests", func(t *testing.T) {
		before := serviceExecutions(t, d)
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				got := send(t, d, i%2, http.MethodPost, "/services/confirm/run", "race", "bib 9")
				if got.status != http.StatusCreated && (got.status != http.StatusConflict || got.header.Get("Retry-After") == "") {
					t.Errorf("status %d, header %v", got.status, got.header)
				}
			})
		}
		wg.Wait()
		if n := serviceExecutions(t, d) - before; n != 1 {
			t.Errorf("the service ran %d times", n)
		}
	})
	t.Run("table service unavailable", func(t *testing.T) {
		before := serviceExecutions(t, d)
		d.platform.Faults.SetUnavailable(true)
		defer d.platform.Faults.SetUnavailable(false)
		got := send(t, d, 0, http.MethodPost, "/services/confirm/run", "away", "bib 10")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Chervilhead-Outcome") != "not_run" || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d, header %v", got.status, got.header)
		}
		if n := serviceExecutions(t, d) - before; n != 0 {
			t.Errorf("the service ran %d times", n)
		}
	})
}
