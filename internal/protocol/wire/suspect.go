package wire

import "chervilhead/internal/state/poison"

// CrashRecord is what the sender knows of one request that ran when an engine crashed.
type CrashRecord struct {
	Fingerprint string         `json:"fingerprint"`
	Model       string         `json:"model"`
	Crashes     []poison.Crash `json:"crashes"`
	TTLMillis   int64          `json:"life_ms"`
}

// CrashRecordList passes suspicions and verdicts on.
type CrashRecordList struct {
	Records []CrashRecord `json:"marks"`
}

// Permit asks the first home of a fingerprint whether the sender may run it, or says
// that a permitted run has ended. Attempt identifies the permit.
type Permit struct {
	Fingerprint string `json:"fingerprint"`
	Model       string `json:"model"`
	AttemptID   string `json:"attempt_id"`
	Done        bool   `json:"done,omitempty"`
	// CrashRecords holds what the sender knows of the fingerprint, or nothing.
	CrashRecords []CrashRecord `json:"marks,omitempty"`
}

// PermitReply grants or refuses a run. Marks holds what the receiver knows of the fingerprint.
type PermitReply struct {
	Granted      bool          `json:"granted"`
	CrashRecords []CrashRecord `json:"marks,omitempty"`
}
