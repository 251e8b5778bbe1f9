package wire

import "chervilhead/internal/state/poison"

// CrashRecord is what the sender knows of one request, by its fingerprint, that was running
// when an engine crashed. TTLMillis is the time until the record expires.
type CrashRecord struct {
	Fingerprint string         `json:"fingerprint"`
	Model       string         `json:"model"`
	Crashes     []poison.Crash `json:"crashes"`
	TTLMillis   int64          `json:"life_ms"`
}

// CrashReport says which parts of requests were in use when an engine crashed, by their keys, and which
// of them were answered since.
type CrashReport struct {
	Crash   uint64   `json:"crash"`
	Trial   bool     `json:"trial,omitempty"`
	Keys    []uint64 `json:"keys,omitempty"`
	Cleared []uint64 `json:"cleared,omitempty"`
}

// CrashRecordList is the message of poison gossip.
type CrashRecordList struct {
	Records []CrashRecord `json:"marks"`
	Reports []CrashReport `json:"reports,omitempty"`
}

// Permit asks a home of the request for a permit to run it on the sender's endpoint or, with
// Done set, returns the permit. AttemptID identifies the permit.
type Permit struct {
	Fingerprint string `json:"fingerprint"`
	Model       string `json:"model"`
	AttemptID   string `json:"attempt_id"`
	Done        bool   `json:"done,omitempty"`
	// CrashRecords holds the sender's crash record for the fingerprint, if it has one.
	CrashRecords []CrashRecord `json:"marks,omitempty"`
}

// PermitReply grants or refuses a permit. CrashRecords holds the home's crash record for the
// fingerprint, if it has one.
type PermitReply struct {
	Granted      bool          `json:"granted"`
	CrashRecords []CrashRecord `json:"marks,omitempty"`
}
