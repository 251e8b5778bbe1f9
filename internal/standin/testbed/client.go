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

	"chervilhead/platform/stub"
)

// Client is a caller of the gateways; it keeps one connection to each gateway that it uses.
type Client struct {
	checker *Checker
	headers headerNames

	mu    sync.Mutex
	conns map[string]*clientConn
}

type clientConn struct {
	net.Conn
	br *bufio.Reader
}

// NewClient returns a client that reports to a checker and has no connections yet.
func NewClient(checker *Checker) *Client {
	return &Client{checker: checker, headers: newHeaderNames(), conns: map[string]*clientConn{}}
}

// Request describes one request of a client.
type Request struct {
	Gateway string
	Route   stub.Route
	// Path is appended to the route's prefix.
	Path  string
	Model string
	// Prompt lists the parts of the prompt, or is empty for one of the client's own choice.
	Prompt   string
	Body     string
	Deadline time.Duration
	// CancelAfter is when the client gives up and closes its connection; 0 means never.
	CancelAfter time.Duration
	// Stream is the id of the attempt that delivered the first event of the stream that the
	// request resumes, and LastEvent the number of the last event that the caller has; a request
	// for a new stream has neither.
	Stream    string
	LastEvent int
	// Resumes is what the request says instead of Stream if WrongResumes is set.
	Resumes      string
	WrongResumes bool
	// Keys are the values of the caller's key fields, of which a proper request has one, and
	// TrailerKey that of a trailer. ForgedGroup is a group that the caller claims.
	Keys                    []string
	TrailerKey, ForgedGroup string
	// PromptTokens and OutputTokens are the token counts of a request for a model; 0 means the
	// client's own choice.
	PromptTokens, OutputTokens int
}

// Outcome is how a request ended for the client.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed is a complete answer with status 200.
	OutcomeServed Outcome = iota
	// OutcomeRefused is an answer that promises that the request hasn't run.
	OutcomeRefused
	// OutcomeFailed is any other complete answer.
	OutcomeFailed
	// OutcomeNotSent means that the gateway didn't read the request.
	OutcomeNotSent
	// OutcomeConnectionLost means that the connection ended without a complete answer.
	OutcomeConnectionLost
	// OutcomeTimedOut means that no complete answer came within 500 ms after the deadline.
	OutcomeTimedOut
	// OutcomeCancelled means that the client closed its connection after CancelAfter.
	OutcomeCancelled
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "not_sent", "broken", "overdue", "left"}[o]
}

// Result is the end of one request.
type Result struct {
	ID      string
	Outcome Outcome
	Status  int
	// ConnClose is set when the answer announced that the gateway closes the connection.
	ConnClose bool
	Detail    string
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// LastEvent is the number of the last event of the stream that the caller has, also those of
	// earlier attempts; Ended is set if it ended the stream.
	LastEvent int
	Ended     bool
}

var requestNumber atomic.Uint64

// connLossGrace is how long after sending a request its connection may still end without an
// answer, by the platform's contract, provided that no endpoint has received the request.
const connLossGrace = 200 * time.Millisecond

// timeoutGrace is how long past the deadline a client waits for an answer.
const timeoutGrace = 500 * time.Millisecond

// Do sends one request and checks its answer. It reuses the connection until the gateway
// closes it; it must not be called concurrently for the same gateway.
func (c *Client) Do(req Request) Result {
	res := Result{ID: fmt.Sprintf("r%08x-%d", rand.Uint32(), requestNumber.Add(1))}
	target := req.Route.Prefix + req.Path
	if req.PromptTokens == 0 {
		req.PromptTokens, req.OutputTokens = 400, 40
	}
	c.checker.addRequest(res.ID, &sentRequest{
		gateway: req.Gateway, method: http.MethodPost, target: target, model: req.Model, body: req.Body, once: req.Route.Kind == stub.KindOnce,
		public: req.Route.Public, key: req.callerKey(), secrets: req.secrets(), tokens: req.PromptTokens + req.OutputTokens, hasTokens: req.Model != "",
	})
	conn, reused, err := c.conn(req.Gateway)
	if err != nil {
		return res.with(OutcomeNotSent, err.Error())
	}
	defer func() {
		c.recordAttempt(req, res)
		if res.Outcome != OutcomeServed && res.Outcome != OutcomeRefused && res.Outcome != OutcomeFailed || res.ConnClose {
			c.drop(req.Gateway)
		}
	}()
	wait := req.Deadline + timeoutGrace
	if req.CancelAfter > 0 {
		wait = req.CancelAfter
	}
	_ = conn.SetDeadline(time.Now().Add(wait))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", target, req.Route.Host, c.headers.id, res.ID, c.headers.deadline, req.Deadline.Milliseconds())
	if req.Model != "" {
		prompt := req.Prompt
		if prompt == "" {
			prompt = fmt.Sprintf("aa:300,%x:%d", requestNumber.Load(), max(1, req.PromptTokens-300))
		}
		fmt.Fprintf(&b, "%s: %s\r\n%s: %d,%d\r\n%s: %s\r\n", c.headers.model, req.Model, c.headers.tokens, req.PromptTokens, req.OutputTokens, c.headers.prompt, prompt)
	}
	c.writeResumption(&b, req)
	c.writeKeys(&b, req)
	c.writeBody(&b, req)
	sent := time.Now()
	res.LastEvent = req.LastEvent
	if _, err := io.WriteString(conn, b.String()); err != nil {
		res = res.with(OutcomeNotSent, err.Error())
		return res
	}
	resp, err := http.ReadResponse(conn.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		switch {
		case isTimeout(err) && req.CancelAfter > 0:
			res = res.with(OutcomeCancelled, "")
		case isTimeout(err):
			res = res.with(OutcomeTimedOut, "no answer")
		case c.checker.Runs(res.ID) == 0 && (reused || time.Since(sent) < connLossGrace):
			// The gateway closed the idle connection while the request was on its way, or
			// closed its listener before it accepted the connection. It hasn't read the request.
			res = res.with(OutcomeNotSent, err.Error())
		default:
			res = res.with(OutcomeConnectionLost, err.Error())
		}
		return res
	}
	defer resp.Body.Close()
	c.checker.addToldRateLimit(req.Gateway, resp.Header, c.headers)
	c.checker.addToldLeaving(req.Gateway, resp.Header, c.headers)
	res.Status, res.ConnClose = resp.StatusCode, resp.Close
	body, err := io.ReadAll(resp.Body)
	if err != nil && req.Model != "" && resp.StatusCode == http.StatusOK {
		res = c.readEvents(req, res, body)
	}
	switch {
	case err != nil && isTimeout(err) && req.CancelAfter > 0:
		res = res.with(OutcomeCancelled, "")
	case err != nil && isTimeout(err):
		res = res.with(OutcomeTimedOut, fmt.Sprintf("status %d, %d bytes", resp.StatusCode, len(body)))
	case err != nil:
		res = res.with(OutcomeConnectionLost, fmt.Sprintf("status %d, %d bytes: %v", resp.StatusCode, len(body), err))
	default:
		res = c.judge(req, res, resp, body)
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

// judge checks a complete answer.
func (c *Client) judge(req Request, res Result, resp *http.Response, body []byte) Result {
	if got := resp.Header.Get(c.headers.id); got != "" && got != res.ID {
		c.checker.AddViolation("MIXED", "request %s got the answer to %s", res.ID, got)
	}
	switch s := resp.StatusCode; {
	case s == http.StatusOK && req.Model != "":
		return c.checkStream(req, res, resp, body).with(OutcomeServed, "")
	case s == http.StatusOK:
		if resp.Header.Get(c.headers.signature) != sign(res.ID, body) {
			c.checker.AddViolation("MIXED", "request %s got status 200 with a body of %d bytes that doesn't match its signature", res.ID, len(body))
		}
		return res.with(OutcomeServed, "")
	case s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest:
		c.checker.addNotRun(res.ID, s)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		res.RetryAfter = time.Duration(after * float64(time.Second))
		if err != nil || after < 0 {
			c.checker.AddViolation("REFUSED", "request %s got status %d without a valid Retry-After header", res.ID, s)
		}
		return res.with(OutcomeRefused, strings.TrimSpace(string(body)))
	case s == http.StatusUnauthorized:
		c.checker.addNotRun(res.ID, s)
		return res.with(OutcomeFailed, strings.TrimSpace(string(body)))
	default:
		return res.with(OutcomeFailed, strings.TrimSpace(string(body)))
	}
}

func (c *Client) conn(gateway string) (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[gateway]; ok {
		return conn, true, nil
	}
	nc, err := net.DialTimeout("tcp", gateway, time.Second)
	if err != nil {
		return nil, false, fmt.Errorf("connect to the gateway: %w", err)
	}
	conn = &clientConn{nc, bufio.NewReader(nc)}
	c.conns[gateway] = conn
	return conn, false, nil
}

// Connect opens the connection to a gateway that the next request uses.
func (c *Client) Connect(gateway string) error {
	_, _, err := c.conn(gateway)
	return err
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

// GatewayReady reports whether a gateway's readiness check succeeds, as a load balancer asks it.
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
