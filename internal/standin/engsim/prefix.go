package engsim

import (
	"container/list"
	"math/rand/v2"
	"strings"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/state/ident"
)

const (
	// blockTokens is the number of tokens in a cached prefix block.
	blockTokens = 16
	// maxEvents bounds the events kept; a reader sees a gap for the older ones.
	maxEvents = 1024
)

// CacheEventFaults configures the delay and loss of cache events.
type CacheEventFaults struct {
	Seed uint64 `yaml:"seed"`
	// Lag is the time from an event until it can be read.
	Lag time.Duration `yaml:"lag"`
	// GapProbability is the probability that a range of lost events begins at an event.
	GapProbability float64 `yaml:"drop"`
	// MaxGap bounds the number of events lost in one range; 0 disables losses.
	MaxGap int `yaml:"max_gap"`
}

// publishedEvent is a cache event with the time from which it can be read.
type publishedEvent struct {
	engine.CacheEvent
	readableAt time.Time
}

// prefixCache is a least-recently-used cache of prompt prefix blocks.
type prefixCache struct {
	size   int
	order  *list.List
	blocks map[string]*list.Element
	events []publishedEvent
	seq    uint64
	cfg    CacheEventFaults
	rand   *rand.Rand
	// lossesLeft is the number of events still to be lost in the current range.
	lossesLeft int
}

type block struct{ model, hash string }

func newPrefixCache(size int, cfg CacheEventFaults) *prefixCache {
	return &prefixCache{
		size: size, order: list.New(), blocks: map[string]*list.Element{}, cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 3)),
	}
}

func (p *prefixCache) reset() {
	p.order.Init()
	clear(p.blocks)
}

// use returns how many tokens of the prompt were cached, and caches all its blocks.
func (p *prefixCache) use(model, prompt string) int {
	words := strings.Fields(prompt)
	cached, hit := 0, true
	for end := blockTokens; end <= len(words); end += blockTokens {
		hash := ident.Fingerprint("", model, []byte(strings.Join(words[:end], " ")))
		if el, ok := p.blocks[hash]; ok {
			p.order.MoveToFront(el)
			if hit {
				cached = end
			}
			continue
		}
		hit = false
		p.add(block{model, hash})
	}
	return cached
}

func (p *prefixCache) add(b block) {
	if p.size == 0 {
		return
	}
	p.blocks[b.hash] = p.order.PushFront(b)
	p.publish(b, true)
	for p.order.Len() > p.size {
		old := p.order.Remove(p.order.Back()).(block)
		delete(p.blocks, old.hash)
		p.publish(old, false)
	}
}

func (p *prefixCache) publish(b block, added bool) {
	p.seq++
	if p.lossesLeft == 0 && p.cfg.MaxGap > 0 && p.rand.Float64() < p.cfg.GapProbability {
		p.lossesLeft = 1 + p.rand.IntN(p.cfg.MaxGap)
	}
	if p.lossesLeft > 0 {
		p.lossesLeft--
		return
	}
	p.events = append(p.events, publishedEvent{
		engine.CacheEvent{Seq: p.seq, Model: b.model, Prefix: b.hash, Added: added}, time.Now().Add(p.cfg.Lag),
	})
	if len(p.events) > maxEvents {
		p.events = p.events[len(p.events)-maxEvents:]
	}
}

// since returns the events after a sequence number that can be read now.
func (p *prefixCache) since(seq uint64) []engine.CacheEvent {
	now := time.Now()
	var out []engine.CacheEvent
	for _, ev := range p.events {
		if ev.readableAt.After(now) {
			break
		}
		if ev.Seq > seq {
			out = append(out, ev.CacheEvent)
		}
	}
	return out
}
