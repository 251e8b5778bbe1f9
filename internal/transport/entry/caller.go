package entry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/guard"
)

// caller is an authenticated caller, with the view that its request was checked against.
type caller struct {
	group table.Group
	view  *view
}

// authenticate returns the caller to whose group the request's key belongs.
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

// bodyCopies is how many times the entry holds a body: as read, decoded, and encoded for an agent.
const bodyCopies = 4

// readBody reads a request body up to the size limit.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Error) {
	body, err := guard.ReadBody(w, r, e.cfg.MaxBodyBytes, time.Now().Add(e.cfg.BodyTimeout), bodyCopies)
	switch {
	case err == nil:
		return body.Bytes(), nil
	case errors.Is(err, guard.ErrTooLarge):
		return nil, errTooLarge(e.cfg.MaxBodyBytes)
	case errors.Is(err, guard.ErrMemory) || errors.Is(err, guard.ErrStalled):
		return nil, errNoMemory(err)
	case errors.Is(err, guard.ErrTimeout):
		return nil, errBodyTimeout(e.cfg.BodyTimeout)
	default:
		return nil, fault.New(fault.Invalid, "malformed_body", "the request body could not be read", "send the request again").WithCause(err)
	}
}

// newRequest returns a request with the fields that come from the headers.
func (e *Entry) newRequest(r *http.Request, c caller) (*request, *fault.Error) {
	req := &request{id: ident.New("req-"), group: c.group.Name, idempotent: r.Header.Get(openai.HeaderIdempotent) != "false"}
	req.startBy = time.Now().Add(e.cfg.StartTimeout)
	if s := r.Header.Get(openai.HeaderTimeout); s != "" {
		sec, err := strconv.ParseFloat(s, 64)
		if err != nil || !(sec > 0) || sec > time.Hour.Seconds() {
			return nil, fault.New(fault.Invalid, "invalid_timeout", "the timeout must be a number of seconds above 0 and up to 3600", "correct the header").WithParam(openai.HeaderTimeout)
		}
		req.startBy = time.Now().Add(time.Duration(sec * float64(time.Second)))
	}
	if s := r.Header.Get(openai.HeaderPriority); s != "" {
		p, err := strconv.Atoi(s)
		if err != nil || p < 0 {
			return nil, fault.New(fault.Invalid, "invalid_priority", "the priority must be a non-negative integer", "correct the header").WithParam(openai.HeaderPriority)
		}
		req.priority = min(p, c.group.PriorityCeiling)
	}
	return req, nil
}
