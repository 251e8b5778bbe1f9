package events

import (
	"bytes"
	"strconv"
)

// Order tells which event may come next in a stream, whose events have increasing ids. It is
// immutable; its zero value stands at the start of a stream.
type Order struct {
	// last is the id of the last event that had one.
	last string
	// sparse is set once an id was not the next whole number after the one before it, from 1.
	sparse bool
	// joined is set while the next event comes from another answer than the last one.
	joined bool
}

// After returns the order of a stream that continues after the event with an id; an empty one
// stands for the start of a stream.
func After(id string) Order { return Order{last: id, sparse: id != "", joined: id != ""} }

// Join returns the order of a stream that continues in another answer.
func (o Order) Join() Order {
	o.joined = o.last != ""
	return o
}

// Continues reports whether the next event has to follow one of another answer.
func (o Order) Continues() bool { return o.joined }

// Begun reports whether the stream has had an event with an id.
func (o Order) Begun() bool { return o.last != "" }

// WithEvents returns the order after the complete events of b, and the length of those that may
// come next. What follows them is no event of the stream.
func (o Order) WithEvents(b []byte) (Order, int) {
	accepted, inEvent, id := 0, false, ""
	for line, end := range lines(b) {
		switch {
		case len(line) == 0:
			if inEvent {
				next, ok := o.with(id)
				if !ok {
					return o, accepted
				}
				o = next
			}
			accepted, inEvent, id = end, false, ""
		case line[0] == ':':
		default:
			inEvent = true
			if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				id = string(bytes.TrimSpace(v))
			}
		}
	}
	return o, accepted
}

// with returns the order after an event with an id, and whether it may come next. A stream without
// ids has no order.
func (o Order) with(id string) (Order, bool) {
	if id == "" {
		return o, o.last == ""
	}
	n, err := strconv.ParseInt(id, 10, 64)
	before, beforeErr := strconv.ParseInt(o.last, 10, 64)
	switch {
	case o.last == "":
		o.sparse = err != nil || n != 1
	case beforeErr != nil:
		if id == o.last {
			return o, false
		}
	case err != nil || n <= before:
		return o, false
	case n != before+1 && o.joined && !o.sparse:
		// The events of the first answer had no gap, so that one is missing here.
		return o, false
	default:
		o.sparse = o.sparse || n != before+1
	}
	o.last, o.joined = id, false
	return o, true
}
