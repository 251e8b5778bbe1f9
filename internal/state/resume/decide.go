package resume

import (
	"strings"
	"time"
	"unicode"

	"chervilhead/internal/state/fleet"
)

// maxIDBytes bounds a request id in a resumption.
const maxIDBytes = 200

// Mention is how a resumption names the request that it resumes.
type Mention interface{ mention() }

type (
	// Named means that it names a request by a valid id.
	Named struct{ ID string }
	// Missing means that it names none.
	Missing struct{}
	// Malformed means that what it names is no id.
	Malformed struct{}
)

func (Named) mention()     {}
func (Missing) mention()   {}
func (Malformed) mention() {}

// ParseMention reads the values of the header field that names the resumed request.
func ParseMention(values []string) Mention {
	switch {
	case len(values) == 0:
		return Missing{}
	case len(values) > 1 || values[0] == "" || len(values[0]) > maxIDBytes || strings.ContainsFunc(values[0], unicode.IsControl):
		return Malformed{}
	default:
		return Named{values[0]}
	}
}

// Source tells where a record was found.
type Source string

// The sources of records.
const (
	// NoRecord means that no source had one.
	NoRecord Source = "none"
	// OwnRecord is one of this gateway.
	OwnRecord Source = "own"
	// KeeperRecord is a keeper's.
	KeeperRecord Source = "keeper"
	// StoreRecord is one that the store holds.
	StoreRecord Source = "store"
	// KeepersSilent means that this gateway has none and a keeper did not answer.
	KeepersSilent Source = "silent"
)

// Evidence is what a gateway knows of the stream that a request resumes.
type Evidence struct {
	// Service is the service that the request is for.
	Service string
	Mention Mention
	// Record is valid if Source is OwnRecord, KeeperRecord or StoreRecord.
	Record Record
	Source Source
	// Settled is set if SettledVersion is the only version of the service.
	Settled        bool
	SettledVersion string
	// Implied is set if streams without a record are of ImpliedVersion, and the store was asked for
	// records after the request came.
	Implied        bool
	ImpliedVersion string
}

// Recorded reports whether a record tells which version began the stream.
func (e Evidence) Recorded() bool {
	return e.Source == OwnRecord || e.Source == KeeperRecord || e.Source == StoreRecord
}

// Decision is what becomes of a resumption.
type Decision interface{ decision() }

type (
	// Continue means that the stream continues at a version.
	Continue struct{ Version string }
	// Reject means that the version isn't known, and why.
	Reject struct{ Reason string }
)

func (Continue) decision() {}
func (Reject) decision()   {}

// Decide returns at which version a stream continues. A record goes before the history even if
// the service is settled, because another gateway may know a version that this one has yet to read.
// In the first seconds of a second version a stream without a record is of the first one: gateways
// that know of the second record each stream before its first event.
func Decide(e Evidence) Decision {
	recorded := e.Recorded()
	switch {
	case recorded && e.Record.Service == e.Service && !e.Record.Doubtful:
		return Continue{e.Record.Version}
	case e.Settled:
		return Continue{e.SettledVersion}
	case recorded && e.Record.Service == e.Service:
		return Reject{"version_in_doubt"}
	case recorded:
		return Reject{"resumes_other_service"}
	}
	switch e.Mention.(type) {
	case Missing:
		return Reject{"resumes_missing"}
	case Malformed:
		return Reject{"resumes_malformed"}
	}
	if e.Implied {
		return Continue{e.ImpliedVersion}
	}
	if e.Source == KeepersSilent {
		return Reject{"keepers_silent"}
	}
	return Reject{"resumes_unknown"}
}

// reportDelay is the time after which a keeper's report shows that an engine was restarted: it
// reads the engine every 0.1 s and sends the report at once.
const reportDelay = 200 * time.Millisecond

// AtVersion returns the endpoints of a service at which a stream of a version may continue. brokeAt
// returns when a connection to an endpoint last broke or could not be opened, or zero. An endpoint
// that was restarted is registered under its old version for up to a second, so one whose
// connection broke is left out until its keeper reports the same incarnation again. Without
// a report it is only avoided, because a broken connection mostly has other reasons. One whose newest
// incarnation isn't known is left out.
func AtVersion(states []fleet.State, service, version string, brokeAt func(fleet.Endpoint) time.Time, confirmedAt time.Time) []fleet.State {
	var sure, doubtful []fleet.State
	for _, s := range states {
		if s.Service != service || s.SoftwareVersion != version {
			continue
		}
		if s.StatusSupersedes && s.Status.Incarnation != 0 && s.Incarnation != 0 && s.Status.Incarnation != s.Incarnation {
			continue
		}
		broke := brokeAt(s.Endpoint)
		switch {
		case s.Unconfirmed:
		case broke.IsZero() || confirmedAt.Sub(broke) > registrationLapse:
			sure = append(sure, s)
		case !s.StatusSupersedes:
			doubtful = append(doubtful, s)
		case s.Status.ReceivedAt.Sub(broke) > reportDelay:
			sure = append(sure, s)
		}
	}
	if len(sure) == 0 {
		return doubtful
	}
	return sure
}

// registrationLapse is the time after which the registration of an endpoint that ended is gone or
// replaced: three missed heartbeats of 1.2 s.
const registrationLapse = 3600 * time.Millisecond
