package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilhead/internal/state/sets"
)

const (
	// blockingCrashes is the number of endpoint incarnations that end under a key, with no answer
	// since, until the key is blocked. The platform allows three for a request and five for a part.
	blockingCrashes = 3
	// maxTrialCrashes is the number of trials that may end an endpoint until a key has no more of
	// them. The platform allows three requests of a blocked kind to reach endpoints.
	maxTrialCrashes = 3
	// trialPause is the time from a block to its first trial, in which requests that are answered end
	// the block without one. It grows by trialFactor with each trial that ends an endpoint.
	trialPause  = time.Second
	trialFactor = 8
	// answerWindow is the time after an answer in which a crash says nothing of the key, so that
	// endpoints which end together don't block what is in common use.
	answerWindow = 2 * time.Second
	// maxKeyCrashes bounds the crashes of one key: those that block it and some that came before
	// all processes knew.
	maxKeyCrashes = 8
	// maxSuspectBytes bounds the memory of the suspect keys: ten prompts of as many parts as fit into
	// 16 KB, or a thousand of ten.
	maxSuspectBytes = 2 << 20
	// MaxKeptBytes bounds the reports that are worth keeping beyond the process; the platform's store
	// takes 64 KB in a row.
	MaxKeptBytes = 24 << 10
	// maxAnsweredKeys bounds the keys in each of the two generations of answers, 0.5 MB each.
	maxAnsweredKeys = 16384
	// keyBytes and crashBytes are about what a suspect key and each of its crashes take.
	keyBytes, crashBytes = 96, 16
)

// CrashReport says which keys were in use by requests that ended unanswered with an endpoint
// incarnation.
type CrashReport struct {
	// Crash identifies the endpoint incarnation that ended.
	Crash uint64
	// Trial is set if one of the requests ran on trial.
	Trial bool
	// Keys are those with no answer since, Cleared those with one.
	Keys, Cleared []uint64
	// Remaining is the time until the report expires; 0 stands for RecordTTL.
	Remaining time.Duration
}

// Block is a key that is taken to crash endpoints.
type Block struct {
	Key uint64
	// Crashes is the number of endpoint incarnations that ended under the key, and TrialCrashes that
	// of those which ended under a trial.
	Crashes, TrialCrashes int
	// Explained is set if a key that the request doesn't hold accounts for the same crashes, so that
	// the request is probably sound.
	Explained bool
}

// TrialPause returns the least time from one trial of the key, or from its block, to the next, and false
// if it has no more trials. A request that is probably sound is tried at once.
func (b Block) TrialPause() (time.Duration, bool) {
	pause := trialPause
	for range b.TrialCrashes {
		pause *= trialFactor
	}
	if b.Explained {
		pause = 0
	}
	return pause, b.TrialCrashes < maxTrialCrashes
}

// Suspects finds the keys that crash endpoints: parts of prompts, or whole requests. It is pure and
// not safe for concurrent use, and merging reports is commutative and idempotent.
//
// A key is blocked while blockingCrashes incarnations ended under it and no request with it has been
// answered since. What requests have in common in a crash is blocked with it; the first answer of
// one that runs on trial clears all that it holds.
type Suspects struct {
	keys  map[uint64]suspect
	bytes int
	// hot are the keys with enough crashes to be blocked, of which there are few.
	hot sets.Set[uint64]
	// answered and older hold when keys were last answered, as times since began; older is dropped when
	// answered is full or old.
	answered, older map[uint64]time.Duration
	rotatedAt       time.Duration
	began           time.Time
}

// suspect is what is known of one key. It is immutable.
type suspect struct {
	// crashes are in ascending order of their ids.
	crashes   []keyCrash
	expiresAt time.Time
}

type keyCrash struct {
	id             uint64
	trial, cleared bool
}

// NewSuspects returns a Suspects without reports.
func NewSuspects() *Suspects {
	return &Suspects{keys: map[uint64]suspect{}, hot: sets.Set[uint64]{}, answered: map[uint64]time.Duration{}, older: map[uint64]time.Duration{}}
}

// Empty reports whether no key is suspect.
func (s *Suspects) Empty() bool { return len(s.keys) == 0 }

// Crashed records that an endpoint incarnation ended under an unanswered request with some keys, and
// returns the report for other processes; it has no keys if all were answered lately.
func (s *Suspects) Crashed(keys []uint64, crash uint64, trial bool, now time.Time) CrashReport {
	r := CrashReport{Crash: crash, Trial: trial}
	for _, k := range keys {
		if !s.answeredLately(k, now) {
			r.Keys = append(r.Keys, k)
		}
	}
	s.Add(r, now)
	return r
}

// Answered records that a request with some keys was answered, and returns the reports of the crashes
// that this clears them of.
func (s *Suspects) Answered(keys []uint64, now time.Time) []CrashReport {
	s.noteAnswers(keys, now)
	cleared := map[uint64][]uint64{}
	for _, k := range keys {
		for _, c := range s.keys[k].crashes {
			if !c.cleared {
				cleared[c.id] = append(cleared[c.id], k)
			}
		}
	}
	var out []CrashReport
	for _, id := range slices.Sorted(maps.Keys(cleared)) {
		r := CrashReport{Crash: id, Cleared: cleared[id]}
		s.Add(r, now)
		out = append(out, r)
	}
	return out
}

func (s *Suspects) noteAnswers(keys []uint64, now time.Time) {
	if s.began.IsZero() {
		s.began = now
	}
	since := now.Sub(s.began)
	if since-s.rotatedAt >= answerWindow || len(s.answered)+len(keys) > maxAnsweredKeys {
		s.answered, s.older, s.rotatedAt = map[uint64]time.Duration{}, s.answered, since
	}
	for _, k := range keys {
		s.answered[k] = since
	}
}

func (s *Suspects) answeredLately(key uint64, now time.Time) bool {
	at, ok := s.answered[key]
	if !ok {
		at, ok = s.older[key]
	}
	return ok && now.Sub(s.began)-at < answerWindow
}

// Add merges a report and reports whether it holds news.
func (s *Suspects) Add(r CrashReport, now time.Time) bool {
	until := now.Add(RecordTTL)
	if r.Remaining > 0 && r.Remaining < RecordTTL {
		until = now.Add(r.Remaining)
	}
	news := false
	for _, k := range r.Keys {
		news = s.merge(k, keyCrash{id: r.Crash, trial: r.Trial}, until, now) || news
	}
	for _, k := range r.Cleared {
		news = s.merge(k, keyCrash{id: r.Crash, trial: r.Trial, cleared: true}, until, now) || news
	}
	if s.bytes > maxSuspectBytes {
		s.makeRoom(now)
	}
	return news
}

// merge adds a crash to a key and reports whether it is news.
func (s *Suspects) merge(key uint64, c keyCrash, until, now time.Time) bool {
	sp := s.keys[key]
	if !now.Before(sp.expiresAt) {
		sp = suspect{}
	}
	sp, news := sp.with(c)
	if !news {
		return false
	}
	if until.After(sp.expiresAt) {
		sp.expiresAt = until
	}
	s.put(key, sp)
	return true
}

func (s *Suspects) put(key uint64, sp suspect) {
	if old, ok := s.keys[key]; ok {
		s.bytes -= old.bytes()
	}
	s.keys[key] = sp
	s.bytes += sp.bytes()
	if n, _ := sp.uncleared(); n >= blockingCrashes {
		s.hot.Add(key)
	} else {
		delete(s.hot, key)
	}
}

func (s *Suspects) drop(key uint64) {
	s.bytes -= s.keys[key].bytes()
	delete(s.keys, key)
	delete(s.hot, key)
}

// Blocked returns the block of a request with some keys, and false if none of them is blocked.
func (s *Suspects) Blocked(keys []uint64, now time.Time) (Block, bool) {
	if len(s.hot) == 0 {
		return Block{}, false
	}
	var held []uint64
	var b Block
	for _, k := range keys {
		if !s.hot.Has(k) {
			continue
		}
		if !now.Before(s.keys[k].expiresAt) {
			s.drop(k)
			continue
		}
		held = append(held, k)
		n, trials := s.keys[k].uncleared()
		if n > b.Crashes || n == b.Crashes && k < b.Key {
			b.Key, b.Crashes = k, n
		}
		b.TrialCrashes = max(b.TrialCrashes, trials)
	}
	if len(held) == 0 {
		return Block{}, false
	}
	b.Explained = !slices.ContainsFunc(held, func(k uint64) bool { return !s.explained(k, keys, now) })
	return b, true
}

// explained reports whether a blocked key that isn't among some accounts for the crashes of a key.
func (s *Suspects) explained(key uint64, among []uint64, now time.Time) bool {
	sp := s.keys[key]
	for k := range s.hot {
		if k != key && now.Before(s.keys[k].expiresAt) && s.keys[k].accountsFor(sp) && !slices.Contains(among, k) {
			return true
		}
	}
	return false
}

// Extend makes what is known of the blocked ones among some keys last for RecordTTL from now on.
func (s *Suspects) Extend(keys []uint64, now time.Time) {
	for _, k := range keys {
		if s.hot.Has(k) {
			sp := s.keys[k]
			sp.expiresAt = now.Add(RecordTTL)
			s.keys[k] = sp
		}
	}
}

// Reports returns the reports of the keys with crashes that nothing has cleared, those with the most
// crashes first, in about as many bytes as given; each crash and each of its keys takes eight.
func (s *Suspects) Reports(bytes int, now time.Time) []CrashReport {
	reports := map[uint64]CrashReport{}
	for _, k := range s.byCrashes(now) {
		sp := s.keys[k]
		for _, c := range sp.crashes {
			if c.cleared {
				continue
			}
			r, ok := reports[c.id]
			if bytes -= 8; !ok {
				bytes -= 8
			}
			if bytes < 0 {
				return slices.SortedFunc(maps.Values(reports), compareReports)
			}
			r.Crash, r.Trial, r.Keys = c.id, r.Trial || c.trial, append(r.Keys, k)
			r.Remaining = max(r.Remaining, sp.expiresAt.Sub(now))
			reports[c.id] = r
		}
	}
	return slices.SortedFunc(maps.Values(reports), compareReports)
}

// Report returns the reports of one key, for other processes.
func (s *Suspects) Report(key uint64) []CrashReport {
	var out []CrashReport
	for _, c := range s.keys[key].crashes {
		r := CrashReport{Crash: c.id, Trial: c.trial}
		if c.cleared {
			r.Cleared = []uint64{key}
		} else {
			r.Keys = []uint64{key}
		}
		out = append(out, r)
	}
	return out
}

func compareReports(a, b CrashReport) int { return cmp.Compare(a.Crash, b.Crash) }

// byCrashes returns the keys with crashes that nothing has cleared, those with the most first, and of
// these the ones that last longest. It drops expired ones.
func (s *Suspects) byCrashes(now time.Time) []uint64 {
	var out []uint64
	for k, sp := range s.keys {
		if !now.Before(sp.expiresAt) {
			s.drop(k)
		} else if n, _ := sp.uncleared(); n > 0 {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b uint64) int {
		x, y := s.keys[a], s.keys[b]
		m, _ := x.uncleared()
		n, _ := y.uncleared()
		return cmp.Or(cmp.Compare(n, m), y.expiresAt.Compare(x.expiresAt), cmp.Compare(a, b))
	})
	return out
}

// makeRoom drops what has expired or been cleared, and if that doesn't suffice, a quarter of the bytes:
// the keys with the fewest crashes, and of these the first to expire.
func (s *Suspects) makeRoom(now time.Time) {
	kept := s.byCrashes(now)
	if len(kept) < len(s.keys) {
		known := sets.Of(kept...)
		for k := range s.keys {
			if !known.Has(k) {
				s.drop(k)
			}
		}
	}
	for ; s.bytes > maxSuspectBytes/4*3; kept = kept[:len(kept)-1] {
		s.drop(kept[len(kept)-1])
	}
}

// with returns what is known of the key with a further crash, and whether that is news.
func (sp suspect) with(c keyCrash) (suspect, bool) {
	i, known := slices.BinarySearchFunc(sp.crashes, c.id, func(x keyCrash, id uint64) int { return cmp.Compare(x.id, id) })
	crashes := slices.Clone(sp.crashes)
	if known {
		old := crashes[i]
		c.trial, c.cleared = c.trial || old.trial, c.cleared || old.cleared
		if c == old {
			return sp, false
		}
		crashes[i] = c
	} else {
		crashes = slices.Insert(crashes, i, c)
	}
	sp.crashes = crashes
	if len(crashes) > maxKeyCrashes {
		i := sp.leastUseful()
		dropped := crashes[i].id
		sp.crashes = slices.Delete(crashes, i, i+1)
		return sp, dropped != c.id
	}
	return sp, true
}

// leastUseful returns the index of the crash that tells least: a cleared one before others, the
// evidence of trials last.
func (sp suspect) leastUseful() int {
	least := 0
	for i, c := range sp.crashes {
		l := sp.crashes[least]
		if cmp.Or(compareBool(!c.cleared, !l.cleared), compareBool(c.trial, l.trial), cmp.Compare(l.id, c.id)) < 0 {
			least = i
		}
	}
	return least
}

// uncleared returns the number of crashes that no answer followed, and that of trials among them.
func (sp suspect) uncleared() (crashes, trials int) {
	for _, c := range sp.crashes {
		if c.cleared {
			continue
		}
		if crashes++; c.trial {
			trials++
		}
	}
	return crashes, trials
}

// accountsFor reports whether the crashes of another key that this one lacks wouldn't block it, and none
// of them is that of a trial.
func (sp suspect) accountsFor(o suspect) bool {
	left := 0
	for _, c := range o.crashes {
		if c.cleared || slices.ContainsFunc(sp.crashes, func(x keyCrash) bool { return x.id == c.id && !x.cleared }) {
			continue
		}
		if left++; c.trial || left >= blockingCrashes {
			return false
		}
	}
	return true
}

func (sp suspect) bytes() int { return keyBytes + crashBytes*len(sp.crashes) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
