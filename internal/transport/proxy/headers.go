package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// HeaderNames are the names of header fields on the wire.
type HeaderNames struct {
	RequestID string
	// Deadline is the number of milliseconds that the caller waits.
	Deadline string
	Model    string
	// TokenCounts holds the numbers of prompt tokens and of output tokens at most.
	TokenCounts string
	// PromptPrefix lists the parts of the prompt.
	PromptPrefix string
	// LengthHint is the caller's estimate of the output tokens.
	LengthHint string
	// Signature marks an endpoint's own answer.
	Signature string
	// NotRun marks an answer to a request that the endpoint has not run.
	NotRun string
	// ExpectInstance names the only endpoint that may run the request.
	ExpectInstance string
	// InstanceID is the id of the endpoint that answers.
	InstanceID string
	// Priority is the request's rank at an engine; 0 goes first.
	Priority    string
	LastEventID string
	// Reserved are fields that only the system sets.
	Reserved []string
}

// perConnection are the fields that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// forward returns a copy of a header without the fields of one connection.
func forward(h http.Header) http.Header {
	out := make(http.Header, len(h))
	var named []string
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(f)))
		}
	}
	for k, v := range h {
		if slices.Contains(perConnection, k) || slices.Contains(named, k) {
			continue
		}
		out[k] = v
	}
	return out
}

// request returns the header that an endpoint gets of a client's.
func (n HeaderNames) request(h http.Header) http.Header {
	out := forward(h)
	for _, k := range n.Reserved {
		out.Del(k)
	}
	return out
}
