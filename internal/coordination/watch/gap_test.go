package watch

import (
	"testing"
	"time"

	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/resume"
)

// TestGap guards against a gap in the confirmations, in which versions may come and go, that nobody notices.
func TestGap(t *testing.T) {
	at := time.Unix(1000, 0)
	var v View
	for _, tc := range []struct {
		pause time.Duration
		gap   bool
	}{{time.Hour, false}, {time.Second, false}, {resume.MaxViewAge, false}, {resume.MaxViewAge + time.Millisecond, true}, {time.Second, true}} {
		at = at.Add(tc.pause)
		v.recordGap(at, time.Minute)
		if !v.EndpointsGapAt.IsZero() != tc.gap {
			t.Errorf("after a pause of %v: gap at %v, want one: %v", tc.pause, v.EndpointsGapAt, tc.gap)
		}
	}
	if age := v.endpointsAge(at.Add(time.Second), time.Hour); age != time.Second+59*time.Minute {
		t.Errorf("the view is %v old after a suspension of 59 minutes", age)
	}
	if want := at.Add(-time.Second); !v.EndpointsGapAt.Equal(want) {
		t.Errorf("gap at %v, want its end %v", v.EndpointsGapAt, want)
	}
	if v.recordGap(at.Add(time.Second), 2*time.Minute); !v.EndpointsGapAt.Equal(at.Add(time.Second)) {
		t.Error("a suspension is no gap")
	}
}

// TestDigestOfVersions guards against gateways that take an endpoint's new version under its old id for known.
func TestDigestOfVersions(t *testing.T) {
	one := map[string]fleet.Endpoint{"e": {ID: "e", Service: "s", SoftwareVersion: "one"}}
	two := map[string]fleet.Endpoint{"e": {ID: "e", Service: "s", SoftwareVersion: "two"}}
	if endpointsDigest(one) == endpointsDigest(two) {
		t.Error("two versions have one digest")
	}
}
