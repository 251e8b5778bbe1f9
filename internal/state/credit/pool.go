package credit

import (
	"math"
	"time"

	"chervilhead/internal/state/bucket"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/sender"
)

const (
	// sweepInterval is the time between the checks for silent gateways and groups above their
	// share.
	sweepInterval = 100 * time.Millisecond
	// waitPerGateway bounds the requests for credit of a group that has none: each gateway asks
	// again after this time for each gateway, so that all together ask a thousand times a second.
	waitPerGateway = time.Millisecond
	// shareTime is the time constant of the use that is compared with a group's share: within a
	// second, groups of 30 requests a second and less differ from their mean by aboveShare.
	shareTime = 4 * time.Second
	// aheadReserve is the part of a bucket that isn't granted ahead: credit that lies unused at
	// one gateway is missing at the others.
	aheadReserve = 0.25
	// minAheadPart is the part of a bucket that may be granted ahead although it may be missing
	// in a burst: while the planner has just begun or many gateways are missing, less than a
	// burst is there in any case, and each request without credit asks the planner.
	minAheadPart = 0.25
	// maxWait bounds the time that callers are told to wait.
	maxWait = time.Minute
)

// Fleet is what the planner knows of the groups and gateways.
type Fleet struct {
	// Groups are the groups of the configuration by name.
	Groups map[string]fleet.Group
	// Gateways is the number of gateways that the keepers count.
	Gateways int
}

// Pool holds the buckets of all groups for one term of the planner lease. It isn't safe for
// concurrent use.
type Pool struct {
	term      uint64
	startedAt time.Time
	sweptAt   time.Time
	// meanAt is when the groups' mean use was last updated.
	meanAt  time.Time
	members map[string]*member
	// reported counts the members that reported within reportedWithin at the last sweep.
	reported int
	groups   map[string]*account
}

// member is a gateway as the pool knows it.
type member struct {
	order      sender.Order
	reply      Grant
	reportedAt time.Time
	groups     map[string]holding
}

// holding is a gateway's credit and use of one group.
type holding struct{ credit, used float64 }

// account is a group's bucket with the sums over all members.
type account struct {
	bucket     bucket.Bucket
	held, used float64
	// meanUsed is used over shareTime.
	meanUsed float64
	above    bool
}

// NewPool returns the pool of a planner that has just taken the lease; its buckets are empty.
func NewPool(term uint64, now time.Time) *Pool {
	return &Pool{term: term, startedAt: now, members: map[string]*member{}, groups: map[string]*account{}}
}

// Term returns the term of the planner lease for which the pool was made.
func (p *Pool) Term() uint64 { return p.term }

// Level returns the units in a group's bucket at the last request or sweep.
func (p *Pool) Level(group string) float64 {
	if a, ok := p.groups[group]; ok {
		return a.bucket.Level()
	}
	return 0
}

// Handle returns the reply to a request, or false if a newer one of that gateway has arrived.
func (p *Pool) Handle(now time.Time, r Request, f Fleet) (Grant, bool) {
	m, known := p.members[r.Gateway]
	if known && r.Incarnation == m.order.Incarnation() && r.Sequence == m.reply.Sequence {
		m.reportedAt = now
		return m.reply, true
	}
	var before sender.Order
	if known {
		before = m.order
	}
	order, newer := before.With(r.Incarnation, r.Sequence, now)
	if !newer {
		return Grant{}, false
	}
	if known && r.Incarnation != before.Incarnation() {
		// The credit of the earlier process is gone with it.
		p.drop(m)
		known = false
	}
	if !known {
		m = &member{groups: map[string]holding{}}
		p.members[r.Gateway] = m
		p.sweptAt = time.Time{}
	}
	m.order, m.reportedAt = order, now
	p.sweep(now, f)
	m.reply = Grant{Term: p.term, Sequence: r.Sequence, Entries: make([]GrantEntry, len(r.Entries))}
	for i, e := range r.Entries {
		m.reply.Entries[i] = p.grant(now, m, e, f)
	}
	return m.reply, true
}

// grant takes over what a gateway reports of a group and grants it credit.
func (p *Pool) grant(now time.Time, m *member, e Entry, f Fleet) GrantEntry {
	q := f.Groups[e.Group].Quota
	if !q.Limited() {
		// The gateway has another configuration; within a window it will have this one.
		return GrantEntry{Granted: add(e.Need, e.Ahead)}
	}
	a := p.account(now, e.Group, q, f)
	p.set(m, e.Group, holding{float64(e.Held), float64(e.UsedPerSecond)})
	a.bucket = p.refill(now, a, q, f).Refund(float64(e.Returned))
	p.cut(now, a, q, f)
	level := a.bucket.Level()
	var granted uint32
	out := GrantEntry{AboveShare: a.above}
	// A request larger than the capacity is served from a half full bucket, which leaves a debt;
	// the credit at other gateways may keep the bucket from filling.
	need, least, most := float64(e.Need), float64(e.Least), p.most(now, q, f)
	enough := least
	if least > most {
		enough = most / 2
	}
	switch {
	case level >= need:
		// A burst may come to any gateway: what lies at the others is at most what the gateways
		// and the bucket hold beyond the burst.
		spare := max(most-q.Burst, minAheadPart*most) - a.held - need
		granted = e.Need + whole(min(float64(e.Ahead), level-need-aheadReserve*most, spare))
	case level >= enough && least > 0:
		// More than one request's units could be too few for the next one and lie unused.
		granted = e.Least
	default:
		wait := (enough - level) / (q.PerSecond * p.unreserved(f))
		out.Wait = max(p.minWait(), time.Duration(min(wait, maxWait.Seconds())*float64(time.Second)))
	}
	if granted < e.Need && out.Wait == 0 {
		out.Wait = p.minWait()
	}
	out.Granted = granted
	a.bucket = a.bucket.Spend(float64(granted))
	h := m.groups[e.Group]
	p.set(m, e.Group, holding{h.credit + float64(granted), h.used})
	return out
}

// minWait is the shortest time after which a gateway asks again for a group without credit.
func (p *Pool) minWait() time.Duration { return time.Duration(len(p.members)) * waitPerGateway }

// account returns a group's account. One that is new when the planner takes over is empty; a
// group that gets its quota later has a full bucket, because no gateway holds credit of it.
func (p *Pool) account(now time.Time, name string, q fleet.Quota, f Fleet) *account {
	a, ok := p.groups[name]
	if ok {
		return a
	}
	a = &account{}
	if p.groups[name] = a; now.Sub(p.startedAt) >= lifetime {
		a.bucket = p.refill(now, a, q, f).Refund(capacity(q))
		p.cut(now, a, q, f)
	}
	return a
}

// set replaces a member's holding of a group.
func (p *Pool) set(m *member, group string, h holding) {
	a, old := p.groups[group], m.groups[group]
	a.held += h.credit - old.credit
	a.used += h.used - old.used
	m.groups[group] = h
}

// drop counts the credit of a member as used.
func (p *Pool) drop(m *member) {
	for g := range m.groups {
		p.set(m, g, holding{})
		delete(m.groups, g)
	}
}

// missing returns the part of all gateways that may use their fallback buckets.
func (p *Pool) missing(f Fleet) float64 {
	n := max(f.Gateways, len(p.members), 1)
	return float64(n-p.reported) / float64(n)
}

// unreserved returns the part of each quota that isn't reserved for missing gateways.
func (p *Pool) unreserved(f Fleet) float64 { return 1 - fallbackPart*p.missing(f) }

// refill returns a group's bucket at a time. A new bucket is empty.
func (p *Pool) refill(now time.Time, a *account, q fleet.Quota, f Fleet) bucket.Bucket {
	return a.bucket.At(now).WithRate(now, q.PerSecond*p.unreserved(f)).WithCapacity(capacity(q))
}

// most returns the units that a group's bucket and the gateways that report may hold together;
// the rest of the capacity may be in the fallback buckets of the others.
func (p *Pool) most(now time.Time, q fleet.Quota, f Fleet) float64 {
	c := max(1, capacity(q)-fallbackPart*q.PerSecond*p.missing(f))
	if now.Sub(p.startedAt) < lifetime {
		c = min(c, startCapacity(q))
	}
	return c
}

// cut lowers the level of a group's bucket so that the credit at the gateways is counted in its
// capacity.
func (p *Pool) cut(now time.Time, a *account, q fleet.Quota, f Fleet) {
	if over := a.bucket.Level() - max(0, p.most(now, q, f)-a.held); over > 0 {
		a.bucket = a.bucket.Spend(over)
	}
}

// sweep drops the credit of silent members, counts those that report, refills the buckets and
// finds the groups above their share.
func (p *Pool) sweep(now time.Time, f Fleet) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	weight := 1 - decay(now.Sub(p.meanAt), shareTime)
	p.sweptAt, p.meanAt, p.reported = now, now, 0
	for id, m := range p.members {
		silent := now.Sub(m.reportedAt)
		if silent <= reportedWithin {
			p.reported++
		}
		if silent > lifetime {
			p.drop(m)
			delete(p.members, id)
		}
	}
	uses := make(map[string]Use, len(f.Groups))
	for name, g := range f.Groups {
		q := g.Quota
		if !q.Limited() {
			continue
		}
		a := p.account(now, name, q, f)
		// The rate changes with the number of missing gateways also for a group without requests.
		a.bucket = p.refill(now, a, q, f)
		p.cut(now, a, q, f)
		a.meanUsed += weight * (a.used - a.meanUsed)
		uses[name] = Use{Quota: q, PerSecond: a.meanUsed}
	}
	above := AboveShare(uses)
	for name, a := range p.groups {
		a.above = above[name]
	}
}

// whole rounds an amount down to whole units.
func whole(v float64) uint32 {
	return uint32(min(max(math.Floor(v), 0), math.MaxUint32))
}

// add returns the sum of two amounts, or the largest amount if it is larger.
func add(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}
