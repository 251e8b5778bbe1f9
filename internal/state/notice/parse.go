package notice

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

var (
	errInvalidLeaving = errors.New("a notice of leaving is 1, or 0")
	errInvalidPause   = errors.New("a pause is a decimal number of seconds, not below 0, or a date")
)

// maxPause is what longer pauses are taken for, so that no number overflows a time.
const maxPause = 24 * time.Hour

// ParseLeaving reports whether one of the values of a header field says that the endpoint
// leaves; an unreadable value says nothing and is an error.
func ParseLeaving(values []string) (bool, error) {
	var leaving bool
	var errs []error
	for v := range split(values) {
		switch v {
		case "1":
			leaving = true
		case "", "0":
		default:
			errs = append(errs, fmt.Errorf("%w: %.40q", errInvalidLeaving, v))
		}
	}
	return leaving, errors.Join(errs...)
}

// PauseOf returns the pause that an answer asks for; only a rejection can. Dates count from the
// sender's time of day if the answer holds it, else from now.
func PauseOf(status int, h http.Header, now time.Time) (time.Duration, error) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0, nil
	}
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		now = at
	}
	return ParsePause(h.Values("Retry-After"), now)
}

// ParsePause returns the longest pause that the values of a Retry-After field name; an
// unreadable value names none and is an error. now is the endpoint's time of day, which dates
// count from.
func ParsePause(values []string, now time.Time) (time.Duration, error) {
	var pause time.Duration
	var errs []error
	add := func(text string) {
		d, err := parsePause(text, now)
		pause = max(pause, d)
		if err != nil {
			errs = append(errs, err)
		}
	}
	for _, v := range values {
		if _, err := http.ParseTime(v); err == nil {
			// A date contains a comma.
			add(v)
			continue
		}
		for part := range split([]string{v}) {
			add(part)
		}
	}
	return pause, errors.Join(errs...)
}

func parsePause(text string, now time.Time) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(maxPause, max(0, at.Sub(now))), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange) && seconds > 0:
		return maxPause, nil
	case err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0:
		return 0, fmt.Errorf("%w: %.40q", errInvalidPause, text)
	case seconds >= maxPause.Seconds():
		return maxPause, nil
	default:
		return time.Duration(seconds * float64(time.Second)), nil
	}
}

// split returns the values of a field that may come several times or as a list.
func split(values []string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, v := range values {
			for part := range strings.SplitSeq(v, ",") {
				if !yield(strings.TrimSpace(part)) {
					return
				}
			}
		}
	}
}
