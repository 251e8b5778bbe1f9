package credit

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/fleet"
)

// Decision is what becomes of a request that asks for credit.
type Decision interface{ decision() }

type (
	// Taken means that the request may run; its units have been spent.
	Taken struct{}
	// Pending means that the planner is to be asked and the request may wait for the reply.
	Pending struct{}
	// Refused means that the request must not run now; Wait is the time until it may.
	Refused struct{ Wait time.Duration }
)

func (Taken) decision()   {}
func (Pending) decision() {}
func (Refused) decision() {}

// minRefusedWait bounds the wait of a refused request from below: callers that come back sooner
// gain nothing.
const minRefusedWait = 10 * time.Millisecond

// maxEntryBytes bounds the entries of a request in bytes of their names and amounts, so that a
// request fits a datagram of 8,192 bytes.
const maxEntryBytes = 7000

// entryBytes is the size of an entry's six amounts with their headers.
const entryBytes = 36

// Account holds a gateway's credit in all groups. It isn't safe for concurrent use.
type Account struct {
	gateway     string
	incarnation int64
	// phase is the part of a typical request with whose debt fallback buckets begin.
	phase  float64
	groups map[string]*groupCredit

	sequence uint64
	// open is the request that has no reply yet, sentAt and resentAt its first and last sends.
	open             *Request
	sends            int
	sentAt, resentAt time.Time
	// resumedAt is the first send after a time in which the gateway sent nothing.
	resumedAt time.Time
	// reportedAt is when a request last named all groups in use.
	reportedAt time.Time
	// repliedAt is when the last reply came, confirmedAt the first send of its request.
	repliedAt, confirmedAt time.Time
	// term is the highest planner term seen.
	term uint64
}

// groupCredit is the credit of one group.
type groupCredit struct {
	quota    fleet.Quota
	credit   float64
	returned float64
	// touchedAt is when credit was last granted or spent.
	touchedAt time.Time
	// endsAt is when credit of a higher quota is returned, zero if there is none.
	endsAt time.Time
	// demand and used are the rates of the units asked for and spent, typical the mean size of
	// the requests.
	demand, used rate
	typical      float64
	// waiting holds the sizes of the requests that wait for credit.
	waiting []float64
	// Until refusedUntil the planner expects no credit for requests of refusedUnits or more. It
	// is asked again from askAgainAt on, because a quota may rise and other gateways return credit.
	refusedUntil, askAgainAt time.Time
	refusedUnits             float64
	fallback                 bucket.Bucket
	inFallback               bool
	aboveShare               bool
	// reported is set if the planner knows of credit, use or demand of the group here.
	reported bool
}

// rate is a decaying sum of amounts.
type rate struct {
	sum float64
	at  time.Time
}

func (r rate) add(now time.Time, n float64) rate {
	return rate{r.sum*decay(now.Sub(r.at), rateTime) + n, now}
}

// perSecond returns the rate: the decayed sum of a constant rate is the rate times the constant.
func (r rate) perSecond(now time.Time) float64 {
	return r.sum * decay(now.Sub(r.at), rateTime) / rateTime.Seconds()
}

// NewAccount returns the account of a gateway without credit.
func NewAccount(gateway string, incarnation int64, now time.Time) *Account {
	h := fnv.New32a()
	_, _ = h.Write([]byte(gateway))
	return &Account{gateway: gateway, incarnation: incarnation, phase: float64(h.Sum32()) / math.MaxUint32, groups: map[string]*groupCredit{}, repliedAt: now}
}

// Begin records that a group has a quota from now on: the planner has not been asked before.
func (a *Account) Begin(now time.Time) { a.repliedAt = now }

// Connected reports whether the planner has replied lately.
func (a *Account) Connected(now time.Time) bool { return now.Sub(a.repliedAt) <= replyLostAfter }

// PlannerAge returns the time since the planner's last reply, or since the start.
func (a *Account) PlannerAge(now time.Time) time.Duration { return now.Sub(a.repliedAt) }

// AboveShare reports whether the planner said that a group uses more than its share.
func (a *Account) AboveShare(now time.Time, group string) bool {
	p, ok := a.groups[group]
	return ok && p.aboveShare && a.Connected(now)
}

// Credit returns the units of a group that are left here.
func (a *Account) Credit(now time.Time, group string) float64 {
	p, ok := a.groups[group]
	if !ok {
		return 0
	}
	a.expire(now, p)
	return p.credit
}

// Credits returns the units that are left here over all groups with a unit.
func (a *Account) Credits(now time.Time, unit fleet.QuotaUnit) float64 {
	sum := 0.0
	for _, p := range a.groups {
		if p.quota.Unit == unit {
			a.expire(now, p)
			sum += p.credit
		}
	}
	return sum
}

// Arrive records a new request as demand of its group.
func (a *Account) Arrive(now time.Time, g fleet.Group, units float64) {
	p, ok := a.groups[g.Name]
	if !ok {
		p = &groupCredit{typical: units}
		a.groups[g.Name] = p
	}
	const weight = 0.1
	p.typical += weight * (units - p.typical)
	p.demand = p.demand.add(now, units)
}

// Take spends units of a group's credit for a request that has arrived; gateways is the number
// of gateways that share the quota.
func (a *Account) Take(now time.Time, g fleet.Group, units float64, gateways int) Decision {
	p, ok := a.groups[g.Name]
	if !ok {
		p = &groupCredit{typical: units}
		a.groups[g.Name] = p
	}
	if lowered(p.quota, g.Quota) {
		p.endsAt = now.Add(configSpread)
	}
	p.quota = g.Quota
	a.expire(now, p)
	if p.credit >= units {
		p.credit -= units
		p.spend(now, units)
		return Taken{}
	}
	if !a.Connected(now) {
		d := a.takeFallback(now, p, units, gateways)
		if _, refused := d.(Refused); refused && a.silent(now) {
			return Pending{}
		}
		return d
	}
	p.inFallback = false
	if now.Before(p.askAgainAt) && units >= p.refusedUnits {
		// What was refused before this request comes first.
		return Refused{max(minRefusedWait, p.refusedUntil.Sub(now)+seconds((units-p.refusedUnits)/g.Quota.PerSecond))}
	}
	return Pending{}
}

// silent reports whether the planner isn't heard because the gateway itself, which was frozen, has
// sent nothing.
func (a *Account) silent(now time.Time) bool {
	return now.Sub(a.resentAt) > maxReplyAge || now.Sub(a.resumedAt) < 2*resendAfter
}

func (p *groupCredit) spend(now time.Time, units float64) {
	p.touchedAt = now
	p.used = p.used.add(now, units)
}

// takeFallback spends units of the group's fallback bucket, which begins when the planner's
// reply is missed. It begins with a debt that differs by gateway: a request larger than the
// bucket leaves a debt, and all gateways together could otherwise serve one at the same time.
func (a *Account) takeFallback(now time.Time, p *groupCredit, units float64, gateways int) Decision {
	share := fallbackPart * p.quota.PerSecond / float64(max(gateways, 1))
	if !p.inFallback {
		began := a.repliedAt.Add(replyLostAfter)
		p.inFallback = true
		p.fallback = bucket.Bucket{}.WithRate(began, share).Spend(a.phase * max(0, p.typical-share))
	}
	b, wait, ok := p.fallback.WithRate(now, share).Take(now, units)
	p.fallback = b
	if !ok {
		return Refused{min(maxWait, max(minRefusedWait, wait))}
	}
	p.used = p.used.add(now, units)
	return Taken{}
}

// lowered reports whether credit of a quota may be more than another quota allows.
func lowered(from, to fleet.Quota) bool {
	return from.Limited() && (from.Unit != to.Unit || to.PerSecond < from.PerSecond || to.Burst < from.Burst)
}

// expire drops credit that the planner no longer counts. It returns credit that isn't used, and
// that of a higher quota once the planner has the lower one and takes back no more than that allows.
func (a *Account) expire(now time.Time, p *groupCredit) {
	ends := !p.endsAt.IsZero() && !now.Before(p.endsAt)
	if ends {
		p.endsAt = time.Time{}
	}
	switch {
	case p.credit == 0:
	case now.Sub(a.confirmedAt) > lifetime:
		p.credit = 0
	case ends || now.Sub(p.touchedAt) > unusedAfter:
		p.returned += p.credit
		p.credit = 0
	}
}

// Wait records that a request waits for credit; Leave ends it.
func (a *Account) Wait(group string, units float64) {
	if p, ok := a.groups[group]; ok {
		p.waiting = append(p.waiting, units)
	}
}

// Leave records that a request no longer waits for credit.
func (a *Account) Leave(group string, units float64) {
	if p, ok := a.groups[group]; ok {
		if i := slices.Index(p.waiting, units); i >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
		}
	}
}

// Return gives back the units of a request that has not run. What exceeds the credit wanted
// ahead goes back to the planner.
func (a *Account) Return(now time.Time, group string, units float64) {
	p, ok := a.groups[group]
	if !ok || !a.Connected(now) {
		// Units of the fallback bucket are not credit.
		return
	}
	a.expire(now, p)
	keep := min(units, max(0, p.ahead(now)-p.credit))
	if keep > 0 {
		p.credit += keep
		p.touchedAt = now
	}
	p.returned += units - keep
	p.used.sum = max(0, p.used.sum-units)
}

// ahead returns the credit that a group's demand needs.
func (p *groupCredit) ahead(now time.Time) float64 {
	if now.Sub(p.demand.at) > unusedAfter {
		return 0
	}
	return max(p.typical, p.demand.perSecond(now)*demandAhead.Seconds())
}

// returnSurplus returns credit that the demand doesn't need any more, although some of it is used.
func (p *groupCredit) returnSurplus(now time.Time) {
	need := surplusFrom * p.ahead(now)
	for _, n := range p.waiting {
		need += n
	}
	if over := math.Floor(p.credit - need); over > 0 {
		p.credit -= over
		p.returned += over
	}
}

// missing returns the units that the waiting requests need beyond the credit, and those that the
// smallest of them needs.
func (p *groupCredit) missing() (need, least float64) {
	if len(p.waiting) == 0 {
		return 0, 0
	}
	for _, n := range p.waiting {
		need += n
	}
	// Requests that a grant covers may not have woken up yet.
	return max(0, need-p.credit), max(0, slices.Min(p.waiting)-p.credit)
}

// refused reports whether the planner has said that it has no credit for what waits.
func (p *groupCredit) refused(now time.Time) bool {
	return now.Before(p.askAgainAt) && (len(p.waiting) == 0 || slices.Min(p.waiting) >= p.refusedUnits)
}

// Next returns the request that is to be sent now: a new one, or the one without a reply again.
func (a *Account) Next(now time.Time) (Request, bool) {
	if a.open != nil {
		if now.Sub(a.resentAt) < resendAfter {
			return Request{}, false
		}
		// A reply that can't arrive within maxReplyAge would not be accepted.
		if a.sends < maxSends && now.Sub(a.sentAt)+resendAfter <= maxReplyAge {
			a.sends++
			a.resentAt = now
			return *a.open, true
		}
		a.abandon()
	}
	if !a.due(now) {
		return Request{}, false
	}
	if now.Sub(a.resentAt) > maxReplyAge {
		a.resumedAt = now
	}
	a.sequence++
	r := Request{Gateway: a.gateway, Incarnation: a.incarnation, Sequence: a.sequence, Entries: a.entries(now)}
	a.open, a.sends, a.sentAt, a.resentAt = &r, 1, now, now
	return r, true
}

// due reports whether a new request is to be sent.
func (a *Account) due(now time.Time) bool {
	age := now.Sub(a.sentAt)
	if age >= heartbeat {
		return true
	}
	if !a.Connected(now) {
		return false
	}
	for _, p := range a.groups {
		a.expire(now, p)
		if p.refused(now) {
			continue
		}
		if need, _ := p.missing(); need > 0 || age >= refillInterval && p.credit < refillBelow*p.ahead(now) {
			return true
		}
	}
	return false
}

// abandon gives the open request up. What it returned counts as used: the planner may have it.
func (a *Account) abandon() {
	for _, e := range a.open.Entries {
		if p, ok := a.groups[e.Group]; ok {
			// The planner may not know that the group has no credit here any more.
			p.reported = true
		}
	}
	a.open = nil
}

// entries returns the entries of a new request, those with waiting requests first as far as they
// fit. Every heartbeat they are those of all groups in use, otherwise those that want or return
// credit.
func (a *Account) entries(now time.Time) []Entry {
	var out []Entry
	all := now.Sub(a.reportedAt) >= heartbeat
	if all {
		a.reportedAt = now
	}
	for name, p := range a.groups {
		a.expire(now, p)
		if all {
			p.returnSurplus(now)
		}
		e := Entry{Group: name, Held: whole(math.Ceil(p.credit)), Returned: whole(p.returned), UsedPerSecond: whole(p.used.perSecond(now))}
		if !p.refused(now) {
			need, least := p.missing()
			e.Need, e.Least = whole(math.Ceil(need)), whole(math.Ceil(least))
			e.Ahead = whole(max(0, p.ahead(now)-p.credit))
		}
		if (e == Entry{Group: name}) {
			if !p.reported {
				if now.Sub(p.demand.at) > forgetAfter {
					delete(a.groups, name)
				}
				continue
			}
		}
		if all || e.Need > 0 || e.Returned > 0 || p.credit < refillBelow*p.ahead(now) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(x, y Entry) int {
		switch {
		case x.Need > 0 && y.Need == 0:
			return -1
		case x.Need == 0 && y.Need > 0:
			return 1
		default:
			return 0
		}
	})
	size := 0
	for i, e := range out {
		if size += len(e.Group) + entryBytes; size > maxEntryBytes {
			out = out[:i]
			break
		}
	}
	for _, e := range out {
		p := a.groups[e.Group]
		p.returned = 0
		p.reported = e != Entry{Group: e.Group}
	}
	return out
}

// forgetAfter is the time without requests after which a group is forgotten here.
const forgetAfter = time.Minute

// Apply takes over the planner's reply to the open request; it returns false if the reply is
// another one's, too old or of a lower term than one before.
func (a *Account) Apply(now time.Time, g Grant) bool {
	if a.open == nil || g.Sequence != a.open.Sequence || len(g.Entries) != len(a.open.Entries) || g.Term < a.term || now.Sub(a.sentAt) > maxReplyAge {
		return false
	}
	for i, e := range a.open.Entries {
		p, ok := a.groups[e.Group]
		if !ok {
			continue
		}
		a.expire(now, p)
		e2 := g.Entries[i]
		if e2.Granted > 0 {
			p.credit += float64(e2.Granted)
			p.touchedAt = now
			p.reported = true
		}
		p.aboveShare = e2.AboveShare
		if e2.Wait > 0 && e.Need > 0 {
			p.refusedUntil, p.askAgainAt = now.Add(min(e2.Wait, maxWait)), now.Add(min(e2.Wait, maxRefusal))
			p.refusedUnits = float64(e.Held) + float64(e.Least)
		} else if e.Need > 0 {
			p.refusedUntil, p.askAgainAt = time.Time{}, time.Time{}
		}
	}
	a.open, a.term, a.repliedAt, a.confirmedAt = nil, g.Term, now, a.sentAt
	return true
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxWait.Seconds()) * float64(time.Second))
}
