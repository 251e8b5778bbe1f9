package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilhead/platform"
	"chervilhead/platform/stub"
)

// Client is one client with a connection to each gateway that it uses.
type Client struct {
	ledger *Checker
	names  names
	prompt string
	tokens string

	mu    sync.Mutex
	conns map[string]*callerConn
}

type callerConn struct {
	net.Conn
	br *bufio.Reader
}

// NewClient returns a client.
func NewClient(l *Checker) *Client {
	h := platform.Headers()
	return &Client{ledger: l, names: headerNames(), prompt: h.PromptPrefix, tokens: h.TokenCounts, conns: map[string]*callerConn{}}
}

// Request is one attempt of a client.
type Request struct {
	Gateway string
	Route   stub.Route
	// Path is added to the route's prefix.
	Path     string
	Model    string
	Body     string
	Deadline time.Duration
	// CancelAfter ends the call after a time, if it is above zero: the client leaves.
	CancelAfter time.Duration
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed is a whole success.
	OutcomeServed Outcome = iota
	// OutcomeRefused is a promise that the request hasn't run.
	OutcomeRefused
	// OutcomeFailed is any other whole answer.
	OutcomeFailed
	// OutcomeNotSent means that the gateway didn't read the request.
	OutcomeNotSent
	// OutcomeConnectionLost means that the connection ended without a whole answer.
	OutcomeConnectionLost
	// OutcomeTimedOut means that no whole answer came until half a second after the deadline.
	OutcomeTimedOut
	// OutcomeCancelled means that the client left.
	OutcomeCancelled
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "not_sent", "broken", "overdue", "left"}[o]
}

// Result is an attempt's end.
type Result struct {
	ID      string
	Outcome Outcome
	Status  int
	// ConnClose is set when the answer said that the connection closes.
	ConnClose bool
	Detail    string
}

var callNumber atomic.Uint64

// lossSlack is how long after it was sent a request that no endpoint has got may end with
// its connection, by the platform's contract.
const lossSlack = 200 * time.Millisecond

// late is how long after its deadline a client still waits for an answer.
const late = 500 * time.Millisecond

// Do sends one request and checks its answer. A connection is used again until the
// gateway closes it; a caller has one request at a time.
func (c *Client) Do(call Request) Result {
	res := Result{ID: fmt.Sprintf("r%08x-%d", rand.Uint32(), callNumber.Add(1))}
	target := call.Route.Prefix + call.Path
	c.ledger.ask(res.ID, &ask{method: http.MethodPost, target: target, model: call.Model, body: call.Body, once: call.Route.Kind == stub.KindOnce})
	conn, kept, err := c.conn(call.Gateway)
	if err != nil {
		return res.with(OutcomeNotSent, err.Error())
	}
	defer func() {
		if res.Outcome != OutcomeServed && res.Outcome != OutcomeRefused && res.Outcome != OutcomeFailed || res.ConnClose {
			c.drop(call.Gateway)
		}
	}()
	wait := call.Deadline + late
	if call.CancelAfter > 0 {
		wait = call.CancelAfter
	}
	_ = conn.SetDeadline(time.Now().Add(wait))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", target, call.Route.Host, c.names.id, res.ID, c.names.deadline, call.Deadline.Milliseconds())
	if call.Model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: 400,40\r\n%s: aa:300,%x:100\r\n", c.names.model, call.Model, c.tokens, c.prompt, callNumber.Load())
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(call.Body), call.Body)
	sent := time.Now()
	if _, err := io.WriteString(conn, b.String()); err != nil {
		res = res.with(OutcomeNotSent, err.Error())
		return res
	}
	resp, err := http.ReadResponse(conn.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		switch {
		case isTimeout(err) && call.CancelAfter > 0:
			res = res.with(OutcomeCancelled, "")
		case isTimeout(err):
			res = res.with(OutcomeTimedOut, "no answer")
		case c.ledger.Runs(res.ID) == 0 && (kept || time.Since(sent) < lossSlack):
			// The request crossed the close of an idle connection, or waited to be accepted
			// when the listener closed. The gateway hasn't read it.
			res = res.with(OutcomeNotSent, err.Error())
		default:
			res = res.with(OutcomeConnectionLost, err.Error())
		}
		return res
	}
	defer resp.Body.Close()
	res.Status, res.ConnClose = resp.StatusCode, resp.Close
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil && isTimeout(err) && call.CancelAfter > 0:
		res = res.with(OutcomeCancelled, "")
	case err != nil && isTimeout(err):
		res = res.with(OutcomeTimedOut, fmt.Sprintf("status %d, %d bytes", resp.StatusCode, len(body)))
	case err != nil:
		res = res.with(OutcomeConnectionLost, fmt.Sprintf("status %d, %d bytes: %v", resp.StatusCode, len(body), err))
	default:
		res = c.judge(call, res, resp, body)
	}
	return res
}

func (r Result) with(o Outcome, detail string) Result {
	r.Outcome, r.Detail = o, detail
	return r
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// judge checks a whole answer.
func (c *Client) judge(call Request, res Result, resp *http.Response, body []byte) Result {
	if got := resp.Header.Get(c.names.id); got != "" && got != res.ID {
		c.ledger.AddViolation("MIXED", "request %s got the answer to %s", res.ID, got)
	}
	switch s := resp.StatusCode; {
	case s == http.StatusOK && call.Model != "":
		c.checkStream(res, resp, body)
		return res.with(OutcomeServed, "")
	case s == http.StatusOK:
		if resp.Header.Get(c.names.seal) != seal(res.ID, body) {
			c.ledger.AddViolation("MIXED", "request %s got status 200 with a body of %d bytes that its seal doesn't cover", res.ID, len(body))
		}
		return res.with(OutcomeServed, "")
	case s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest:
		c.ledger.promise(res.ID, s)
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 0 {
			c.ledger.AddViolation("REFUSED", "request %s got status %d without saying when to come back", res.ID, s)
		}
		return res.with(OutcomeRefused, strings.TrimSpace(string(body)))
	default:
		return res.with(OutcomeFailed, strings.TrimSpace(string(body)))
	}
}

// checkStream checks that the events are those of the request, each once and in order.
func (c *Client) checkStream(res Result, resp *http.Response, body []byte) {
	if resp.Header.Get(c.names.seal) != seal(res.ID, nil) {
		c.ledger.AddViolation("MIXED", "stream %s has the seal %q", res.ID, resp.Header.Get(c.names.seal))
	}
	n, ended := 0, false
	for e := range strings.SplitSeq(strings.TrimSuffix(string(body), "\n\n"), "\n\n") {
		n++
		head, data, _ := strings.Cut(e, "\ndata: ")
		if head != "id: "+strconv.Itoa(n) || data != event(res.ID, n) && data != "end" || ended {
			c.ledger.AddViolation("ORDER", "stream %s: event %d is %q", res.ID, n, e)
			return
		}
		ended = data == "end"
	}
	if !ended {
		c.ledger.AddViolation("ORDER", "stream %s ended as complete after event %d", res.ID, n)
	}
}

func (c *Client) conn(gateway string) (conn *callerConn, kept bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[gateway]; ok {
		return conn, true, nil
	}
	nc, err := net.DialTimeout("tcp", gateway, time.Second)
	if err != nil {
		return nil, false, fmt.Errorf("connect to the gateway: %w", err)
	}
	conn = &callerConn{nc, bufio.NewReader(nc)}
	c.conns[gateway] = conn
	return conn, false, nil
}

func (c *Client) drop(gateway string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[gateway]; ok {
		_ = conn.Close()
		delete(c.conns, gateway)
	}
}

// Close closes the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, g)
	}
}

// GatewayReady asks a gateway whether it is ready, as the balancer does.
func GatewayReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := readyClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
