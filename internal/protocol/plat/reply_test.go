package plat

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
)

// fixedTransport replies to every request with the same status and body.
type fixedTransport struct {
	status int
	body   []byte
}

func (f fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: f.status, Body: io.NopCloser(bytes.NewReader(f.body))}, nil
}

// FuzzReply guards against a reply of the platform that crashes a process, or that is
// neither accepted nor reported as a typed error.
func FuzzReply(f *testing.F) {
	f.Add(200, []byte(`{"version":3,"rows":[{"key":"k","value":"e30=","version":2}],"partial":true,"gone":["g"]}`))
	f.Add(200, []byte(`{"hosts":[{"id":"a","role":"agent","address":"1.2.3.4:5","state":"live"}],"version":18446744073709551615}`))
	f.Add(200, []byte(`{"rows":[{"value":"not base64"}]}`))
	f.Add(200, []byte(`[[[[`))
	f.Add(409, []byte(`{}`))
	f.Add(404, []byte(nil))
	f.Add(503, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c := New(Settings{Timeout: time.Minute, RateLimits: RateLimits{TableReads: 1e9, TableWrites: 1e9, Objects: 1e9, Hosts: 1e9}}, &http.Client{Transport: fixedTransport{status, body}})
		ctx := t.Context()
		_, read := c.Read(ctx, "p")
		_, since := c.ReadSince(ctx, "p", 1)
		_, get := c.Get(ctx, "k")
		_, commit := c.Commit(ctx, store.Txn{})
		_, object := c.ObjectsClient().Get(ctx, "o")
		_, hosts := c.ListSince(ctx, 1)
		for _, err := range []error{read, since, get, commit, object, hosts} {
			switch {
			case err == nil && status/100 != 2:
				t.Fatalf("status %d gives no error", status)
			case err == nil, errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
			case fault.As(err).Kind != fault.Unavailable:
				t.Fatalf("status %d, %q: untyped error %v", status, body, err)
			}
		}
	})
}
