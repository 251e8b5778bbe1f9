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

// CrashRecordList is the message of poison gossip.
type CrashRecordList struct {
	Records []CrashRecord `json:"marks"`
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
