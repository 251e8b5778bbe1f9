package keeper

import (
	"fmt"
	"testing"
	"time"

	"chervilhead/internal/protocol/dgram"
)

func record(part string, life time.Duration, crashes ...string) dgram.CrashRecord {
	return dgram.CrashRecord{Fingerprint: part, CrashedAttempts: crashes, Remaining: life}
}

// TestCrashRecordsOfSeveralGateways guards against a gateway's record that replaces another gateway's before it was told.
func TestCrashRecordsOfSeveralGateways(t *testing.T) {
	now, r := time.Now(), crashRecords{}
	for i := range 3 {
		if !r.merge(record("d", time.Minute, fmt.Sprint("e", i)), now) {
			t.Errorf("crash %d is no news", i)
		}
	}
	if r.merge(record("d", time.Minute, "e1"), now) {
		t.Error("a known crash is news")
	}
	if got := r.current(now); len(got) != 1 || len(got[0].CrashedAttempts) != 3 {
		t.Errorf("told %+v, want one record of three crashes", got)
	}
	r.merge(dgram.CrashRecord{Fingerprint: "d", ClearedAttempts: []string{"e0", "e1"}, Remaining: time.Minute}, now)
	if got := r.current(now)[0]; len(got.CrashedAttempts) != 1 || len(got.ClearedAttempts) != 2 {
		t.Errorf("told %+v, want one crash and two cleared ones", got)
	}
}

// TestCrashRecordForLateGateway guards against a gateway that starts after a part was blocked and never hears of it.
func TestCrashRecordForLateGateway(t *testing.T) {
	now, r := time.Now(), crashRecords{}
	r.merge(record("d", time.Minute, "e1", "e2", "e3"), now)
	later := now.Add(30 * time.Second)
	if got := r.current(later); len(got) != 0 {
		t.Errorf("told %+v after %v", got, later.Sub(now))
	}
	r.retell(later)
	got := r.current(later)
	if len(got) != 1 || got[0].Remaining != 30*time.Second {
		t.Fatalf("told %+v, want the record with the rest of its time", got)
	}
	if got := r.current(now.Add(time.Minute + time.Second)); len(got) != 0 || len(r) != 0 {
		t.Errorf("told %+v after the record's time", got)
	}
}

// TestManyCrashRecords guards against reports too long to send, and against a blocked part that is dropped for suspects.
func TestManyCrashRecords(t *testing.T) {
	now, r := time.Now(), crashRecords{}
	r.merge(record("part:blocked", time.Minute, "e1", "e2", "e3"), now)
	for i := range 200 {
		r.merge(record(fmt.Sprintf("part:%013d", i), time.Hour, fmt.Sprintf("crash%04d", i), fmt.Sprintf("again%04d", i)), now)
	}
	st := dgram.EndpointState{CrashRecords: r.current(now)}
	if data, err := dgram.Encode(&st); err != nil || len(data) > dgram.MaxBytes/4 {
		t.Errorf("the records take %d bytes, error %v", len(data), err)
	}
	if _, ok := r["part:blocked"]; !ok {
		t.Error("the blocked part's record was dropped")
	}
}
