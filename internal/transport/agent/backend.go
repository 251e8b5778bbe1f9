package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/events"
	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// Backend is what an agent runs attempts on: an EngineBackend or a ServiceBackend.
type Backend interface {
	// run executes an attempt and passes the items of the answer to sink. incarnation is
	// the engine's at the start of the run; empty if unknown.
	run(ctx context.Context, s wire.Start, incarnation string, sink func(json.RawMessage)) wire.End
	// alwaysReady reports whether attempts run without a resident model.
	alwaysReady() bool
	// service returns the name of the plain service; empty for a model engine.
	service() string
}

// EngineBackend runs attempts on a model engine.
type EngineBackend struct {
	Engine engine.Engine
	// Metrics counts resumed answers; nil disables metrics.
	Metrics *Metrics
}

func (EngineBackend) alwaysReady() bool { return false }

func (EngineBackend) service() string { return "" }

func (b EngineBackend) run(ctx context.Context, s wire.Start, incarnation string, sink func(json.RawMessage)) wire.End {
	req := engine.Request{ID: s.AttemptID, Kind: s.Kind, Body: s.Body, Stream: s.Stream, Priority: s.Priority}
	res, err := b.Engine.Run(ctx, req, sink)
	if res.Incarnation == "" {
		res.Incarnation = incarnation
	}
	if connectionBroke(ctx, err) {
		res, err = b.resume(ctx, req, res, sink)
	}
	if ctx.Err() != nil {
		// The engine may not have noticed yet that the connection ended.
		b.cancel(context.WithoutCancel(ctx), s.AttemptID)
	}
	if err == nil {
		return wire.End{Outcome: fault.OutcomeComplete, Usage: &res.Usage}
	}
	fe := fault.As(err)
	if ctx.Err() == nil && (fe.Code == fault.CodeEngineCrashed || fe.Code == fault.CodeConnectionLost || fe.Code == fault.CodeTruncated) {
		// The engine may still run the request. The caller's answer does not wait for
		// the cancellation.
		go b.cancel(context.WithoutCancel(ctx), s.AttemptID)
	}
	if fe.Code == fault.CodeNotResident {
		// The last state read from the engine was stale, as happens between two versions of a model.
		return wire.End{Outcome: fault.OutcomeNotRun, Error: rejectionError(fault.Unavailable, fault.CodeNotResident, fmt.Sprintf("model %q is not resident on this endpoint", s.Model), time.Second)}
	}
	if fe.Outcome == fault.OutcomeNotRun || fe.Kind == fault.Invalid {
		return wire.End{Outcome: fault.OutcomeNotRun, Error: fe.WithOutcome(fault.OutcomeNotRun)}
	}
	return wire.End{Outcome: fault.OutcomeFailed, Error: fe.WithOutcome(fault.OutcomeFailed)}
}

// cancelTimeout bounds a cancellation. A request that it misses shows in the engine's
// state and is cancelled by cancelOrphans.
const cancelTimeout = 2 * time.Second

func (b EngineBackend) cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = b.Engine.Cancel(ctx, id)
}

const (
	serviceReadBytes = 64 << 10
	dialTimeout      = 2 * time.Second
	// idleTimeout is how long a connection to a service is kept if the service states no time.
	idleTimeout = time.Minute
)

// ServiceBackend runs attempts on a plain HTTP service.
type ServiceBackend struct {
	name    string
	baseURL string
	// unpooled carries calls that must not be repeated, each over a connection of its own: when a
	// reused connection breaks, the transport retries a request that has an Idempotency-Key header.
	unpooled *http.Client
	pooled   *http.Client
}

// NewServiceBackend returns a backend for a named service at a base URL.
func NewServiceBackend(name, base string) ServiceBackend {
	return ServiceBackend{name: name, baseURL: base}.WithDial((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// WithDial returns a copy of the backend that opens its connections with dial.
func (b ServiceBackend) WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ServiceBackend {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return ServiceBackend{
		name:     b.name,
		baseURL:  b.baseURL,
		unpooled: &http.Client{Transport: http1.NewTransport(http1.TransportSettings{Dial: dial}), CheckRedirect: noRedirect},
		pooled:   &http.Client{Transport: http1.NewTransport(http1.TransportSettings{Dial: dial, MaxIdlePerHost: 16, IdleTimeout: idleTimeout}), CheckRedirect: noRedirect},
	}
}

func (ServiceBackend) alwaysReady() bool { return true }

func (b ServiceBackend) service() string { return b.name }

func (b ServiceBackend) run(ctx context.Context, s wire.Start, _ string, sink func(json.RawMessage)) wire.End {
	if s.HTTPRequest == nil {
		return wire.End{Outcome: fault.OutcomeNotRun, Error: fault.New(fault.Invalid, "missing_call", "the attempt carries no service call", "").WithOutcome(fault.OutcomeNotRun)}
	}
	url := b.baseURL + s.HTTPRequest.Path
	if s.HTTPRequest.Query != "" {
		url += "?" + s.HTTPRequest.Query
	}
	req, err := http.NewRequestWithContext(ctx, s.HTTPRequest.Method, url, bytes.NewReader(s.Body))
	if err != nil {
		return wire.End{Outcome: fault.OutcomeNotRun, Error: fault.New(fault.Invalid, "invalid_call", err.Error(), "correct the path").WithOutcome(fault.OutcomeNotRun)}
	}
	for k, vs := range s.HTTPRequest.Header {
		req.Header[k] = vs
	}
	client := b.pooled
	if !s.Idempotent {
		client = b.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return serviceError(err)
	}
	defer resp.Body.Close()
	head, err := json.Marshal(wire.HTTPResponseHead{Status: resp.StatusCode, Header: resp.Header})
	if err != nil {
		return serviceError(err)
	}
	sink(head)
	return copyBody(resp, sink)
}

func serviceError(err error) wire.End {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return wire.End{Outcome: fault.OutcomeNotRun, Error: rejectionError(fault.Unavailable, "service_unreachable", "the service does not accept connections", time.Second)}
	}
	return wire.End{Outcome: fault.OutcomeUnknown, Error: fault.New(fault.Upstream, "service_failed",
		fmt.Sprintf("the call to the service failed: %v", err), "check whether the call took effect before you repeat it").WithOutcome(fault.OutcomeUnknown)}
}

func copyBody(resp *http.Response, sink func(json.RawMessage)) wire.End {
	buf := make([]byte, serviceReadBytes)
	var tail events.Tail
	unframed := http1.FramingOf(resp) == http1.FramingConnection
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			item, merr := json.Marshal(buf[:n])
			if merr != nil {
				return serviceError(merr)
			}
			sink(item)
			tail = tail.WithPiece(buf[:n])
		}
		switch {
		case errors.Is(err, io.EOF) && events.IsStream(resp.Header) && (tail.Partial() || unframed && !tail.Any()):
			return truncatedService()
		case errors.Is(err, io.EOF):
			return wire.End{Outcome: fault.OutcomeComplete}
		case err != nil:
			return truncatedService()
		}
	}
}

func truncatedService() wire.End {
	return wire.End{Outcome: fault.OutcomeFailed, Error: fault.New(fault.Upstream, fault.CodeTruncated,
		"the service's answer was truncated", "send the request again if that is safe").WithOutcome(fault.OutcomeFailed)}
}
