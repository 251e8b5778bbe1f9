package replica

import "time"

const (
	// initialShare is the share of the registered hosts whose reports are enough at any time.
	initialShare = 0.85
	// relaxedAfter is the time after which relaxedShare is enough: hosts start within 0.3 s of
	// one another.
	relaxedAfter = 300 * time.Millisecond
	// relaxedShare is the share that is enough after relaxedAfter: the registrations of lost
	// hosts count until they expire.
	relaxedShare = 0.5
	// maxReportWait is the time after which a planner decides with any number of reports.
	maxReportWait = 900 * time.Millisecond
)

// EnoughReports tells whether a planner may decide, given the time since it took the lease
// and the number of registered hosts that have reported. The waits are short because after a
// loss of all hosts no model has a replica until the planner decides. A host that has not
// reported counts as holding the models of its registration.
func EnoughReports(age time.Duration, reported, hosts int) bool {
	switch {
	case age >= maxReportWait:
		return true
	case hosts == 0:
		return false
	case age >= relaxedAfter:
		return float64(reported) >= relaxedShare*float64(hosts)
	default:
		return float64(reported) >= initialShare*float64(hosts)
	}
}
