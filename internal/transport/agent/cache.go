package agent

import (
	"context"
	"encoding/json"
	"time"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/prefix"
)

const (
	// cacheEventInterval is the pause between reads of an engine's cache events.
	cacheEventInterval = time.Second
	// maxIndexedBodyBytes bounds the request bodies whose prompt prefixes are matched with
	// cache events; hashing a longer one would cost the agent more than the hint is worth.
	maxIndexedBodyBytes = 256 << 10
)

// WatchCacheEvents reads an engine's cache events at intervals until the context ends.
func (a *Agent) WatchCacheEvents(ctx context.Context, e engine.Engine) {
	tick := time.NewTicker(cacheEventInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			a.ReadCacheEvents(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

// ReadCacheEvents applies the cache events since the last read to the cache estimate. A
// gap in the events marks the whole estimate as uncertain.
func (a *Agent) ReadCacheEvents(ctx context.Context, e engine.Engine) {
	a.mu.Lock()
	seq := a.prefill.lastEventSeq
	a.mu.Unlock()
	events, err := e.CacheEvents(ctx, seq)
	if err != nil {
		return // the next read shows whether events were missed
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.prefill
	for _, ev := range events.Events {
		if ev.Seq <= p.lastEventSeq {
			continue // late or duplicate
		}
		if ev.Seq != p.lastEventSeq+1 {
			p.cache.MarkUncertain()
		}
		p.lastEventSeq = ev.Seq
		if hash, ok := p.blocks.Get(ev.Prefix); ok && !ev.Added {
			p.cache.Drop(hash)
		}
	}
}

// indexCacheBlocks records which cache blocks end the prefixes of an attempt's prompt, so
// that their evictions can be recognized.
func (a *Agent) indexCacheBlocks(s wire.Start) {
	blocks := cacheBlocks(s)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prefill.blocks.Add(blocks)
}

// cacheBlocks returns the prefix hashes of an attempt's prompt, by the engine's name of the
// last whole cache block in each prefix.
func cacheBlocks(s wire.Start) map[string]uint64 {
	if len(s.Prefix) == 0 || len(s.Body) > maxIndexedBodyBytes {
		return nil
	}
	var body openai.Request
	if json.Unmarshal(s.Body, &body) != nil {
		return nil
	}
	if s.Kind != wire.KindChat {
		return prefix.TextBlocks(s.Model, s.Prefix, openai.ContentText(body.Prompt))
	}
	return prefix.ChatBlocks(s.Model, s.Prefix, openai.PromptParts(body.Messages))
}
