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
	// prefixIndexSize is the number of prompt prefixes that an entry indexes, about 1.4 MB.
	prefixIndexSize = 8192
	// defaultPrefillPerToken is used for an endpoint that has not reported its prefill time.
	defaultPrefillPerToken = 100 * time.Microsecond
	// homeSpillThreshold bounds the wait for a home: if the expected wait at the best home is at
	// least this long, a chat may also run on other endpoints. Chats that begin with the same
	// messages have the same homes.
	homeSpillThreshold = 100 * time.Millisecond
)

// setAffinity sets the prefix digests of a request and, for a chat, its conversationKey. The
// homes of a request are the endpoints that rendezvous hashing prefers for its homeKey: the
// conversationKey, which is equal for all turns of a chat, or else the fingerprint. The
// conversationKey depends on the body alone, so that equal chats have the same homes at
// every entry.
func (r *request) setAffinity(api openai.Request) {
	if r.kind != wire.KindChat {
		r.prefixDigests = prefix.TextDigests(r.model, openai.ContentText(api.Prompt))
		return
	}
	parts := openai.PromptParts(api.Messages)
	r.prefixDigests = prefix.ChatDigests(r.model, parts)
	r.messageKeys = messageKeys(r.model, parts)
	r.conversationKey = strconv.FormatUint(prefix.ConversationHash(r.model, parts), 16)
}

// homeKey returns the rendezvous hashing key that selects the request's homes.
func (r *request) homeKey() string {
	if r.conversationKey != "" {
		return r.conversationKey
	}
	return r.fingerprint()
}

// recordPrefix records that an endpoint is about to prefill a request's prompt.
func (e *Entry) recordPrefix(req *request, endpoint string) {
	if len(req.prefixDigests) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixIndex.Add(endpoint, req.prefixDigests)
	e.cfg.Metrics.setPrefixDigests(e.prefixIndex.Len())
}

// mayUseNonHomes reports whether the first attempt of a chat may also go to endpoints
// that are not its homes. It may not while an equal request is in flight: while one runs
// elsewhere with a permit, the homes refuse the others.
func (e *Entry) mayUseNonHomes(req *request, best route.Candidate, tried triedTargets) bool {
	if req.conversationKey == "" || len(tried.endpoints) > 0 || best.Wait < homeSpillThreshold {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chatsInFlight[req.fingerprint()] <= 1
}

// trackChat counts a chat as in flight until the returned function is called.
func (e *Entry) trackChat(req *request) (done func()) {
	if req.conversationKey == "" {
		return func() {}
	}
	fp := req.fingerprint()
	add := func(n int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.chatsInFlight[fp] += n; e.chatsInFlight[fp] == 0 {
			delete(e.chatsInFlight, fp)
		}
	}
	add(1)
	return func() { add(-1) }
}
