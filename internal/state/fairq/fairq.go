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
	// Cost is the estimated accelerator time of the value, in any unit common to all items.
	Cost  float64
	seq   uint64
	index int
}

// Queue holds items by group.
type Queue[T any] struct {
	lanes map[string]*lane[T]
	vtime float64
	seq   uint64
	n     int
	cost  float64
	rule  Policy
	// running counts what runs of all groups; at is the time of the averages.
	running int
	at      time.Time
}

type lane[T any] struct {
	items  items[T]
	finish float64
	// running counts the group's values that have started and not ended.
	running int
	// mean is the average of running over the rule's window.
	mean float64
	// contends is set while the group has demand.
	contends bool
	// use is what the group counts as using, of which its share is due to it.
	use  float64
	flow flow
}

func (l *lane[T]) active() bool { return l.running > 0 || len(l.items) > 0 }

// before reports whether lane l comes before other: the one that uses less of the
// server for its weight, then the one that runs less now, then the one with the least
// virtual start time.
func (l *lane[T]) before(other *lane[T], weight, otherWeight float64) bool {
	if a, b := l.use*otherWeight, other.use*weight; a != b {
		return a < b
	}
	if a, b := float64(l.running)*otherWeight, float64(other.running)*weight; a != b {
		return a < b
	}
	return l.finish < other.finish
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{lanes: map[string]*lane[T]{}} }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.n }

// Cost returns the summed cost of queued items.
func (q *Queue[T]) Cost() float64 { return q.cost }

// GroupLen returns the number of queued items of a group.
func (q *Queue[T]) GroupLen(group string) int {
	if l, ok := q.lanes[group]; ok {
		return len(l.items)
	}
	return 0
}

// Push queues a value and returns its item, with which it can be removed.
func (q *Queue[T]) Push(group string, priority int, cost float64, v T) *Item[T] {
	l := q.lane(group)
	if len(l.items) == 0 {
		l.finish = max(l.finish, q.vtime)
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

// WithPolicy sets the rule and returns the queue.
func (q *Queue[T]) WithPolicy(r Policy) *Queue[T] {
	q.rule = r
	return q
}

// Start notes that a value of a group has started to run.
func (q *Queue[T]) Start(group string, now time.Time) { q.count(group, 1, now) }

// Done notes that a value of a group has ended.
func (q *Queue[T]) Done(group string, now time.Time) { q.count(group, -1, now) }

func (q *Queue[T]) count(group string, n int, now time.Time) {
	q.advance(now)
	l := q.lane(group)
	l.running += n
	q.running += n
	if q.rule.Window == 0 {
		l.mean = float64(l.running)
	}
}

// unknownUse exceeds every share, so that a new group starts at its share, without credit.
const unknownUse = 1e9

func (q *Queue[T]) lane(group string) *lane[T] {
	l, ok := q.lanes[group]
	if !ok {
		l = &lane[T]{mean: unknownUse}
		q.lanes[group] = l
	}
	return l
}

// Pop takes the next item of the group that ran least for its weight; among equals
// it is the group with the least virtual start time. Counting what runs equalizes the
// time on the server and lets a group below its share start at the next free place.
// The weight of a group is read when its item is taken, so that an edit acts at once.
func (q *Queue[T]) Pop(weight func(group string) float64) (*Item[T], bool) {
	name, l, ok := q.next(weight)
	if !ok {
		return nil, false
	}
	return q.take(name, l, weight), true
}

// next returns the group to take the next item of.
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
	q.vtime = l.finish
	l.finish += it.Cost / weight(name)
	return it
}

// Charge corrects a group's account by the difference between real and estimated cost.
func (q *Queue[T]) Charge(group string, diff, weight float64) {
	if l, ok := q.lanes[group]; ok {
		l.finish = max(l.finish+diff/weight, 0)
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
