package trial

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/state/prefix"
)

// ChatScenario is a fleet that answers chats. Each model is held by Copies engines.
type ChatScenario struct {
	Name                             string
	Engines, Models, Copies, Entries int
	// CacheTokens is the size of an engine's prefix cache.
	CacheTokens int
	// ChatRate is the number of new chats per second and engine.
	ChatRate float64
	// MeanTurns is the mean number of turns of a chat.
	MeanTurns int
	// MeanThinkTime is the mean time from an answer to the next turn.
	MeanThinkTime time.Duration
	// SharedInstructionsShare is the share of chats that begin with the same instructions of their model.
	SharedInstructionsShare float64
	// SharedFirstMessageShare is the share of chats of a model whose first message is the same.
	SharedFirstMessageShare float64
	// JoinSlowdown multiplies the time per prompt token of an engine that joins, for its first 20 s.
	JoinSlowdown float64
	// EngineJoins adds an engine that holds every model halfway.
	EngineJoins bool
	Horizon     time.Duration
}

// ChatScenarios returns the fleets of the experiment on routing.
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

// RoutingRules are the rules of routing that the experiment switches.
type RoutingRules struct {
	Name string
	// ConversationHomes places a chat's homes by its conversation instead of by each body.
	ConversationHomes bool
	// DigestsInProbes lets a probe carry the marks of the prompt, so that the agent says what is cached.
	DigestsInProbes bool
	// DispatchIndex lets an entry remember its own dispatches.
	DispatchIndex bool
	// EvictionEvents lets the agent follow its engine's evictions.
	EvictionEvents bool
	// PrefillBacklog lets the expected wait count prompts that are being computed.
	PrefillBacklog bool
	// LeaveBusyHomes lets a turn leave homes where it would wait.
	LeaveBusyHomes bool
}

// chatRules are the sets of rules compared; the first is the product's.
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

// The chats of the model. An engine computes prompts one after the other; a turn's
// prompt holds the instructions, all earlier turns and their answers.
const (
	promptPerToken = 100 * time.Microsecond
	templateTokens = 1500
	templates      = 8
	leastMessage   = 50
	mostMessage    = 400
	blockTokens    = 16
	reportFresh    = 100 * time.Millisecond
	permitDelay    = 2 * time.Millisecond
	eventDelay     = time.Second
	heldMarks      = 4096
	// spillWait, leastMeasured and perTokenSmoothing are those of entry and agent.
	spillWait         = 100 * time.Millisecond
	leastMeasured     = 256
	perTokenSmoothing = 8
	mapMarks          = 8192
)

// blocks is a prefix cache of finite size, least recently used first out.
type blocks struct {
	size  int
	order *list.List
	at    map[uint64]*list.Element
	// evicted is called for each block that leaves.
	evicted func(uint64)
}

func (b *blocks) use(keys []uint64) (cached int) {
	hit := true
	for _, k := range keys {
		if el, ok := b.at[k]; ok {
			b.order.MoveToFront(el)
			if hit {
				cached += blockTokens
			}
			continue
		}
		hit = false
		b.at[k] = b.order.PushFront(k)
	}
	for b.order.Len() > b.size {
		k := b.order.Remove(b.order.Back()).(uint64)
		delete(b.at, k)
		b.evicted(k)
	}
	return cached
}

type chatEngine struct {
	id      string
	running int
	queue   []*turn
	served  int
	cache   blocks
	held    *prefix.CacheEstimate
	// ends maps the last block of a mark to the mark's hash.
	ends map[uint64]uint64
	// computed is when the prompts that were begun are computed.
	computed time.Duration
	// computing and perToken are the agent's view of it.
	computing int
	perToken  time.Duration
	slowUntil time.Duration
	// gap is set when events were lost since the last one.
	gap   bool
	since map[int]time.Duration
}

// chat is a conversation.
type chat struct {
	id, model, template int
	turns, turn         int
	// tokens is the length of all messages so far; ends are the lengths at which turns ended.
	tokens int
	ends   []int
	r      *rand.Rand
	// home is the key of the conversation's homes.
	home string
}

type turn struct {
	c      *chat
	entry  *chatEntry
	at     time.Duration
	blocks []uint64
	marks  prefix.Digests
}

func hashOf(v ...any) uint64 { return xxhash.Sum64String(fmt.Sprint(v...)) }

// next returns the prompt of the conversation's next turn.
func (c *chat) next(at time.Duration) *turn {
	c.tokens += leastMessage + c.r.IntN(mostMessage-leastMessage)
	c.ends = append(c.ends, templateTokens+c.tokens)
	t := &turn{c: c, at: at}
	t.marks = append(t.marks, prefix.Digest{Hash: hashOf("template", c.model, c.template), Tokens: templateTokens})
	for i := max(0, len(c.ends)-prefix.MaxDigests+1); i < len(c.ends); i++ {
		t.marks = append(t.marks, prefix.Digest{Hash: hashOf("turn", c.id, i), Tokens: c.ends[i]})
	}
	t.blocks = c.keys(templateTokens + c.tokens)
	return t
}

// keys returns the cache blocks of the first tokens of a conversation.
func (c *chat) keys(tokens int) []uint64 {
	var out []uint64
	for i := 0; (i+1)*blockTokens <= tokens; i++ {
		k := uint64(c.id+1)<<32 | uint64(i)
		if (i+1)*blockTokens <= templateTokens {
			k = uint64(c.model*templates+c.template+1)<<52 | uint64(i)
		}
		out = append(out, k)
	}
	return out
}

// report is a load report as an entry holds it.
type loadReport struct {
	at             time.Duration
	wait, perToken time.Duration
	busy           int
}

type chatEntry struct {
	reports  map[[2]int]loadReport
	inFlight map[string]int
	held     *prefix.Index
}

// atOnce bounds the runs at one time.
const atOnce = 4
