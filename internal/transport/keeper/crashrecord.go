package keeper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
)

const (
	// crashRecordTTL is how long reports include a crash record after a gateway has sent it.
	crashRecordTTL = 2 * time.Second
	// maxCrashRecords bounds the crash records that are kept, and so those of one report.
	maxCrashRecords = 16
	// maxCrashRecordLife bounds how long a record is kept for gateways that start later.
	maxCrashRecordLife = poison.RecordTTL
)

// crashRecords are the crash records that gateways sent, by fingerprint. Reports include a
// record for a short time, and again for a gateway that starts before the record expires.
type crashRecords map[string]keptCrashRecord

type keptCrashRecord struct {
	record dgram.CrashRecord
	// tellUntil is when reports stop to hold the record, expiresAt when it is dropped.
	tellUntil, expiresAt time.Time
}

// merge adds a gateway's record and reports whether it holds news.
func (r crashRecords) merge(m dgram.CrashRecord, now time.Time) bool {
	kept, known := r[m.Fingerprint]
	if known {
		m = kept.record.Merge(m)
	} else {
		m = m.Merge(dgram.CrashRecord{})
	}
	news := !known || !m.Equal(kept.record)
	expires := now.Add(min(m.Remaining, maxCrashRecordLife))
	if expires.Before(kept.expiresAt) {
		expires = kept.expiresAt
	}
	tellUntil := now.Add(crashRecordTTL)
	if expires.Before(tellUntil) {
		expires = tellUntil
	}
	r[m.Fingerprint] = keptCrashRecord{record: m, tellUntil: tellUntil, expiresAt: expires}
	for len(r) > maxCrashRecords {
		delete(r, r.leastUseful())
	}
	return news
}

// retell makes the next reports include all records, for a gateway that has just started.
func (r crashRecords) retell(now time.Time) {
	for f, k := range r {
		k.tellUntil = now.Add(crashRecordTTL)
		r[f] = k
	}
}

// current returns the records that a report holds, and drops those that have expired.
func (r crashRecords) current(now time.Time) []dgram.CrashRecord {
	maps.DeleteFunc(r, func(_ string, k keptCrashRecord) bool { return now.After(k.expiresAt) })
	var out []dgram.CrashRecord
	for _, f := range slices.Sorted(maps.Keys(r)) {
		k := r[f]
		if now.After(k.tellUntil) {
			continue
		}
		rec := k.record
		rec.Remaining = k.expiresAt.Sub(now)
		out = append(out, rec)
	}
	return out
}

// leastUseful returns the record with the fewest crashes that nothing has cleared.
func (r crashRecords) leastUseful() string {
	return slices.MinFunc(slices.Collect(maps.Keys(r)), func(a, b string) int {
		x, y := r[a], r[b]
		return cmp.Or(cmp.Compare(len(x.record.CrashedAttempts), len(y.record.CrashedAttempts)), x.expiresAt.Compare(y.expiresAt), cmp.Compare(a, b))
	})
}
