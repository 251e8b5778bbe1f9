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

// CodeUnreachable is the code of an engine that accepts no connection or does not reply to a
// control call or resume.
const CodeUnreachable = fault.CodeEngineUnreachable

const (
	controlTimeout       = 2 * time.Second
	maxResponseBytes     = 3 << 20
	maxControlReplyBytes = 1 << 20
)

// Client is an Engine that is reached over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the engine at baseURL.
func New(baseURL string, hc *http.Client) *Client { return &Client{baseURL: baseURL, http: hc} }

// Run implements Engine.
func (c *Client) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	path := openai.PathChat
	if req.Kind == wire.KindCompletion {
		path = openai.PathCompletions
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(req.Body))
	if err != nil {
		return Result{}, fmt.Errorf("engine address: %w", err)
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set(HeaderRequestID, req.ID)
	httpReq.Header.Set(HeaderPriority, strconv.Itoa(req.Priority))
	resp, err := c.http.Do(httpReq)
	if err != nil {
		return Result{}, connectionError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Result{}, statusError(resp)
	}
	return readResponse(ctx, resp, req.Stream, Result{}, sink)
}

// readResponse reads a response, or the rest of one of which received has arrived before.
func readResponse(ctx context.Context, resp *http.Response, stream bool, received Result, sink Sink) (Result, error) {
	if inc := resp.Header.Get(HeaderIncarnation); inc != "" {
		received.Incarnation = inc
	}
	if stream {
		return readStream(ctx, resp.Body, received, sink)
	}
	return readNonStream(ctx, resp.Body, received, sink)
}

// connectionError classifies a failed exchange with the engine. If the connection could not
// be opened, the request has not run.
func connectionError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.Unavailable, CodeUnreachable, "the engine does not accept connections", "send the request to another endpoint").
			WithCause(err).WithOutcome(fault.OutcomeNotRun)
	}
	if ctx.Err() != nil {
		return fault.New(fault.Upstream, fault.CodeCancelled, "the attempt was cancelled", "").WithCause(ctx.Err())
	}
	return fault.New(fault.Upstream, fault.CodeEngineCrashed, "the engine crashed or closed the connection while it ran the request",
		"send the request again").WithCause(err)
}

func statusError(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes))
	var e openai.ErrorBody
	if err := json.Unmarshal(data, &e); err == nil && e.Error.Message != "" {
		kind := fault.Upstream
		if resp.StatusCode/100 == 4 {
			kind = fault.Invalid
		}
		return fault.New(kind, e.Error.Code, e.Error.Message, "").WithParam(e.Error.Param)
	}
	return fault.New(fault.Upstream, fault.CodeEngineError, fmt.Sprintf("the engine responded with status %d", resp.StatusCode),
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
			return res, connectionError(ctx, err)
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
		return res, truncatedError()
	}
	return res, nil
}

func readNonStream(ctx context.Context, body io.Reader, res Result, sink Sink) (Result, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return res, connectionError(ctx, err)
	}
	if len(data) > maxResponseBytes {
		return res, fault.New(fault.Upstream, "answer_too_large", fmt.Sprintf("the response exceeds %d bytes", maxResponseBytes), "request a stream")
	}
	ev, err := openai.ParseEvent(data)
	if err != nil || ev.FinishReason == "" {
		return res, truncatedError()
	}
	res.Events = 1
	res.FinishReason = ev.FinishReason
	if ev.Usage != nil {
		res.Usage = *ev.Usage
	}
	sink(bytes.TrimSpace(data))
	return res, nil
}

func truncatedError() error {
	return fault.New(fault.Upstream, fault.CodeTruncated, "the response ended without a finish reason", "send the request again")
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
	var page CacheEventPage
	err := c.control(ctx, http.MethodGet, PathEvents+"?since="+strconv.FormatUint(since, 10), nil, &page)
	return page, err
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
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("engine address: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.New(fault.Upstream, CodeUnreachable, "the engine does not reply", "check that it is running").WithCause(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return statusError(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlReplyBytes+1))
	if err == nil && len(data) > maxControlReplyBytes {
		err = errReplyTooLong
	}
	if err == nil && out != nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return fault.New(fault.Upstream, "engine_malformed", "the engine's reply cannot be decoded", "check the engine's version").WithCause(err)
	}
	return nil
}

var errReplyTooLong = fmt.Errorf("the reply exceeds %d bytes", maxControlReplyBytes)
