package agent

import (
	"context"
	"slices"
	"time"
)

// roomPoll is how often a held-up answer looks for room.
const roomPoll = 20 * time.Millisecond

// waitRoom holds up an answer while the answers of all attempts take too much
// memory. The engine then stops at its full connection; nothing is lost.
func (a *Agent) waitRoom(ctx context.Context) {
	for a.held.Load() > a.cfg.MaxAnswerBytes {
		a.evict()
		if a.held.Load() <= a.cfg.MaxAnswerBytes {
			return
		}
		timer := time.NewTimer(roomPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// evict drops what was sent already: the answers that ended first, then the sent part of
// running ones. Such an answer can no longer be resumed from its start.
func (a *Agent) evict() {
	a.mu.Lock()
	defer a.mu.Unlock()
	ended := make([]*attempt, 0, len(a.attempts))
	for _, at := range a.attempts {
		ended = append(ended, at)
	}
	slices.SortFunc(ended, func(x, y *attempt) int { return x.began.Compare(y.began) })
	const headroom = 4 // one part in four is freed, so that not every item evicts
	target := a.cfg.MaxAnswerBytes - a.cfg.MaxAnswerBytes/headroom
	for _, running := range []bool{false, true} {
		for _, at := range ended {
			if a.held.Load() <= target {
				return
			}
			if (at.current() == phaseRunning) == running {
				a.held.Add(-at.dropSent(a.cfg.ReconnectGrace))
			}
		}
	}
}

// drop empties the answer and returns the bytes freed.
func (at *attempt) drop() int64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.dropTo(at.base + len(at.items))
}

// dropSent drops the items that were sent, or all when nobody follows any more.
func (at *attempt) dropSent(grace time.Duration) int64 {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.out == nil && time.Since(at.lostAt) >= grace {
		return at.dropTo(at.base + len(at.items))
	}
	return at.dropTo(at.cursor)
}

func (at *attempt) dropTo(index int) int64 {
	freed := int64(0)
	for _, it := range at.items[:index-at.base] {
		freed += int64(len(it))
	}
	at.items, at.base = slices.Clone(at.items[index-at.base:]), index
	at.cursor = max(at.cursor, index)
	return freed
}
