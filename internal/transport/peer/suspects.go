package peer

import (
	"time"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/poison"
)

// maxReportKeys bounds the keys in one message, 20 bytes each, and those that are sent again.
const maxReportKeys = 16384

// recentReport is a crash report that is sent again for a while.
type recentReport struct {
	report poison.CrashReport
	at     time.Time
}

// RecordPartCrash records that an engine crashed before it answered a request with some parts. crash
// identifies the crash, so that other requests that were lost with it don't count as further ones;
// trial is set if the request ran on trial.
func (t *PoisonTracker) RecordPartCrash(parts []uint64, crash uint64, trial bool) {
	t.mu.Lock()
	report := t.suspects.Crashed(parts, crash, trial, time.Now())
	t.mu.Unlock()
	if len(report.Keys) > 0 {
		t.spread([]poison.CrashReport{report})
	}
}

// RecordPartAnswer records that a request with some parts got the first item of its answer.
func (t *PoisonTracker) RecordPartAnswer(parts []uint64) {
	t.mu.Lock()
	reports := t.suspects.Answered(parts, time.Now())
	t.mu.Unlock()
	t.spread(reports)
}

// JudgeParts reports whether a request is blocked because one of its parts crashes engines, and
// otherwise whether it runs on trial.
func (t *PoisonTracker) JudgeParts(parts []uint64) (blocked, trial bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	b, found := t.suspects.Blocked(parts, now)
	if !found {
		return false, false
	}
	t.suspects.Extend(parts, now)
	pause, more := b.TrialPause()
	last, known := t.triedAt[b.Key]
	if !known && pause > 0 {
		if len(t.triedAt) >= maxTriedKeys {
			clear(t.triedAt)
		}
		last, t.triedAt[b.Key] = now, now
	}
	if !more || now.Sub(last) < max(pause, minTrialPause) {
		return true, false
	}
	t.triedAt[b.Key] = now
	return false, true
}

const (
	// minTrialPause is the least time between two trials of a key here, in which one has its answer.
	minTrialPause = time.Second
	// maxTriedKeys bounds the keys whose trials are remembered.
	maxTriedKeys = 1024
)

// spread sends reports to random processes, now and for a while.
func (t *PoisonTracker) spread(reports []poison.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	t.mu.Lock()
	for _, r := range reports {
		t.recent = append(t.recent, recentReport{r, now})
	}
	pool, peers := t.pool, t.peers
	t.mu.Unlock()
	if pool != nil {
		t.send(pool, t.sample(peers(), recordFanout), wire.CrashRecordList{Reports: encodeReports(reports)})
	}
}

// ReceiveReports merges the reports of another process and passes on those that are new.
func (t *PoisonTracker) ReceiveReports(reports []wire.CrashReport) {
	now := time.Now()
	var news []poison.CrashReport
	t.mu.Lock()
	left := maxReportKeys
	for _, w := range reports {
		if left -= 1 + len(w.Keys) + len(w.Cleared); left < 0 {
			break
		}
		if r := (poison.CrashReport{Crash: w.Crash, Trial: w.Trial, Keys: w.Keys, Cleared: w.Cleared}); t.suspects.Add(r, now) {
			news = append(news, r)
		}
	}
	t.mu.Unlock()
	t.spread(news)
}

// recentReports returns the newest reports that are sent again; mu is held.
func (t *PoisonTracker) recentReports(now time.Time) []poison.CrashReport {
	for len(t.recent) > 0 && now.Sub(t.recent[0].at) > repeatPeriod {
		t.recent = t.recent[1:]
	}
	var out []poison.CrashReport
	left := maxReportKeys
	for i := len(t.recent) - 1; i >= 0; i-- {
		r := t.recent[i].report
		if left -= 1 + len(r.Keys) + len(r.Cleared); left < 0 {
			t.recent = t.recent[i+1:]
			break
		}
		out = append(out, r)
	}
	return out
}

func encodeReports(reports []poison.CrashReport) []wire.CrashReport {
	out := make([]wire.CrashReport, 0, len(reports))
	for _, r := range reports {
		out = append(out, wire.CrashReport{Crash: r.Crash, Trial: r.Trial, Keys: r.Keys, Cleared: r.Cleared})
	}
	return out
}
