package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// HeaderNames are the names of the header fields that the gateway reads and sets.
type HeaderNames struct {
	RequestID string
	// Deadline holds the time that the caller waits, in milliseconds.
	Deadline string
	Model    string
	// TokenCounts holds the number of prompt tokens and the limit of output tokens.
	TokenCounts string
	// PromptPrefix lists the parts of the prompt with their lengths in tokens.
	PromptPrefix string
	// LengthHint holds the caller's estimate of the output tokens.
	LengthHint string
	// Signature marks a response that the endpoint itself produced.
	Signature string
	// NotRun marks a response to a request that the endpoint has not run.
	NotRun string
	// ExpectInstance names the only endpoint that may run the request.
	ExpectInstance string
	// InstanceID holds the id of the endpoint that responds.
	InstanceID string
	// RateLimit holds, in an endpoint's answers, the requests a second that it takes from all
	// gateways together; without it there is no limit.
	RateLimit string
	// Leaving is set in all answers of an endpoint that leaves.
	Leaving string
	// Priority holds the request's priority at an engine; 0 goes first.
	Priority    string
	LastEventID string
	// Resumes holds the id of the request that got the first event of the stream that the
	// request resumes.
	Resumes string
	// Reserved lists the fields that are removed from clients' requests because only the
	// system sets them.
	Reserved []string
}

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// endToEndHeader returns a copy of a header without its hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	var named []string
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(f)))
		}
	}
	for k, v := range h {
		if slices.Contains(hopByHopHeaders, k) || slices.Contains(named, k) {
			continue
		}
		out[k] = v
	}
	return out
}

// requestHeader returns the fields of a client's header that are forwarded to an endpoint.
func (n HeaderNames) requestHeader(h http.Header) http.Header {
	out := endToEndHeader(h)
	for _, k := range n.Reserved {
		out.Del(k)
	}
	return out
}
