package agent

import (
	"context"
	"slices"
	"time"
)

// answerMemoryPollInterval is the pause between a blocked answer's checks for memory.
const answerMemoryPollInterval = 20 * time.Millisecond

// waitForAnswerMemory blocks while the answers of all attempts exceed MaxAnswerBytes. The
// engine is then held back by flow control on its connection; no item is lost.
func (a *Agent) waitForAnswerMemory(ctx context.Context) {
	for a.answerBytes.Load() > a.cfg.MaxAnswerBytes {
		a.trimAnswers()
		if a.answerBytes.Load() <= a.cfg.MaxAnswerBytes {
			return
		}
		timer := time.NewTimer(answerMemoryPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// trimAnswers drops items that were sent already, of ended attempts before running ones
// and of the earliest started first. An answer without its first items can no longer be
// resumed from its start.
func (a *Agent) trimAnswers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempts := make([]*attempt, 0, len(a.attempts))
	for _, at := range a.attempts {
		attempts = append(attempts, at)
	}
	slices.SortFunc(attempts, func(x, y *attempt) int { return x.startedAt.Compare(y.startedAt) })
	const headroom = 4 // a quarter is freed at once, so that not every item causes a trim
	target := a.cfg.MaxAnswerBytes - a.cfg.MaxAnswerBytes/headroom
	for _, running := range []bool{false, true} {
		for _, at := range attempts {
			if a.answerBytes.Load() <= target {
				return
			}
			if (at.currentPhase() == phaseRunning) == running {
				a.answerBytes.Add(-at.dropSent(a.cfg.ReconnectGrace))
			}
		}
	}
}

// dropAll drops all items and returns the bytes freed.
func (at *attempt) dropAll() int64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.dropTo(at.itemsOffset + len(at.items))
}

// dropSent drops the items that were sent, or all items if no entry reconnected within
// the grace period, and returns the bytes freed.
func (at *attempt) dropSent(grace time.Duration) int64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.outbox == nil && time.Since(at.detachedAt) >= grace {
		return at.dropTo(at.itemsOffset + len(at.items))
	}
	return at.dropTo(at.cursor)
}

func (at *attempt) dropTo(index int) int64 {
	freed := int64(0)
	for _, it := range at.items[:index-at.itemsOffset] {
		freed += int64(len(it))
	}
	at.items, at.itemsOffset = slices.Clone(at.items[index-at.itemsOffset:]), index
	at.cursor = max(at.cursor, index)
	return freed
}
