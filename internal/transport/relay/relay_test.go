package relay

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

// TestReadConfig guards against a configuration that is cut off, too long or missing and is taken for one, and against a gateway that never answers.
func TestReadConfig(t *testing.T) {
	var data []byte
	srv, err := Listen("127.0.0.1:0", func() []byte { return data })
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
		{"too long", srv.Address(), strings.Repeat("x", maxConfigBytes+1), false},
		{"silent", silent.Addr().String(), "", false},
		{"no address", "gateway", "", false},
		{"port out of range", "127.0.0.1:70000", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data = []byte(tc.config)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			got, err := c.ReadConfig(ctx, tc.address)
			if (err == nil) != tc.ok || tc.ok && string(got) != tc.config {
				t.Errorf("%d bytes, error %v", len(got), err)
			}
		})
	}
}
