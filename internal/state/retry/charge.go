package retry

import "time"

const (
	// chargeLifetime is how long one charge covers the retries of equal requests. It
	// exceeds the time in which a suspect's trial condemns or clears it.
	chargeLifetime = time.Minute
	// maxCharges bounds the fingerprints that are remembered.
	maxCharges = 1024
)

// CrashCharges remembers by fingerprint which retries after a crash were charged to a
// budget. It is not safe for concurrent use; the zero value is empty.
type CrashCharges struct{ until map[string]time.Time }

// Covers reports whether a charge covers the retry of an equal request.
func (c *CrashCharges) Covers(fingerprint string, now time.Time) bool {
	return now.Before(c.until[fingerprint])
}

// Add notes a charge. When there is no room for it, it covers nothing.
func (c *CrashCharges) Add(fingerprint string, now time.Time) {
	if c.until == nil {
		c.until = map[string]time.Time{}
	}
	if len(c.until) >= maxCharges {
		for fp, t := range c.until {
			if !now.Before(t) {
				delete(c.until, fp)
			}
		}
	}
	if len(c.until) < maxCharges {
		c.until[fingerprint] = now.Add(chargeLifetime)
	}
}
