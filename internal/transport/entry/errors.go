package entry

import (
	"fmt"
	"net/http"
	"time"

	"chervilhead/internal/state/fault"
)

func errNoRoute(r *http.Request) *fault.Error {
	return fault.New(fault.NotFound, "unknown_path", fmt.Sprintf("no route for %s %s", r.Method, r.URL.Path), "see the API's documentation")
}

func errBadKey() *fault.Error {
	return fault.New(fault.Auth, "invalid_api_key", "the bearer key is missing or unknown", "send the group's key in the Authorization header")
}

func errNoModel(name string) *fault.Error {
	return fault.New(fault.NotFound, "model_not_found", fmt.Sprintf("model %q does not exist or is not attached to the group", name),
		"list the group's models with GET /v1/models").WithParam("model")
}

func errNoService(name string) *fault.Error {
	return fault.New(fault.NotFound, "service_not_found", fmt.Sprintf("service %q does not exist or is not attached to the group", name), "check the path")
}

func errTooLarge(limit int64) *fault.Error {
	return fault.New(fault.Invalid, "body_too_large", fmt.Sprintf("the request body exceeds %d bytes", limit), "send a smaller body")
}

// memoryRetryAfter is when a request that was refused for want of memory may be sent again; what
// stalled callers hold is free by then.
const memoryRetryAfter = time.Second

func errNoMemory(cause error) *fault.Error {
	return fault.New(fault.Unavailable, "memory", "the entry's memory for requests is in use", "send the request again later").
		WithCause(cause).WithRetryAfter(memoryRetryAfter).WithOutcome(fault.OutcomeNotRun)
}

func errBodyTimeout(limit time.Duration) *fault.Error {
	return fault.New(fault.Invalid, fault.CodeBodyTimeout, fmt.Sprintf("the request body did not end within %s", limit), "send the body faster").
		WithRetryAfter(memoryRetryAfter).WithOutcome(fault.OutcomeNotRun)
}

func errMalformedAnswer(cause error) *fault.Error {
	return fault.New(fault.Upstream, "malformed_answer", "the service's answer is none in the protocol", "check whether the call took effect before you repeat it").
		WithCause(cause).WithOutcome(fault.OutcomeUnknown)
}
