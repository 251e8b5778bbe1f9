package retry

import "time"

const (
	// chargeLifetime is how long one charge covers the retries of equal requests. An
	// isolated run of a suspect request blocks or clears it in less time.
	chargeLifetime = time.Minute
	// maxCharges is the largest number of fingerprints in memory.
	maxCharges = 1024
)

// CrashCharges records, by request fingerprint, which retries after an engine crash were
// charged to a retry budget. The zero value is empty; it is not safe for concurrent use.
type CrashCharges struct{ expiry map[string]time.Time }

// Covers reports whether an earlier charge covers a retry of a request with a fingerprint.
func (c *CrashCharges) Covers(fingerprint string, now time.Time) bool {
	return now.Before(c.expiry[fingerprint])
}

// Add records a charge; if maxCharges unexpired ones are in memory, it is dropped.
func (c *CrashCharges) Add(fingerprint string, now time.Time) {
	if c.expiry == nil {
		c.expiry = map[string]time.Time{}
	}
	if len(c.expiry) >= maxCharges {
		for fp, t := range c.expiry {
			if !now.Before(t) {
				delete(c.expiry, fp)
			}
		}
	}
	if len(c.expiry) < maxCharges {
		c.expiry[fingerprint] = now.Add(chargeLifetime)
	}
}
