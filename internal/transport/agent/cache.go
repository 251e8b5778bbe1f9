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
	// cacheInterval is how often an engine's cache events are read.
	cacheInterval = time.Second
	// describedBytes bounds the body whose beginnings are matched with cache events;
	// hashing a longer one would cost the agent more than the hint is worth.
	describedBytes = 256 << 10
)

// WatchCacheEvents follows an engine's cache events until the context ends.
func (a *Agent) WatchCacheEvents(ctx context.Context, e engine.Engine) {
	tick := time.NewTicker(cacheInterval)
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

// ReadCacheEvents takes the cache events since the last reading. After a gap, what the
// engine held before is uncertain.
func (a *Agent) ReadCacheEvents(ctx context.Context, e engine.Engine) {
	a.mu.Lock()
	seq := a.prompts.seq
	a.mu.Unlock()
	events, err := e.CacheEvents(ctx, seq)
	if err != nil {
		return // the next reading shows whether events were missed
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &a.prompts
	for _, ev := range events.Events {
		if ev.Seq <= p.seq {
			continue // late or repeated
		}
		if ev.Seq != p.seq+1 {
			p.held.MarkUncertain()
		}
		p.seq = ev.Seq
		if mark, ok := p.blocks.Get(ev.Prefix); ok && !ev.Added {
			p.held.Drop(mark)
		}
	}
}

// nameBlocks prepares for the evictions of an attempt's prompt.
func (a *Agent) nameBlocks(s wire.Start) {
	names := blocksOf(s)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prompts.blocks.Add(names)
}

// blocksOf returns the engine's name of the last whole cache block within each
// beginning of an attempt's prompt.
func blocksOf(s wire.Start) map[string]uint64 {
	if len(s.Prefix) == 0 || len(s.Body) > describedBytes {
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
