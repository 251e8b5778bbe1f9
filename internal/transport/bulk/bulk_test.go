package bulk

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// part is a part of a body that arrives after a pause.
type part struct {
	after time.Duration
	bytes int
}

// slowBody is a body whose parts arrive one after the other.
type slowBody struct {
	parts []part
	ended <-chan struct{}
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	next := &b.parts[0]
	select {
	case <-time.After(next.after):
	case <-b.ended:
		return 0, io.ErrUnexpectedEOF
	}
	next.after = 0
	n := min(len(p), next.bytes)
	if next.bytes -= n; next.bytes == 0 {
		b.parts = b.parts[1:]
	}
	return n, nil
}

func (b *slowBody) Close() error { return nil }

func parts(n, bytes int, pause time.Duration) []part {
	list := make([]part, n)
	for i := range list {
		list[i] = part{pause, bytes}
	}
	return list
}

// TestRead guards against a body that is given up while it arrives, and against one that never ends, stalls, trickles or is too long.
func TestRead(t *testing.T) {
	limits := Limits{Head: time.Second, Stall: 700 * time.Millisecond, MinRate: 32 << 10, Bytes: 4 << 20}
	for name, tc := range map[string]struct {
		parts  []part
		length int64
		want   error
		within time.Duration
	}{
		"empty":                     {nil, 0, nil, 0},
		"at 10 Mbit/s":              {parts(64, 64<<10, 52*time.Millisecond), -1, nil, 3400 * time.Millisecond},
		"pauses below the limit":    {parts(10, 64<<10, 600*time.Millisecond), -1, nil, 6100 * time.Millisecond},
		"stalls":                    {append(parts(5, 64<<10, 50*time.Millisecond), part{time.Hour, 1}), -1, ErrStopped, 1100 * time.Millisecond},
		"no byte":                   {parts(1, 1, time.Hour), -1, ErrStopped, 800 * time.Millisecond},
		"a byte now and then":       {parts(1000, 1, 500*time.Millisecond), -1, ErrStopped, 1300 * time.Millisecond},
		"too long":                  {parts(5000, 64<<10, 0), -1, ErrTooLong, 0},
		"too long by its head":      {parts(1, 1, time.Hour), 5 << 20, ErrTooLong, 0},
		"as long as its head names": {parts(4, 1<<20, 100*time.Millisecond), 4 << 20, nil, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				want := 0
				for _, p := range tc.parts {
					want += p.bytes
				}
				ctx, call, cancel := New(t.Context(), limits, nil)
				defer cancel()
				began := time.Now()
				data, err := call.Read(&http.Response{Body: &slowBody{parts: tc.parts, ended: ctx.Done()}, ContentLength: tc.length})
				if took := time.Since(began); !errors.Is(err, tc.want) || err == nil && len(data) != want || took > tc.within {
					t.Errorf("%d of %d bytes after %v, error %v; want %v within %v", len(data), want, took, err, tc.want, tc.within)
				}
			})
		})
	}
}
