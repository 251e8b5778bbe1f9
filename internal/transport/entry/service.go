package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// serveService passes a call to a plain service and its answer back.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	req, ferr := e.parseService(w, r)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	w.Header().Set(openai.HeaderRequestID, req.id)
	w, r, settle := e.claim(w, r, req)
	if settle == nil {
		return
	}
	defer settle()
	out := &serviceWriter{w: w}
	res := e.dispatch(r.Context(), req, out.write)
	switch {
	case out.head == nil:
		openai.WriteError(w, incomplete(res))
	case res.outcome == fault.OutcomeComplete:
		out.finish()
	default:
		out.fail(res)
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
	req.call = &wire.HTTPRequest{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: forwarded(r.Header)}
	return req, nil
}

// forwarded returns the headers that a service gets: all but the caller's key and those of one connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	dropHop(out)
	out.Del("Authorization")
	return out
}

// dropHop removes the headers that belong to one connection.
func dropHop(h http.Header) {
	for _, f := range h["Connection"] {
		for name := range strings.SplitSeq(f, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"} {
		h.Del(name)
	}
}

// holdBytes is how much of an answer is held back so that its outcome can go into the header.
const holdBytes = 64 << 10

// serviceWriter writes a service's answer; a short one is written when it is whole.
type serviceWriter struct {
	w     http.ResponseWriter
	head  *wire.HTTPResponseHead
	held  []byte
	began bool
}

func (s *serviceWriter) write(items []json.RawMessage) error {
	for _, it := range items {
		if s.head == nil {
			s.head = &wire.HTTPResponseHead{}
			if err := json.Unmarshal(it, s.head); err != nil {
				return err
			}
			continue
		}
		var block []byte
		if err := json.Unmarshal(it, &block); err != nil {
			return err
		}
		if err := s.block(block); err != nil {
			return err
		}
	}
	return nil
}

func (s *serviceWriter) block(b []byte) error {
	if !s.began && len(s.held)+len(b) <= holdBytes {
		s.held = append(s.held, b...)
		return nil
	}
	if !s.began {
		s.w.Header().Set("Trailer", openai.HeaderOutcome)
		if err := s.begin(); err != nil {
			return err
		}
	}
	_, err := s.w.Write(b)
	return err
}

func (s *serviceWriter) begin() error {
	s.began = true
	h := http.Header(s.head.Header)
	dropHop(h)
	for k, vs := range h {
		s.w.Header()[k] = vs
	}
	s.w.WriteHeader(s.head.Status)
	_, err := s.w.Write(s.held)
	return err
}

func (s *serviceWriter) finish() {
	s.w.Header().Set(openai.HeaderOutcome, string(fault.OutcomeComplete))
	if !s.began {
		_ = s.begin()
	}
}

// fail reports a broken answer: as an error when nothing was written, else by cutting the connection.
func (s *serviceWriter) fail(res result) {
	if !s.began {
		openai.WriteError(s.w, incomplete(res))
		return
	}
	panic(http.ErrAbortHandler)
}
