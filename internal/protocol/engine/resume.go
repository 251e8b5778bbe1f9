package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"chervilhead/internal/state/fault"
)

// Codes with which an engine refuses to resume a response.
const (
	// CodeRestarted means that the engine has restarted since the request began.
	CodeRestarted = "engine_restarted"
	// CodeResumeUnsupported means that the engine does not support resuming.
	CodeResumeUnsupported = "resume_unsupported"
	// CodeUnknownRequest means that the engine never received the request or no longer holds it.
	CodeUnknownRequest = "unknown_request"
	// CodeOffsetDropped means that the engine no longer holds the events from the offset on.
	CodeOffsetDropped = "offset_dropped"
)

// resumeReplyTimeout limits the time until an engine accepts or refuses a resume.
const resumeReplyTimeout = 500 * time.Millisecond

var errResumeTimeout = errors.New("the engine did not reply in time")

// ResumePath returns the path that resumes the response to a request after a number of events.
func ResumePath(id string, events int) string {
	return PathRequests + url.PathEscape(id) + "/answer?after=" + strconv.Itoa(events)
}

// Restarted returns the error of an engine whose incarnation, now, is not the expected one.
func Restarted(now string) *fault.Error {
	return fault.New(fault.Conflict, CodeRestarted, fmt.Sprintf("the engine has restarted since the request began; its incarnation is now %q", now), "send the request again")
}

// ResumeUnsupported returns the error of an engine that does not support resuming.
func ResumeUnsupported() *fault.Error {
	return fault.New(fault.Unavailable, CodeResumeUnsupported, "the engine does not support resuming responses", "send the request again")
}

// UnknownRequest returns the error of an engine that does not hold a request.
func UnknownRequest(id string) *fault.Error {
	return fault.New(fault.NotFound, CodeUnknownRequest, fmt.Sprintf("the engine does not hold request %q", id), "send the request again")
}

// OffsetDropped returns the error of an engine that holds only the events from first to last.
func OffsetDropped(offset, first, last int) *fault.Error {
	return fault.New(fault.Conflict, CodeOffsetDropped, fmt.Sprintf("the engine does not hold event %d, only events %d to %d", offset, first, last), "send the request again")
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, req Request, received Result, sink Sink) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+ResumePath(req.ID, received.Events), nil)
	if err != nil {
		return received, fmt.Errorf("engine address: %w", err)
	}
	if received.Incarnation != "" {
		httpReq.Header.Set(HeaderIncarnation, received.Incarnation)
	}
	timer := time.AfterFunc(resumeReplyTimeout, func() { cancel(errResumeTimeout) })
	resp, err := c.http.Do(httpReq)
	if !timer.Stop() && err == nil {
		resp.Body.Close()
		err = errResumeTimeout
	}
	if err != nil {
		return received, resumeReplyError(ctx, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return readResponse(ctx, resp, req.Stream, received, sink)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		if err := statusError(resp); fault.CodeOf(err) != fault.CodeEngineError {
			return received, err
		}
		// An engine without this path replies without an error body of the protocol.
		return received, ResumeUnsupported()
	default:
		return received, statusError(resp)
	}
}

// resumeReplyError classifies a resume that got no reply. Unlike a failure to send the
// request itself, it does not show whether the request ran.
func resumeReplyError(ctx context.Context, err error) error {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errResumeTimeout) {
		return connectionError(ctx, err)
	}
	return fault.New(fault.Upstream, CodeUnreachable, "the engine does not reply", "send the request again").WithCause(err)
}
