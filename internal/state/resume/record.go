package resume

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RecordTTL is how long a record lasts after it was last put: a caller resumes within the time
	// limit of its request, which is shorter.
	RecordTTL = 30 * time.Second
	// MaxRecords bounds the records of one process, 100 times what a gateway is designed for.
	MaxRecords = 65536
)

// Record says which service and software version began a stream. One that is made before its request
// is sent is replaced by the record of the next attempt.
type Record struct {
	// Key identifies the stream; it is KeyOf of its service and a request id.
	Key              uint64
	Service, Version string
	// Doubtful is set if the endpoint may have been restarted with another version than Version.
	Doubtful bool
	// Revision orders the records that one call made of its stream.
	Revision Revision
}

// Revision names a call by its upper 24 bits, and counts the records of the call in the others.
type Revision uint32

// revisionBits is the number of bits that count the records of a call.
const revisionBits = 8

// NewRevision returns the revision before the first record of a call, which a random number names.
func NewRevision(random uint32) Revision { return Revision(random &^ (1<<revisionBits - 1)) }

// sameCall reports whether two records were made by one call.
func (r Revision) sameCall(o Revision) bool { return r>>revisionBits == o>>revisionBits }

// newest returns which of two records of a stream counts, and false if they contradict each other:
// request ids are unique, so one of the callers took the other's.
func newest(a, b Record) (Record, bool) {
	switch {
	case a.Service == b.Service && a.Revision.sameCall(b.Revision) && a.Revision != b.Revision:
		if a.Revision > b.Revision {
			return a, true
		}
		return b, true
	case a == b || a.Service == b.Service && a.Version == b.Version && a.Doubtful == b.Doubtful:
		return a, true
	default:
		return a, false
	}
}

// KeyOf returns the key of the stream of a service whose first event the request with an id got.
// The service is part of it, so that a request to one service can't change what is known of
// a stream of another by naming its id.
func KeyOf(service, requestID string) uint64 {
	return xxhash.Sum64String(service + "\x00" + requestID)
}

// Records holds the newest records. It is safe for concurrent use.
type Records struct {
	mu    sync.Mutex
	byKey map[uint64]*list.Element
	// order holds the entries, those put last at the front.
	order *list.List
}

type entry struct {
	record Record
	putAt  time.Time
	// ambiguous is set once records under the key contradicted each other: either caller could be
	// joined to the wrong version.
	ambiguous bool
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{byKey: map[uint64]*list.Element{}, order: list.New()} }

// Put adds or refreshes a record.
func (r *Records) Put(rec Record, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(now)
	if el, ok := r.byKey[rec.Key]; ok {
		e := el.Value.(*entry)
		counts, agree := newest(e.record, rec)
		e.record, e.ambiguous, e.putAt = counts, e.ambiguous || !agree, now
		r.order.MoveToFront(el)
		return
	}
	r.byKey[rec.Key] = r.order.PushFront(&entry{record: rec, putAt: now})
	if r.order.Len() > MaxRecords {
		r.remove(r.order.Back())
	}
}

// Get returns the record with a key, unless it is ambiguous or has expired.
func (r *Records) Get(key uint64, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(now)
	el, ok := r.byKey[key]
	if !ok || el.Value.(*entry).ambiguous {
		return Record{}, false
	}
	return el.Value.(*entry).record, true
}

// Contradicts reports whether records under a key contradict each other, so that Get returns none.
func (r *Records) Contradicts(key uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(now)
	el, ok := r.byKey[key]
	return ok && el.Value.(*entry).ambiguous
}

// OfService returns the records of a service.
func (r *Records) OfService(service string, now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(now)
	var out []Record
	for el := r.order.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*entry); e.record.Service == service && !e.ambiguous {
			out = append(out, e.record)
		}
	}
	return out
}

// drop drops the records that have expired; the caller holds mu.
func (r *Records) drop(now time.Time) {
	for el := r.order.Back(); el != nil && now.Sub(el.Value.(*entry).putAt) >= RecordTTL; el = r.order.Back() {
		r.remove(el)
	}
}

func (r *Records) remove(el *list.Element) {
	delete(r.byKey, r.order.Remove(el).(*entry).record.Key)
}
