package agent

import (
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/prefix"
)

const (
	// maxPrefixDigests bounds the cache estimate and the block index; at this size they take
	// about 1.5 MB.
	maxPrefixDigests = 4096
	// defaultPrefillTimePerToken is assumed until prefills have been measured.
	defaultPrefillTimePerToken = 100 * time.Microsecond
	// minMeasuredTokens is the least number of prefill tokens whose time is measured; with
	// fewer, the time to first token is mostly the decode of the token itself.
	minMeasuredTokens = 256
	// prefillTimeSmoothing is the inverse of the weight of the latest measurement.
	prefillTimeSmoothing = 8
)

// prefillState estimates the engine's prefix cache and prefill backlog. It is only a hint
// for the choice of endpoints. The agent's mu guards it.
type prefillState struct {
	cache *prefix.CacheEstimate
	// engineIncarnation is the engine's incarnation that cache describes.
	engineIncarnation string
	// pendingTokens is the number of prefill tokens of attempts that have no first item yet.
	pendingTokens int
	timePerToken  time.Duration
	// blocks maps the engine's names of cache blocks to the prefix hashes that end there;
	// lastEventSeq is the sequence number of the last cache event read.
	blocks       *prefix.BlockIndex
	lastEventSeq uint64
}

// attemptPrefill is the prefill of one running attempt.
type attemptPrefill struct {
	// tokens is the number of prompt tokens that are probably not cached; ahead is
	// pendingTokens when the attempt started.
	tokens, ahead int
}

func newPrefillState() prefillState {
	return prefillState{cache: prefix.NewCacheEstimate(maxPrefixDigests), blocks: prefix.NewBlockIndex(maxPrefixDigests), timePerToken: defaultPrefillTimePerToken}
}

// prefillStarted records that the engine reads an attempt's prompt; mu is held.
func (a *Agent) prefillStarted(at *attempt) {
	p := &a.prefill
	at.prefill.tokens = max(at.start.PromptTokens-p.cache.CachedTokens(at.start.Prefix), 0)
	at.prefill.ahead = p.pendingTokens
	p.pendingTokens += at.prefill.tokens
	p.cache.Add(at.start.Prefix)
	if !at.start.Stream {
		// An answer that is not streamed has one item, at its end, so the end of its prefill
		// is estimated.
		time.AfterFunc(time.Duration(p.pendingTokens)*p.timePerToken, func() { a.prefillDone(at, false) })
	}
}

// prefillDone records that an attempt's prefill or the attempt itself has ended. measured
// means that the first item has just arrived, so that the prefill time is known.
func (a *Agent) prefillDone(at *attempt, measured bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, tokens := &a.prefill, at.prefill.tokens+at.prefill.ahead
	p.pendingTokens -= at.prefill.tokens
	at.prefill = attemptPrefill{}
	if measured && tokens >= minMeasuredTokens {
		p.timePerToken += (time.Since(at.startedAt)/time.Duration(tokens) - p.timePerToken) / prefillTimeSmoothing
	}
}

// prefillWait returns the expected time until all started prefills have ended; mu is held.
func (a *Agent) prefillWait() time.Duration {
	return time.Duration(a.prefill.pendingTokens) * a.prefill.timePerToken
}

// observeCache clears the cache estimate when the engine has restarted; mu is held.
func (a *Agent) observeCache(s *engine.State) {
	if s != nil && s.Incarnation != a.prefill.engineIncarnation {
		a.prefill.engineIncarnation = s.Incarnation
		a.prefill.cache.Clear()
	}
}
