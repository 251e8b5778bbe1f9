package replica

import "time"

const (
	// mostHosts is the share of the hosts that is enough at any time.
	mostHosts = 0.85
	// someAfter is the time after which someHosts is enough: hosts start within 0.3 s of one
	// another, and registrations of hosts that are gone lie among the others until they lapse.
	someAfter, someHosts = 300 * time.Millisecond, 0.5
	// anyAfter is the time after which a planner decides by what it has.
	anyAfter = 900 * time.Millisecond
)

// EnoughReports reports whether a planner may decide some time after it took over, when it has
// heard of a number of the hosts that are registered. It answers for a loss of all hosts,
// where each tenth of a second passes without a copy of any model. Hosts that it hasn't
// heard of count as holding what their registrations say.
func EnoughReports(age time.Duration, heard, hosts int) bool {
	switch {
	case age >= anyAfter:
		return true
	case hosts == 0:
		return false
	case age >= someAfter:
		return float64(heard) >= someHosts*float64(hosts)
	default:
		return float64(heard) >= mostHosts*float64(hosts)
	}
}
