package entry

import (
	"strconv"
	"time"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/prefix"
	"chervilhead/internal/state/route"
)

const (
	// hintMarks bounds the beginnings of prompts that an entry remembers, about 1.4 MB.
	hintMarks = 8192
	// defaultPerToken is the time per prompt token of an endpoint that has reported none.
	defaultPerToken = 100 * time.Microsecond
	// spillWait is the expected wait at the best home from which a chat may also run
	// elsewhere: many chats may begin with the same messages and have the same homes.
	spillWait = 100 * time.Millisecond
)

// describe notes the beginnings of a request's prompt and the key of its homes. All
// turns of a chat have the same homes; any other request has homes of its own. The key
// depends on the body alone, so that equal requests have equal homes at every entry.
func (r *request) describe(api openai.Request) {
	if r.kind != wire.KindChat {
		r.marks = prefix.TextDigests(r.model, openai.ContentText(api.Prompt))
		return
	}
	parts := openai.PromptParts(api.Messages)
	r.marks = prefix.ChatDigests(r.model, parts)
	r.home = strconv.FormatUint(prefix.ConversationHash(r.model, parts), 16)
}

// homeKey returns what the request's homes are chosen by.
func (r *request) homeKey() string {
	if r.home != "" {
		return r.home
	}
	return r.fingerprint()
}

// remember notes that an endpoint is about to compute a request's prompt.
func (e *Entry) remember(req *request, endpoint string) {
	if len(req.marks) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hints.Add(endpoint, req.marks)
	e.cfg.Metrics.hold(e.hints.Len())
}

// spills reports whether a first attempt may also go beyond its homes. An equal request
// in flight keeps it there: while one runs elsewhere, its homes refuse the others.
func (e *Entry) spills(req *request, best route.Candidate, tried tried) bool {
	if req.home == "" || len(tried.endpoints) > 0 || best.Wait < spillWait {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.equal[req.fingerprint()] <= 1
}

// track counts the equal requests in flight until the returned function is called.
func (e *Entry) track(req *request) (done func()) {
	if req.home == "" {
		return func() {}
	}
	fp := req.fingerprint()
	add := func(n int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.equal[fp] += n; e.equal[fp] == 0 {
			delete(e.equal, fp)
		}
	}
	add(1)
	return func() { add(-1) }
}
