package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// CodeUnreachable is the code of an engine that accepts no connection.
const CodeUnreachable = fault.CodeEngineUnreachable

const (
	controlTimeout = 2 * time.Second
	maxAnswerBytes = 3 << 20
	maxStateBytes  = 1 << 20
)

// Client is an Engine reached over HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at a base URL.
func New(base string, hc *http.Client) *Client { return &Client{base: base, http: hc} }

// Run implements Engine.
func (c *Client) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	path := openai.PathChat
	if req.Kind == wire.KindCompletion {
		path = openai.PathCompletions
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(req.Body))
	if err != nil {
		return Result{}, fmt.Errorf("engine address: %w", err)
	}
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set(HeaderRequestID, req.ID)
	hr.Header.Set(HeaderPriority, strconv.Itoa(req.Priority))
	resp, err := c.http.Do(hr)
	if err != nil {
		return Result{}, lost(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Result{}, refusal(resp)
	}
	return read(ctx, resp, req.Stream, Result{}, sink)
}

// read receives an answer, or the rest of one of which got has been received.
func read(ctx context.Context, resp *http.Response, stream bool, got Result, sink Sink) (Result, error) {
	if inc := resp.Header.Get(HeaderIncarnation); inc != "" {
		got.Incarnation = inc
	}
	if stream {
		return readStream(ctx, resp.Body, got, sink)
	}
	return readWhole(ctx, resp.Body, got, sink)
}

// lost classifies a broken exchange with the engine. A connection that was never
// made carried no request.
func lost(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.Unavailable, CodeUnreachable, "the engine does not accept connections", "send the request to another endpoint").
			WithCause(err).WithOutcome(fault.OutcomeNotRun)
	}
	if ctx.Err() != nil {
		return fault.New(fault.Upstream, fault.CodeCancelled, "the attempt was cancelled", "").WithCause(ctx.Err())
	}
	return fault.New(fault.Upstream, fault.CodeEngineCrashed, "the engine went away while it ran the request",
		"send the request again").WithCause(err)
}

func refusal(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	var e openai.ErrorBody
	if err := json.Unmarshal(data, &e); err == nil && e.Error.Message != "" {
		kind := fault.Upstream
		if resp.StatusCode/100 == 4 {
			kind = fault.Invalid
		}
		return fault.New(kind, e.Error.Code, e.Error.Message, "").WithParam(e.Error.Param)
	}
	return fault.New(fault.Upstream, fault.CodeEngineError, fmt.Sprintf("the engine answered with status %d", resp.StatusCode),
		"send the request again")
}

func readStream(ctx context.Context, body io.Reader, res Result, sink Sink) (Result, error) {
	s := openai.NewScanner(body)
	for {
		data, err := s.Next()
		if errors.Is(err, openai.ErrDone) {
			break
		}
		if err != nil {
			return res, lost(ctx, err)
		}
		ev, err := openai.ParseEvent(data)
		if err != nil {
			return res, fault.New(fault.Upstream, fault.CodeTruncated, "the engine sent a malformed event", "send the request again").WithCause(err)
		}
		res.Events++
		if ev.FinishReason != "" {
			res.FinishReason = ev.FinishReason
		}
		if ev.Usage != nil {
			res.Usage = *ev.Usage
			res.UsageEvent = data
		}
		if ev.Choices > 0 {
			sink(data)
		}
	}
	if res.FinishReason == "" {
		return res, truncated()
	}
	return res, nil
}

func readWhole(ctx context.Context, body io.Reader, res Result, sink Sink) (Result, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return res, lost(ctx, err)
	}
	if len(data) > maxAnswerBytes {
		return res, fault.New(fault.Upstream, "answer_too_large", fmt.Sprintf("the answer exceeds %d bytes", maxAnswerBytes), "ask for a stream")
	}
	ev, err := openai.ParseEvent(data)
	if err != nil || ev.FinishReason == "" {
		return res, truncated()
	}
	res.Events = 1
	res.FinishReason = ev.FinishReason
	if ev.Usage != nil {
		res.Usage = *ev.Usage
	}
	sink(bytes.TrimSpace(data))
	return res, nil
}

func truncated() error {
	return fault.New(fault.Upstream, fault.CodeTruncated, "the answer ended without its finish marker", "send the request again")
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.control(ctx, http.MethodDelete, PathRequests+id, nil, nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.control(ctx, http.MethodPost, PathOrders, o, nil)
}

// State implements Engine.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.control(ctx, http.MethodGet, PathState, nil, &s)
	return s, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (CacheEventPage, error) {
	var e CacheEventPage
	err := c.control(ctx, http.MethodGet, PathEvents+"?since="+strconv.FormatUint(since, 10), nil, &e)
	return e, err
}

func (c *Client) control(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode engine request: %w", err)
		}
		body = b
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("engine address: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.New(fault.Upstream, CodeUnreachable, "the engine does not answer", "check that it runs").WithCause(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return refusal(resp)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(out); err != nil {
		return fault.New(fault.Upstream, "engine_malformed", "the engine's reply does not decode", "check its version").WithCause(err)
	}
	return nil
}
