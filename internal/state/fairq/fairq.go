package fairq

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Item is one queued value.
type Item[T any] struct {
	Value    T
	Group    string
	Priority int
	// Cost is the estimated accelerator time of the item, in any unit common to all items.
	Cost  float64
	seq   uint64
	index int
}

// Queue is a weighted fair queue of items over groups. An item that was taken runs from Start
// to Done.
type Queue[T any] struct {
	lanes       map[string]*lane[T]
	virtualTime float64
	seq         uint64
	n           int
	cost        float64
	policy      Policy
	// running counts the running items of all groups; updatedAt is the time of the averages.
	running   int
	updatedAt time.Time
}

// lane is the queue of one group and the record of its usage.
type lane[T any] struct {
	items items[T]
	// startTag is the virtual start time of the group's next item.
	startTag float64
	// running counts the group's items that have started and not ended.
	running int
	// meanRunning is the average of running over the policy's window.
	meanRunning float64
	// hasDemand is set while the group has queued or running items, or recent arrivals.
	hasDemand bool
	// usage is the number of slots that the group counts as using, to compare with its share.
	usage    float64
	arrivals arrivalRate
}

func (l *lane[T]) active() bool { return l.running > 0 || len(l.items) > 0 }

// before reports whether lane l is served before other: the one with less usage for its
// weight, then the one with fewer running items for its weight, then the one with the lower
// virtual start time.
func (l *lane[T]) before(other *lane[T], weight, otherWeight float64) bool {
	if a, b := l.usage*otherWeight, other.usage*weight; a != b {
		return a < b
	}
	if a, b := float64(l.running)*otherWeight, float64(other.running)*weight; a != b {
		return a < b
	}
	return l.startTag < other.startTag
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{lanes: map[string]*lane[T]{}} }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.n }

// Cost returns the total cost of the queued items.
func (q *Queue[T]) Cost() float64 { return q.cost }

// GroupLen returns the number of queued items of a group.
func (q *Queue[T]) GroupLen(group string) int {
	if l, ok := q.lanes[group]; ok {
		return len(l.items)
	}
	return 0
}

// Push queues a value and returns its item, which Remove takes.
func (q *Queue[T]) Push(group string, priority int, cost float64, v T) *Item[T] {
	l := q.lane(group)
	if len(l.items) == 0 {
		l.startTag = max(l.startTag, q.virtualTime)
	}
	q.seq++
	it := &Item[T]{Value: v, Group: group, Priority: priority, Cost: cost, seq: q.seq}
	heap.Push(&l.items, it)
	q.n++
	q.cost += cost
	return it
}

// Remove takes an item out of the queue and reports whether it was queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	l, ok := q.lanes[it.Group]
	if !ok || it.index < 0 || it.index >= len(l.items) || l.items[it.index] != it {
		return false
	}
	heap.Remove(&l.items, it.index)
	q.n--
	q.cost -= it.Cost
	return true
}

// WithPolicy sets the policy and returns the queue.
func (q *Queue[T]) WithPolicy(p Policy) *Queue[T] {
	q.policy = p
	return q
}

// Start records that an item of a group has started to run.
func (q *Queue[T]) Start(group string, now time.Time) { q.count(group, 1, now) }

// Done records that a running item of a group has ended.
func (q *Queue[T]) Done(group string, now time.Time) { q.count(group, -1, now) }

func (q *Queue[T]) count(group string, n int, now time.Time) {
	q.advance(now)
	l := q.lane(group)
	l.running += n
	q.running += n
	if q.policy.Window == 0 {
		l.meanRunning = float64(l.running)
	}
}

// initialMeanRunning exceeds every share. Take reduces the average to the group's share when the
// group first has demand, so that a new group starts at its share, without credit.
const initialMeanRunning = 1e9

func (q *Queue[T]) lane(group string) *lane[T] {
	l, ok := q.lanes[group]
	if !ok {
		l = &lane[T]{meanRunning: initialMeanRunning}
		q.lanes[group] = l
	}
	return l
}

// Pop takes the next item of the group that uses least for its weight; among equals, of the
// group with the lowest virtual start time. Counting running items equalizes the time on
// the server and lets a group below its share start at the next free slot. The weight of
// a group is read when its item is taken, so that a change of it applies at once.
func (q *Queue[T]) Pop(weight func(group string) float64) (*Item[T], bool) {
	name, l, ok := q.next(weight)
	if !ok {
		return nil, false
	}
	return q.take(name, l, weight), true
}

// next returns the group that is served next, and its lane.
func (q *Queue[T]) next(weight func(group string) float64) (name string, best *lane[T], ok bool) {
	for _, g := range slices.Sorted(maps.Keys(q.lanes)) {
		l := q.lanes[g]
		if len(l.items) > 0 && (best == nil || l.before(best, weight(g), weight(name))) {
			best, name = l, g
		}
	}
	return name, best, best != nil
}

func (q *Queue[T]) take(name string, l *lane[T], weight func(group string) float64) *Item[T] {
	it := heap.Pop(&l.items).(*Item[T])
	q.n--
	q.cost -= it.Cost
	q.virtualTime = l.startTag
	l.startTag += it.Cost / weight(name)
	return it
}

// Charge adds the difference between the real and the estimated cost of an item to its group.
func (q *Queue[T]) Charge(group string, diff, weight float64) {
	if l, ok := q.lanes[group]; ok {
		l.startTag = max(l.startTag+diff/weight, 0)
	}
}

// items is a heap ordered by priority, then arrival.
type items[T any] []*Item[T]

func (s items[T]) Len() int { return len(s) }

func (s items[T]) Less(i, j int) bool {
	if s[i].Priority != s[j].Priority {
		return s[i].Priority > s[j].Priority
	}
	return s[i].seq < s[j].seq
}

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *items[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*s)
	*s = append(*s, it)
}

func (s *items[T]) Pop() any {
	old := *s
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	it.index = -1
	return it
}
