package plat

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestUnframedBytes guards against an object or weights that were cut off and pass for whole, because the end of the connection ended them.
func TestUnframedBytes(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
	}))
	defer srv.Close()
	c := New(Settings{Objects: srv.URL, Weights: srv.URL, Timeout: time.Second}, srv.Client())
	if got, err := c.ObjectsClient().Get(t.Context(), "backup"); err == nil {
		t.Errorf("the object %q passed for whole", got)
	}
	if body, err := c.Open(t.Context(), "m"); err == nil {
		_ = body.Close()
		t.Error("weights without a length or chunks were opened")
	}
}
