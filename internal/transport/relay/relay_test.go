package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReadConfig guards against a configuration that is cut off, too long or missing and is taken for one, and against a gateway that never answers.
func TestReadConfig(t *testing.T) {
	var data []byte
	srv, err := Listen("127.0.0.1:0", func(context.Context) (Held, error) { return Held{Version: 7, Data: data}, nil })
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	c := NewClient()
	for _, tc := range []struct {
		name, address, config string
		ok                    bool
	}{
		{"in force", srv.Address(), `{"version":7}`, true},
		{"none", srv.Address(), "", false},
		{"too long", srv.Address(), strings.Repeat("x", limits.Bytes+1), false},
		{"silent", silent.Addr().String(), "", false},
		{"no address", "gateway", "", false},
		{"port out of range", "127.0.0.1:70000", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data = []byte(tc.config)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			got, err := c.ReadConfig(ctx, tc.address, 0)
			if (err == nil) != tc.ok || tc.ok && string(got) != tc.config {
				t.Errorf("%d bytes, error %v", len(got), err)
			}
		})
	}
}

// TestCompressedConfig guards against a configuration that is sent at its full length to each gateway that asks, or that is of an earlier version.
func TestCompressedConfig(t *testing.T) {
	data := []byte(`{"version":1,"padding":"` + strings.Repeat("route ", 200_000) + `"}`)
	srv, err := Listen("127.0.0.1:0", func(context.Context) (Held, error) { return Held{Version: 7, Data: data}, nil })
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	for _, version := range []string{"1", "2", "2"} {
		data = []byte(strings.Replace(string(data), `"version":1`, `"version":`+version, 1))
		got, err := NewClient().ReadConfig(t.Context(), srv.Address(), 6)
		if err != nil || string(got) != string(data) {
			t.Errorf("version %s: %d bytes, error %v", version, len(got), err)
		}
	}
	if got, err := NewClient().ReadConfig(t.Context(), srv.Address(), 7); err != nil || got != nil {
		t.Errorf("a gateway that has the version gets %d bytes, error %v", len(got), err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+srv.Address()+configPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Accept-Encoding", "gzip")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ContentLength > int64(len(data)/5) {
		t.Errorf("%d bytes are sent for a configuration of %d", resp.ContentLength, len(data))
	}
}
