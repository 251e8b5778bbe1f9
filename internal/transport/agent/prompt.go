package agent

import (
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/prefix"
)

const (
	// heldMarks bounds what an agent remembers of its engine's prefix cache, about 1.5 MB with their names.
	heldMarks = 4096
	// defaultPerToken stands for the time per prompt token until it has been measured.
	defaultPerToken = 100 * time.Microsecond
	// leastMeasured is the least number of prompt tokens from which a time is learned;
	// for fewer the time to the first token is mostly that of the token itself.
	leastMeasured = 256
	// perTokenSmoothing is the weight of the measurements before the newest one.
	perTokenSmoothing = 8
)

// prompts is what an agent knows of the prompts that its engine computes. It is a hint
// for the choice of endpoints and decides nothing else; mu of the agent guards it.
type prompts struct {
	held *prefix.CacheEstimate
	// life is the engine's incarnation that held describes.
	life string
	// computing counts the prompt tokens that were begun and have no first item yet.
	computing int
	perToken  time.Duration
	// blocks names the engine's cache blocks at which marks end; seq is the last event read.
	blocks *prefix.BlockIndex
	seq    uint64
}

// prompt is the prompt of one running attempt.
type prompt struct {
	// tokens is the part that was probably not cached, ahead that of all prompts before it.
	tokens, ahead int
}

func newPrompts() prompts {
	return prompts{held: prefix.NewCacheEstimate(heldMarks), blocks: prefix.NewBlockIndex(heldMarks), perToken: defaultPerToken}
}

// promptBegun notes that the engine computes an attempt's prompt; mu is held.
func (a *Agent) promptBegun(at *attempt) {
	p := &a.prompts
	at.prompt.tokens = max(at.start.PromptTokens-p.held.CachedTokens(at.start.Prefix), 0)
	at.prompt.ahead = p.computing
	p.computing += at.prompt.tokens
	p.held.Add(at.start.Prefix)
	if !at.start.Stream {
		// The first item of an answer that is not streamed comes with the last.
		time.AfterFunc(time.Duration(p.computing)*p.perToken, func() { a.promptDone(at, false) })
	}
}

// promptDone notes that an attempt's prompt has been computed, or that the attempt
// ended; measured says that its first item has just arrived.
func (a *Agent) promptDone(at *attempt, measured bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, work := &a.prompts, at.prompt.tokens+at.prompt.ahead
	p.computing -= at.prompt.tokens
	at.prompt = prompt{}
	if measured && work >= leastMeasured {
		p.perToken += (time.Since(at.began)/time.Duration(work) - p.perToken) / perTokenSmoothing
	}
}

// promptWait is the expected time until prompts that were begun are computed; mu is held.
func (a *Agent) promptWait() time.Duration {
	return time.Duration(a.prompts.computing) * a.prompts.perToken
}

// observeCache forgets what an engine held before it restarted; mu is held.
func (a *Agent) observeCache(s *engine.State) {
	if s != nil && s.Incarnation != a.prompts.life {
		a.prompts.life = s.Incarnation
		a.prompts.held.Clear()
	}
}
