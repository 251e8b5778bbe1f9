package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func postCompletion(t *testing.T, addr, key, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestLimit guards against a limit that the two entries together exceed, and against one that
// does not come into force after its edit was accepted.
func TestLimit(t *testing.T) {
	d := startDemo(t)
	setLimit(t, d, 1)
	long := `{"model":"corral-01","stream":true,"max_tokens":3000,"prompt":"%d"}`
	var stream *http.Response
	for i := 0; stream == nil && t.Context().Err() == nil; i++ {
		if i == 400 {
			t.Fatal("no entry admits a request under the limit")
		}
		resp := postCompletion(t, d.CallerAddresses()[i%2], RecallGroupKey, fmt.Sprintf(long, i))
		if resp.StatusCode == http.StatusOK && limitInForce(t, d) {
			stream = resp
			break
		}
		// The limit is not leased yet, or this request ran before it was in force.
		_ = resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
	defer stream.Body.Close()
	for _, addr := range d.CallerAddresses() {
		resp := postCompletion(t, addr, RecallGroupKey, `{"model":"corral-02","max_tokens":1,"prompt":"x"}`)
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("entry %s: status %d, body %s", addr, resp.StatusCode, body)
		}
		if resp.Header.Get("Retry-After") == "" || resp.Header.Get("Chervilhead-Outcome") != "not_run" {
			t.Errorf("rejection has header %v", resp.Header)
		}
	}
	resp := postCompletion(t, d.CallerAddresses()[0], RegistryGroupKey, `{"model":"corral-02","max_tokens":1,"prompt":"x"}`)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("other group's request: status %d", resp.StatusCode)
	}
}

func setLimit(t *testing.T, d *Demo, n int) {
	t.Helper()
	body := fmt.Sprintf(`{"weight":1,"queue_bound":256,"priority_ceiling":9,"max_concurrent":%d}`, n)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+d.AdminAddress()+"/admin/v1/table/groups/recall", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	req.Header.Set("If-Match", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("edit: status %d", resp.StatusCode)
	}
}

// limitInForce reports whether both entries have the edited table.
func limitInForce(t *testing.T, d *Demo) bool {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.AdminAddress()+"/admin/v1/status", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var status struct {
		Nodes []struct {
			Role     string `json:"role"`
			Revision uint64 `json:"revision"`
		} `json:"nodes"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	for _, n := range status.Nodes {
		if n.Role == "entry" && n.Revision < 2 {
			return false
		}
	}
	return true
}
