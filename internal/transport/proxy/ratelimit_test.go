package proxy

import (
	"errors"
	"testing"
)

func TestParseRateLimit(t *testing.T) {
	for text, want := range map[string]rateLimit{"": {}, "1": {true, 1}, "0.25": {true, 0.25}, "0": {named: true}, "1e3": {true, 1000}} {
		if got, err := parseRateLimit(text); err != nil || got != want {
			t.Errorf("%q: got %+v, error %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"-1", "NaN", "Inf", "1/s", " ", "1,5"} {
		if _, err := parseRateLimit(text); !errors.Is(err, errInvalidRateLimit) {
			t.Errorf("%q: got error %v", text, err)
		}
	}
}
