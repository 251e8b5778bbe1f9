package credit

import (
	"math"
	"slices"
	"time"

	"chervilhead/internal/state/fleet"
)

// Use is a group's quota and the rate at which it is used.
type Use struct {
	Quota     fleet.Quota
	PerSecond float64
}

// aboveShare is the multiple of its share from which a group is above it. Groups that use about
// the same part of their quotas differ by less than that within a second or two.
const aboveShare = 1.25

// minExcess is the part of the use of all groups by which a group above its share exceeds it. The
// use of a small group varies by more than aboveShare from second to second, and less than that
// holds up nobody.
const minExcess = 0.01

// AboveShare returns the groups whose use exceeds their share, weighted by quotas, of the use of
// all groups with the same unit.
func AboveShare(uses map[string]Use) map[string]bool {
	var used, quota [2]float64
	for _, u := range uses {
		used[u.Quota.Unit] += u.PerSecond
		quota[u.Quota.Unit] += u.Quota.PerSecond
	}
	out := map[string]bool{}
	for name, u := range uses {
		i := u.Quota.Unit
		if share := used[i] * u.Quota.PerSecond / quota[i]; u.PerSecond > max(aboveShare*share, share+minExcess*used[i]) {
			out[name] = true
		}
	}
	return out
}

const (
	// serviceTime is the time constant of the counts of admitted and served requests: requests
	// take some seconds.
	serviceTime = 10 * time.Second
	// minAdmitted is the decayed count of requests from which a group's share of served requests
	// says something.
	minAdmitted = 5
	// poorlyServed is the part of the share of all groups below which a group's priority isn't
	// lowered, well above the quarter that no group may fall below.
	poorlyServed = 0.5
	// worstPart is the part of the groups whose mean the gauge of the worst-served ones shows.
	worstPart = 0.1
)

// Service counts, for each group, the requests within its quota and those of them that were
// served. It isn't safe for concurrent use.
type Service struct {
	all    counts
	groups map[string]counts
}

type counts struct {
	admitted, served float64
	at               time.Time
}

// NewService returns counts without requests.
func NewService() *Service { return &Service{groups: map[string]counts{}} }

func (c counts) add(now time.Time, served bool) counts {
	f := decay(now.Sub(c.at), serviceTime)
	c.admitted, c.served, c.at = c.admitted*f+1, c.served*f, now
	if served {
		c.served++
	}
	return c
}

func (c counts) share() float64 { return c.served / max(c.admitted, 1) }

// Add counts a request within its group's quota that has ended.
func (s *Service) Add(now time.Time, group string, served bool) {
	s.all = s.all.add(now, served)
	s.groups[group] = s.groups[group].add(now, served)
}

// relative returns a group's share of served requests divided by that of all, and false if there
// are too few to tell.
func (s *Service) relative(group string, now time.Time) (float64, bool) {
	c := s.groups[group]
	if c.admitted*decay(now.Sub(c.at), serviceTime) < minAdmitted || s.all.served == 0 {
		return 1, false
	}
	return c.share() / s.all.share(), true
}

// PoorlyServed reports whether a group is served so much less often than all that its priority
// isn't to be lowered.
func (s *Service) PoorlyServed(group string, now time.Time) bool {
	r, ok := s.relative(group, now)
	return ok && r < poorlyServed
}

// Worst returns the mean of the relative shares of the worst-served tenth of the groups, 1 if
// there are too few requests to tell.
func (s *Service) Worst(now time.Time) float64 {
	var shares []float64
	for g, c := range s.groups {
		if now.Sub(c.at) > 10*serviceTime {
			delete(s.groups, g)
			continue
		}
		if r, ok := s.relative(g, now); ok {
			shares = append(shares, r)
		}
	}
	if len(shares) == 0 {
		return 1
	}
	slices.Sort(shares)
	n := max(1, int(math.Ceil(worstPart*float64(len(shares)))))
	sum := 0.0
	for _, r := range shares[:n] {
		sum += r
	}
	return sum / float64(n)
}

// decay returns the weight of what was measured a time ago.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(constant))
}
