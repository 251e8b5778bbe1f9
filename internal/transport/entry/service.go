package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"chervilhead/internal/protocol/http1"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/transport/httpd"
)

// serveService forwards an HTTP request to a plain service and relays its answer.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	req, ferr := e.parseService(w, r)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	w.Header().Set(openai.HeaderRequestID, req.id)
	w, r, settle := e.beginClaim(w, r, req)
	if settle == nil {
		return
	}
	defer settle()
	out := &serviceWriter{w: w}
	res := e.dispatch(r.Context(), req, out.write)
	switch {
	case out.malformed != nil:
		openai.WriteError(w, errMalformedAnswer(out.malformed))
	case out.head == nil:
		openai.WriteError(w, errIncomplete(res))
	case res.outcome == fault.OutcomeComplete:
		out.finish()
	default:
		out.fail(r, res)
	}
}

func (e *Entry) parseService(w http.ResponseWriter, r *http.Request) (*request, *fault.Error) {
	c, ferr := e.authenticate(r)
	if ferr != nil {
		return nil, ferr
	}
	name := mux.Vars(r)["service"]
	svc, ok := c.view.table.Service(name)
	if !ok || !svc.Allows(c.group.Name) {
		return nil, errNoService(name)
	}
	body, ferr := e.readBody(w, r)
	if ferr != nil {
		return nil, ferr
	}
	req, ferr := e.newRequest(r, c)
	if ferr != nil {
		return nil, ferr
	}
	path := "/" + mux.Vars(r)["path"]
	req.kind, req.model, req.body, req.maxTokens = wire.KindService, name, body, 1
	req.idempotent = req.idempotent && svc.Idempotent(r.Method, path)
	req.httpRequest = &wire.HTTPRequest{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: forwardedHeader(r.Header)}
	return req, nil
}

// forwardedHeader returns the headers to forward to a service: all but the caller's key
// and hop-by-hop headers.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	out.Del("Authorization")
	return out
}

// removeHopByHop removes hop-by-hop headers and Content-Length.
func removeHopByHop(h http.Header) {
	for _, f := range h["Connection"] {
		for name := range strings.SplitSeq(f, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"} {
		h.Del(name)
	}
}

// maxBufferedBytes is the size up to which an answer is buffered so that its outcome can
// be sent in a header instead of a trailer.
const maxBufferedBytes = 64 << 10

// serviceWriter writes a service's answer; a short one is written once it is complete.
type serviceWriter struct {
	w           http.ResponseWriter
	head        *wire.HTTPResponseHead
	buffered    []byte
	headWritten bool
	// malformed is the error of a head that is none in the protocol, whichever agent sent it.
	malformed error
}

func (s *serviceWriter) write(items []json.RawMessage) error {
	for _, it := range items {
		if s.head == nil {
			var head wire.HTTPResponseHead
			if err := json.Unmarshal(it, &head); err != nil {
				return err
			}
			if err := http1.CheckHead(head.Status, http.Header(head.Header)); err != nil {
				s.malformed = err
				return err
			}
			s.head = &head
			continue
		}
		var block []byte
		if err := json.Unmarshal(it, &block); err != nil {
			return err
		}
		if err := s.writeBlock(block); err != nil {
			return err
		}
	}
	return nil
}

func (s *serviceWriter) writeBlock(b []byte) error {
	if !s.headWritten && len(s.buffered)+len(b) <= maxBufferedBytes {
		s.buffered = append(s.buffered, b...)
		return nil
	}
	if !s.headWritten {
		s.w.Header().Set("Trailer", openai.HeaderOutcome)
		if err := s.writeBuffered(); err != nil {
			return err
		}
	}
	_, err := s.w.Write(b)
	return err
}

func (s *serviceWriter) writeBuffered() error {
	s.headWritten = true
	h := http.Header(s.head.Header)
	removeHopByHop(h)
	for k, vs := range h {
		s.w.Header()[k] = vs
	}
	s.w.WriteHeader(s.head.Status)
	_, err := s.w.Write(s.buffered)
	return err
}

func (s *serviceWriter) finish() {
	s.w.Header().Set(openai.HeaderOutcome, string(fault.OutcomeComplete))
	if !s.headWritten {
		_ = s.writeBuffered()
	}
}

// fail reports an incomplete answer: as an error if nothing was written, otherwise by
// closing the connection.
func (s *serviceWriter) fail(r *http.Request, res result) {
	if !s.headWritten {
		openai.WriteError(s.w, errIncomplete(res))
		return
	}
	httpd.AbortResponse(s.w, r)
}
