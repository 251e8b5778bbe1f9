package pass

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// Headers are the names of header fields on the wire.
type Headers struct {
	RequestID string
	// Deadline is the number of milliseconds that the caller waits.
	Deadline string
	Model    string
	// Tokens holds the numbers of prompt tokens and of output tokens at most.
	Tokens string
	// Prompt lists the parts of the prompt.
	Prompt string
	// Length is the caller's estimate of the output tokens.
	Length string
	// Signature marks an endpoint's own answer.
	Signature string
	// NotRun marks an answer to a request that the endpoint has not run.
	NotRun string
	// Instance names the only endpoint that may run the request.
	Instance string
	// Self is the id of the endpoint that answers.
	Self string
	// Priority is the request's rank at an engine; 0 goes first.
	Priority    string
	LastEventID string
	// Own are fields that only the system sets.
	Own []string
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
func (n Headers) request(h http.Header) http.Header {
	out := forward(h)
	for _, k := range n.Own {
		out.Del(k)
	}
	return out
}
