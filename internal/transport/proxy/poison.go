package proxy

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

const (
	// blockResend is the pause between two messages to the other gateways about a blocked key, while
	// requests with it come. They reach gateways that were cut off or have just started.
	blockResend = time.Second
	// blockSave is the pause between two writes of a block that goes on, a fraction of its reports'
	// life.
	blockSave = poison.RecordTTL / 6
	// maxBlocks bounds the blocks that are known.
	maxBlocks = 1024
)

// block is what a gateway did about a blocked key.
type block struct {
	sentAt, savedAt time.Time
	// claimAt is when it may claim a trial, by whether another key explains the request's crashes.
	claimAt map[bool]time.Time
	// trialCrashes is the number of trials that had crashed an endpoint when claimAt was set.
	trialCrashes int
}

// poisonTracker keeps what is known of keys that crash endpoints: requests as a whole, and the parts
// of their prompts.
type poisonTracker struct {
	mu       sync.Mutex
	suspects *poison.Suspects
	// blocks holds what this gateway blocks, by key.
	blocks map[uint64]block
	// kept are the blocked keys in the reports that were last returned to outlive the process.
	kept map[uint64]bool
	// restored is closed once the reports that outlived earlier processes were read.
	restored    chan struct{}
	restoreOnce sync.Once
}

func newPoisonTracker() *poisonTracker {
	return &poisonTracker{suspects: poison.NewSuspects(), blocks: map[uint64]block{}, kept: map[uint64]bool{}, restored: make(chan struct{})}
}

// requestKey identifies requests with the same method, host, target and body.
func (c *call) requestKey() uint64 {
	if c.cachedRequestKey == 0 {
		d := xxhash.New()
		_, _ = d.WriteString(c.in.Method + " " + c.in.Host + c.in.RequestURI + "\n")
		for _, b := range c.body.Segments() {
			_, _ = d.Write(b)
		}
		c.cachedRequestKey = d.Sum64()
	}
	return c.cachedRequestKey
}

// keys identifies the request and the parts of its prompt that other requests may hold too.
func (c *call) keys() []uint64 { return append(slices.Clone(c.partKeys), c.requestKey()) }

// sharedPartKeys returns the keys of a prompt's parts that other requests may hold too: all but
// the last. The key of a part covers the service, whose endpoints run the same software, but
// neither the model nor the parts before it.
func sharedPartKeys(service, prompt string) []uint64 {
	parts := strings.Split(prompt, ",")
	var out []uint64
	for _, p := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(p, ":")
		if id = strings.ToLower(strings.TrimSpace(id)); id == "" {
			break
		}
		out = append(out, xxhash.Sum64String(service+"\n"+id))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// incarnationKey identifies an endpoint incarnation in crash reports.
func incarnationKey(e fleet.Endpoint) uint64 { return xxhash.Sum64String(poolKey(e)) }

// blockOf returns the block of a request, and false if it may run.
func (t *poisonTracker) blockOf(c *call, now time.Time) (poison.Block, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects.Empty() {
		return poison.Block{}, false
	}
	return t.suspects.Blocked(c.keys(), now)
}

// noteBlock records that a request is blocked, and returns what is due: to tell the other gateways, to
// save the reports again, and to claim a trial.
func (t *poisonTracker) noteBlock(b poison.Block, now time.Time) (send, save, claim bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, known := t.blocks[b.Key]
	if !known {
		if len(t.blocks) >= maxBlocks {
			clear(t.blocks)
		}
		k = block{savedAt: now, claimAt: map[bool]time.Time{}}
	}
	send, save = now.Sub(k.sentAt) >= blockResend, now.Sub(k.savedAt) >= blockSave
	pause, more := b.TrialPause()
	if !known || k.trialCrashes != b.TrialCrashes {
		k.trialCrashes, k.claimAt[b.Explained] = b.TrialCrashes, now.Add(pause)
	}
	claim = more && !now.Before(k.claimAt[b.Explained])
	if send {
		k.sentAt = now
	}
	if save {
		k.savedAt = now
	}
	t.blocks[b.Key] = k
	return send, save, claim
}

// noteClaim records when the next claim of a trial may succeed.
func (t *poisonTracker) noteClaim(b poison.Block, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k, ok := t.blocks[b.Key]; ok {
		k.claimAt[b.Explained] = at
	}
}

// blocked reports whether a request is rejected because it would crash the endpoint that runs it.
// While a trial of it may be claimed it isn't, until it is about to be sent and the claim is made.
func (h *Handler) blocked(c *call, send bool) bool {
	if c.trial {
		return false
	}
	now := time.Now()
	b, blocked := h.poisonTracker.blockOf(c, now)
	if !blocked {
		return false
	}
	tell, save, claim := h.poisonTracker.noteBlock(b, now)
	claim = claim && h.cfg.Durable != nil
	if tell {
		h.log.WithFields(logrus.Fields{
			"request": c.id, "key": formatKey(b.Key), "prompt": c.in.Header.Get(h.cfg.Headers.PromptPrefix),
			"crashes": b.Crashes, "trial_crashes": b.TrialCrashes, "explained": b.Explained, "whole_request": b.Key == c.requestKey(),
		}).Warn("requests are rejected because they crash endpoints")
		h.control.BroadcastCrashReports(h.poisonTracker.extend(c, b.Key, now))
	}
	if save {
		h.saveCrashes()
	}
	if !claim || !send {
		return !claim
	}
	c.trial = h.claimTrial(c, b)
	return !c.trial
}

func formatKey(key uint64) string { return strconv.FormatUint(key, 36) }

// extend makes what is known of a request's blocked keys last, and returns the reports of one of them.
func (t *poisonTracker) extend(c *call, key uint64, now time.Time) []poison.CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspects.Extend(c.keys(), now)
	return t.suspects.Report(key)
}

// suspected is a request under which a connection to an endpoint broke.
type suspected struct {
	keys     []uint64
	endpoint fleet.Endpoint
	trial    bool
	fields   logrus.Fields
}

// suspectedOf returns what a crash of an endpoint says of a request. One that was being answered didn't
// crash it by a part of its prompt.
func (h *Handler) suspectedOf(c *call, e fleet.Endpoint) suspected {
	keys := c.keys()
	if c.answerBegun {
		keys = []uint64{c.requestKey()}
	}
	return suspected{keys, e, c.trial, logrus.Fields{
		"request": c.id, "endpoint": e.ID, "key": formatKey(c.requestKey()), "trial": c.trial,
		"prompt": c.in.Header.Get(h.cfg.Headers.PromptPrefix), "events": c.timeToFirstEvent > 0,
	}}
}

// recordCrash records that an endpoint ended while it had a request.
func (h *Handler) recordCrash(s suspected, now time.Time) {
	t := h.poisonTracker
	t.mu.Lock()
	report := t.suspects.Crashed(s.keys, incarnationKey(s.endpoint), s.trial, now)
	t.mu.Unlock()
	h.metrics.crashReports.WithLabelValues("own").Inc()
	if s.trial {
		h.metrics.trials.WithLabelValues("crashed").Inc()
	}
	h.log.WithFields(s.fields).WithFields(logrus.Fields{"crash": formatKey(report.Crash), "suspects": len(report.Keys)}).Info("crash recorded")
	if len(report.Keys) == 0 {
		return
	}
	h.control.BroadcastCrashReports([]poison.CrashReport{report})
	h.saveCrashes()
}

// recordAnswer records that an endpoint has begun to answer the request, which clears the parts of its
// prompt.
func (h *Handler) recordAnswer(c *call, now time.Time) {
	if c.answerBegun {
		return
	}
	c.answerBegun = true
	h.clearCrashes(c, c.partKeys, now)
}

// recordCompletion records that the request was answered whole, which clears it.
func (h *Handler) recordCompletion(c *call, now time.Time) {
	t := h.poisonTracker
	t.mu.Lock()
	idle := t.suspects.Empty()
	t.mu.Unlock()
	if !idle {
		h.clearCrashes(c, []uint64{c.requestKey()}, now)
	}
}

func (h *Handler) clearCrashes(c *call, keys []uint64, now time.Time) {
	if len(keys) == 0 {
		return
	}
	t := h.poisonTracker
	t.mu.Lock()
	reports := t.suspects.Answered(keys, now)
	t.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	if c.trial {
		h.log.WithFields(logrus.Fields{"request": c.id, "crashes": len(reports)}).Warn("a trial was answered, and ends the block of what it holds")
		h.metrics.trials.WithLabelValues("answered").Inc()
	}
	h.control.BroadcastCrashReports(reports)
	h.saveCleared(reports)
}

// saveCleared saves the reports anew if a block that is kept was ended, so that the next processes don't
// read it.
func (h *Handler) saveCleared(reports []poison.CrashReport) {
	t, ended := h.poisonTracker, false
	t.mu.Lock()
	for _, r := range reports {
		for _, k := range r.Cleared {
			ended = ended || t.kept[k]
			delete(t.kept, k)
		}
	}
	t.mu.Unlock()
	if ended {
		h.saveCrashes()
	}
}

// MergeCrashReport merges another gateway's crash report, and reports whether it is news.
func (h *Handler) MergeCrashReport(r poison.CrashReport) bool {
	t := h.poisonTracker
	t.mu.Lock()
	news := t.suspects.Add(r, time.Now())
	t.mu.Unlock()
	if !news {
		return false
	}
	h.metrics.crashReports.WithLabelValues("received").Inc()
	h.log.WithFields(logrus.Fields{"crash": formatKey(r.Crash), "trial": r.Trial, "suspects": len(r.Keys), "cleared": len(r.Cleared)}).Info("crash report received")
	h.saveCleared([]poison.CrashReport{r})
	return true
}
