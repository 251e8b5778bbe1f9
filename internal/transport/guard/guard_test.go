package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/intake"
)

// serve starts a server that answers with the length of the body, or with the error of reading it,
// and with the trailer X-T. A path that begins with /unread isn't read.
func serve(t *testing.T, bytes int64, connections int) (*Guard, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Settings{
		Name: "test", Limits: intake.DefaultLimits(bytes, connections, 16<<10, 300*time.Millisecond), LingerTime: 2 * time.Second, RetryAfter: time.Second,
	}, nil, logrus.NewEntry(log))
	l, err := g.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/unread") {
			http.Error(w, "unread", http.StatusNotFound)
			return
		}
		body, err := ReadBody(w, r, 4<<20, time.Now().Add(5*time.Second), 1)
		switch {
		case err == nil:
			fmt.Fprintf(w, "%d %s", body.Len(), r.Trailer.Get("X-T"))
		case errors.Is(err, ErrTooLarge):
			http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrMemory):
			http.Error(w, "memory", http.StatusServiceUnavailable)
		case errors.Is(err, ErrStalled):
			http.Error(w, "stalled", http.StatusRequestTimeout)
		default:
			http.Error(w, "broken", http.StatusBadRequest)
		}
	})
	srv := &http.Server{Handler: g.Handler(h), ConnContext: g.Context, ConnState: g.Observe, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return g, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func answer(br *bufio.Reader) string {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s closes %t error %v", resp.StatusCode, strings.TrimSpace(string(body)), resp.Close, err)
}

// TestAnswers guards against requests that are answered otherwise because their connection is guarded, and against a body that breaks off and counts as whole.
func TestAnswers(t *testing.T) {
	const post = "POST /x HTTP/1.1\r\nHost: h\r\n"
	for _, tc := range []struct {
		name, sent string
		// ends says that the client sends nothing more.
		ends bool
		want []string
	}{
		{"pipelined requests", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" + post + "Content-Length: 2\r\n\r\nok" + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", false, []string{"200 0 closes false error <nil>", "200 2 closes false error <nil>", "200 0 closes false error <nil>"}},
		{"chunks and a trailer", post + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: end\r\n\r\n" + post + "Content-Length: 1\r\n\r\no", false, []string{"200 2 end closes false error <nil>", "200 1 closes false error <nil>"}},
		{"a chunked body that breaks off", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, []string{"400 broken closes true error <nil>"}},
		{"a body with a length that breaks off", post + "Content-Length: 3\r\n\r\nok", true, []string{"400 broken closes true error <nil>"}},
		{"a body that waits to be asked for", post + "Expect: 100-continue\r\nContent-Length: 5000000\r\n\r\n", false, []string{"413 too large closes true error <nil>"}},
		{"an unread body that is there", "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok", false, []string{"404 unread closes true error <nil>"}},
		{"an unread body that never ends", "POST /unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, []string{"404 unread closes true error <nil>"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, address := serve(t, 32<<20, 10)
			c := dial(t, address)
			if _, err := io.WriteString(c, tc.sent); err != nil {
				t.Fatal(err)
			}
			if tc.ends {
				_ = c.(*net.TCPConn).CloseWrite()
			}
			br := bufio.NewReader(c)
			for i, want := range tc.want {
				if got := answer(br); got != want {
					t.Errorf("answer %d: %q, want %q", i, got, want)
				}
			}
			_ = c.Close()
			for end := time.Now().Add(5 * time.Second); g.State() != (intake.State{}); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%+v is still counted after the connection's end", g.State())
				}
			}
		})
	}
}

// TestStalledBodiesGiveWay guards against unfinished bodies that keep ordinary callers out, and against a refusal that doesn't reach the client that stalls.
func TestStalledBodiesGiveWay(t *testing.T) {
	_, address := serve(t, 4<<20, 100)
	var stalled []net.Conn
	for range 3 {
		c := dial(t, address)
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1100000\r\n\r\n"+strings.Repeat("b", 1_090_000))
		stalled = append(stalled, c)
	}
	time.Sleep(time.Second)
	c := dial(t, address)
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1100000\r\n\r\n"+strings.Repeat("b", 1_100_000)); err != nil {
		t.Fatal(err)
	}
	if got, want := answer(bufio.NewReader(c)), "200 1100000 closes false error <nil>"; got != want {
		t.Errorf("an ordinary caller got %q, want %q", got, want)
	}
	if got, want := answer(bufio.NewReader(stalled[0])), "408 stalled closes true error <nil>"; got != want {
		t.Errorf("the client that stalled first got %q, want %q", got, want)
	}
}

// TestConnectionLimit guards against silent connections that keep callers out, and against one with a request in progress that is closed for a newcomer.
func TestConnectionLimit(t *testing.T) {
	g, address := serve(t, 32<<20, 4)
	busy := dial(t, address)
	_, _ = io.WriteString(busy, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for sent := 0; sent < 200_000; sent += 10_000 {
			_, _ = io.WriteString(busy, strings.Repeat("b", 10_000))
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	for range 20 {
		dial(t, address)
	}
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	if got, want := answer(bufio.NewReader(c)), "200 0 closes false error <nil>"; got != want {
		t.Errorf("a newcomer got %q, want %q", got, want)
	}
	if got, want := answer(bufio.NewReader(busy)), "200 200000 closes false error <nil>"; got != want {
		t.Errorf("the request in progress got %q, want %q", got, want)
	}
	if n := g.State().Connections; n > 4 {
		t.Errorf("%d connections, want at most 4", n)
	}
}
