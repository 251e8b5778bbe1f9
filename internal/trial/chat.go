package trial

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/prefix"
)

// ChatScenario is a fleet that serves multi-turn chats. Each model has Copies replicas.
type ChatScenario struct {
	Name                             string
	Engines, Models, Copies, Entries int
	// CacheTokens is the size of an engine's prefix cache in tokens.
	CacheTokens int
	// ChatRate is the number of new chats per second and engine.
	ChatRate float64
	// MeanTurns is the mean number of turns of a chat.
	MeanTurns int
	// MeanThinkTime is the mean time from the end of an answer to the next turn.
	MeanThinkTime time.Duration
	// SharedInstructionsShare is the share of chats that begin with the most frequent instructions of their model.
	SharedInstructionsShare float64
	// SharedFirstMessageShare is the share of chats of a model whose first message is the same.
	SharedFirstMessageShare float64
	// JoinSlowdown multiplies the prefill time per token of a joining engine for its first 20 s; 0 means none.
	JoinSlowdown float64
	// EngineJoins adds an engine that holds every model at half of the horizon.
	EngineJoins bool
	Horizon     time.Duration
}

// ChatScenarios returns the scenarios of the routing experiment.
func ChatScenarios() []ChatScenario {
	s := ChatScenario{Name: "chats", Engines: 18, Models: 6, Copies: 6, Entries: 4, CacheTokens: 100_000, ChatRate: 0.35, MeanTurns: 6, MeanThinkTime: 10 * time.Second, SharedInstructionsShare: 0.3, Horizon: 4 * time.Minute}
	small, hot, pauses, joins, slow, single, examples, many := s, s, s, s, s, s, s, s
	slow.Name, slow.EngineJoins, slow.JoinSlowdown = "a slow engine joins", true, 4
	examples.Name, examples.SharedFirstMessageShare = "same first message", 0.9
	small.Name, small.CacheTokens = "small caches", 30_000
	hot.Name, hot.SharedInstructionsShare = "hot instructions", 0.9
	pauses.Name, pauses.MeanThinkTime = "long pauses", time.Minute
	joins.Name, joins.EngineJoins = "an engine joins", true
	single.Name, single.EngineJoins, single.MeanTurns, single.ChatRate = "single turns, an engine joins", true, 1, 2.8
	many.Name, many.Engines, many.Models, many.Copies, many.Entries = "many entries", 72, 6, 24, 60
	many.Horizon = 2 * time.Minute
	return []ChatScenario{s, small, hot, examples, pauses, joins, slow, single, many}
}

// RoutingRules are the routing rules that the experiment turns on and off.
type RoutingRules struct {
	Name string
	// ConversationHomes derives the home key from the conversation instead of from each request body.
	ConversationHomes bool
	// DigestsInProbes sends the prefix digests with a probe, so that the agent replies how much is cached.
	DigestsInProbes bool
	// DispatchIndex makes an entry estimate cached prefixes from its own dispatches.
	DispatchIndex bool
	// EvictionEvents makes the agent apply its engine's cache evictions to its estimate.
	EvictionEvents bool
	// PrefillBacklog adds the pending prefill to the expected wait.
	PrefillBacklog bool
	// LeaveBusyHomes also samples endpoints other than the homes when the chosen home's wait reaches spillWait.
	LeaveBusyHomes bool
}

// chatRules returns the rule sets that are compared; the first is the product's.
func chatRules() []RoutingRules {
	all := RoutingRules{Name: "(all rules)", ConversationHomes: true, DigestsInProbes: true, DispatchIndex: true, PrefillBacklog: true, LeaveBusyHomes: true, EvictionEvents: true}
	without := func(name string, change func(*RoutingRules)) RoutingRules {
		r := all
		r.Name = name
		change(&r)
		return r
	}
	return []RoutingRules{
		all,
		without("homes by conversation", func(r *RoutingRules) { r.ConversationHomes = false }),
		without("marks in probes", func(r *RoutingRules) { r.DigestsInProbes = false }),
		without("own dispatches", func(r *RoutingRules) { r.DispatchIndex = false }),
		without("prompts in the wait", func(r *RoutingRules) { r.PrefillBacklog = false }),
		without("leaving busy homes", func(r *RoutingRules) { r.LeaveBusyHomes = false }),
		without("evictions", func(r *RoutingRules) { r.EvictionEvents = false }),
		{Name: "all of these rules"},
	}
}

// Parameters of the chat simulation. An engine prefills prompts one after the other; the
// prompt of a turn holds the instructions, all earlier turns and their answers.
const (
	prefillPerToken      = 100 * time.Microsecond
	templateTokens       = 1500
	templatesPerModel    = 8
	minMessageTokens     = 50
	maxMessageTokens     = 400
	blockTokens          = 16
	reportMaxAge         = 100 * time.Millisecond
	permitDelay          = 2 * time.Millisecond
	eventDelay           = time.Second
	cacheEstimateDigests = 4096
	// spillWait, minMeasuredTokens and perTokenSmoothing are the values of entry and agent.
	spillWait            = 100 * time.Millisecond
	minMeasuredTokens    = 256
	perTokenSmoothing    = 8
	dispatchIndexDigests = 8192
)

// blockCache is a prefix cache of size blocks that evicts the least recently used block.
type blockCache struct {
	size     int
	order    *list.List
	elements map[uint64]*list.Element
	// evicted is called for each evicted block.
	evicted func(uint64)
}

func (b *blockCache) use(keys []uint64) (cached int) {
	hit := true
	for _, k := range keys {
		if el, ok := b.elements[k]; ok {
			b.order.MoveToFront(el)
			if hit {
				cached += blockTokens
			}
			continue
		}
		hit = false
		b.elements[k] = b.order.PushFront(k)
	}
	for b.order.Len() > b.size {
		k := b.order.Remove(b.order.Back()).(uint64)
		delete(b.elements, k)
		b.evicted(k)
	}
	return cached
}

type chatEngine struct {
	id       string
	running  int
	queue    []*turn
	served   int
	cache    blockCache
	estimate *prefix.CacheEstimate
	// digestAtBlock maps the last block of a digest's prefix to the digest's hash.
	digestAtBlock map[uint64]uint64
	// prefillDone is when the prefill of all started requests ends.
	prefillDone time.Duration
	// prefillTokens and perToken are the agent's estimates of the pending prefill and its time per token.
	prefillTokens int
	perToken      time.Duration
	slowUntil     time.Duration
	// eventsLost is set when events were lost since the last one delivered.
	eventsLost    bool
	residentSince map[int]time.Duration
}

// chat is the state of a conversation.
type chat struct {
	id, model, template int
	turns, turn         int
	// tokens is the length of all messages so far, without the instructions; turnEnds holds
	// the prompt length of each turn, with them.
	tokens   int
	turnEnds []int
	r        *rand.Rand
	// homeKey selects the conversation's homes.
	homeKey string
}

type turn struct {
	c       *chat
	entry   *chatEntry
	at      time.Duration
	blocks  []uint64
	digests prefix.Digests
}

func hashOf(v ...any) uint64 { return xxhash.Sum64String(fmt.Sprint(v...)) }

// nextTurn appends a user message and returns the next turn with its prompt.
func (c *chat) nextTurn(at time.Duration) *turn {
	c.tokens += minMessageTokens + c.r.IntN(maxMessageTokens-minMessageTokens)
	c.turnEnds = append(c.turnEnds, templateTokens+c.tokens)
	t := &turn{c: c, at: at}
	t.digests = append(t.digests, prefix.Digest{Hash: hashOf("template", c.model, c.template), Tokens: templateTokens})
	for i := max(0, len(c.turnEnds)-prefix.MaxDigests+1); i < len(c.turnEnds); i++ {
		t.digests = append(t.digests, prefix.Digest{Hash: hashOf("turn", c.id, i), Tokens: c.turnEnds[i]})
	}
	t.blocks = c.blockKeys(templateTokens + c.tokens)
	return t
}

// blockKeys returns the keys of the full cache blocks in the first tokens of a conversation.
func (c *chat) blockKeys(tokens int) []uint64 {
	var out []uint64
	for i := 0; (i+1)*blockTokens <= tokens; i++ {
		k := uint64(c.id+1)<<32 | uint64(i)
		if (i+1)*blockTokens <= templateTokens {
			k = uint64(c.model*templatesPerModel+c.template+1)<<52 | uint64(i)
		}
		out = append(out, k)
	}
	return out
}

// loadReport is an agent's load report as an entry caches it.
type loadReport struct {
	at             time.Duration
	wait, perToken time.Duration
	busy           int
}

type chatEntry struct {
	reports    map[[2]int]loadReport
	inFlight   map[string]int
	dispatches *prefix.Index
}

// maxParallelRuns bounds the simulations that run in parallel.
const maxParallelRuns = 4
