package dgram

import "chervilhead/internal/state/poison"

// maxCrashKeys bounds the keys of one message: each takes nine bytes, which leaves a quarter of a
// datagram for the rest.
const maxCrashKeys = 680

// CrashReports says which keys were in use when endpoint incarnations ended. A gateway sends it to
// keepers, which pass on what is news to the gateways that subscribe to them.
type CrashReports struct{ Reports []CrashReport }

// CrashReport is a poison.CrashReport without its time.
type CrashReport struct {
	Crash         uint64
	Trial         bool
	Keys, Cleared []uint64
}

func (*CrashReports) kind() byte { return 10 }

// NewCrashReports returns the messages that hold some reports; one with many keys is divided.
func NewCrashReports(reports []poison.CrashReport) []*CrashReports {
	var out []*CrashReports
	left := 0
	add := func(r CrashReport) {
		// What a report takes beside its keys counts as one.
		n := 1 + len(r.Keys) + len(r.Cleared)
		if n > left {
			out, left = append(out, &CrashReports{}), maxCrashKeys
		}
		m := out[len(out)-1]
		m.Reports, left = append(m.Reports, r), left-n
	}
	for _, r := range reports {
		for keys := r.Keys; len(keys) > 0; {
			n := min(len(keys), maxCrashKeys-1)
			add(CrashReport{Crash: r.Crash, Trial: r.Trial, Keys: keys[:n]})
			keys = keys[n:]
		}
		for keys := r.Cleared; len(keys) > 0; {
			n := min(len(keys), maxCrashKeys-1)
			add(CrashReport{Crash: r.Crash, Trial: r.Trial, Cleared: keys[:n]})
			keys = keys[n:]
		}
	}
	return out
}

// Decoded returns the reports of a message.
func (m *CrashReports) Decoded() []poison.CrashReport {
	out := make([]poison.CrashReport, 0, len(m.Reports))
	for _, r := range m.Reports {
		out = append(out, poison.CrashReport{Crash: r.Crash, Trial: r.Trial, Keys: r.Keys, Cleared: r.Cleared})
	}
	return out
}
