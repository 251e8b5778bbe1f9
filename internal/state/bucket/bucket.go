package bucket

import "time"

// burst is the time in which a bucket fills. With one second, the units taken in any window
// never exceed the rate times the window by more than one second's worth.
const burst = time.Second

// minCapacity allows one request when the rate is below one per second.
const minCapacity = 1

// Bucket is a token bucket. The zero value is an empty bucket of rate 0.
type Bucket struct {
	rate  float64
	level float64
	// size is the capacity in units, or 0 for one burst at the rate.
	size float64
	last time.Time
}

// At returns the bucket refilled up to a time.
func (b Bucket) At(now time.Time) Bucket {
	if now.After(b.last) {
		b.level = min(b.level+b.rate*now.Sub(b.last).Seconds(), b.capacity())
		b.last = now
	}
	return b
}

func (b Bucket) capacity() float64 {
	switch {
	case b.rate <= 0:
		return 0
	case b.size > 0:
		return b.size
	default:
		return max(b.rate*burst.Seconds(), minCapacity)
	}
}

// WithCapacity returns the bucket with a capacity in units, which doesn't depend on its rate.
func (b Bucket) WithCapacity(units float64) Bucket {
	b.size = units
	b.level = min(b.level, b.capacity())
	return b
}

// Level returns the units in the bucket at the time of its last change; a debt is negative.
func (b Bucket) Level() float64 { return b.level }

// Spend removes n units and leaves a debt if there are fewer.
func (b Bucket) Spend(n float64) Bucket {
	b.level -= n
	return b
}

// WithRate returns the bucket with another rate, in units per second. Its level never rises
// by the change, so that a rate that moves between holders is not spent twice.
func (b Bucket) WithRate(now time.Time, rate float64) Bucket {
	b = b.At(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
	return b
}

// Take removes n units. More units than the bucket's capacity are allowed when the bucket is
// full and leave it with a debt. If there are too few units, Take returns the bucket at that
// time, the time until there are enough, and false. At rate 0 that time is one burst.
func (b Bucket) Take(now time.Time, n float64) (Bucket, time.Duration, bool) {
	b = b.At(now)
	need := min(n, b.capacity())
	if b.rate <= 0 {
		return b, burst, false
	}
	if b.level+roundingSlack < need {
		return b, time.Duration((need - b.level) / b.rate * float64(time.Second)), false
	}
	b.level -= n
	return b, 0, true
}

// roundingSlack absorbs the rounding errors of many small refills.
const roundingSlack = 1e-9

// Refund returns units that were taken and not used, up to the capacity.
func (b Bucket) Refund(n float64) Bucket {
	b.level = min(b.level+n, b.capacity())
	return b
}
