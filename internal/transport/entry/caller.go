package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

// caller is an authenticated caller and the view its request is decided by.
type caller struct {
	group table.Group
	view  *view
}

// authenticate identifies the group that a request speaks for.
func (e *Entry) authenticate(r *http.Request) (caller, *fault.Error) {
	v := e.view.Load()
	bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return caller{}, errBadKey()
	}
	key, ok := v.table.Authenticate(strings.TrimSpace(bearer))
	if !ok || key.Group == "" {
		return caller{}, errBadKey()
	}
	g, ok := v.table.Group(key.Group)
	if !ok {
		return caller{}, errBadKey()
	}
	return caller{group: g, view: v}, nil
}

// readBody reads a caller's body up to the limit.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errTooLarge(e.cfg.MaxBodyBytes)
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "malformed_body", "the body could not be read", "send the request again").WithCause(err)
	}
	return body, nil
}

// newRequest fills in what the headers of any request say.
func (e *Entry) newRequest(r *http.Request, c caller) (*request, *fault.Error) {
	req := &request{id: ident.New("req-"), group: c.group.Name, idempotent: r.Header.Get(openai.HeaderIdempotent) != "false"}
	req.startBy = time.Now().Add(e.cfg.StartTimeout)
	if s := r.Header.Get(openai.HeaderTimeout); s != "" {
		sec, err := strconv.ParseFloat(s, 64)
		if err != nil || !(sec > 0) || sec > time.Hour.Seconds() {
			return nil, fault.New(fault.Invalid, "invalid_timeout", "the timeout is not a number of seconds up to 3600", "correct the header").WithParam(openai.HeaderTimeout)
		}
		req.startBy = time.Now().Add(time.Duration(sec * float64(time.Second)))
	}
	if s := r.Header.Get(openai.HeaderPriority); s != "" {
		p, err := strconv.Atoi(s)
		if err != nil || p < 0 {
			return nil, fault.New(fault.Invalid, "invalid_priority", "the priority is not a whole number from 0 on", "correct the header").WithParam(openai.HeaderPriority)
		}
		req.priority = min(p, c.group.PriorityCeiling)
	}
	return req, nil
}
