// Package jitter draws random delays and choices that keep processes from acting in
// lockstep. Components are given their random source, so that a test can seed it.
package jitter

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Random is a source of random numbers in [0, n); nil stands for the global source.
type Random func(n int64) int64

// Seeded returns a source whose sequence of numbers depends only on the seed. It is safe for
// concurrent use.
func Seeded(seed uint64) Random {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func(n int64) int64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Int64N(n)
	}
}

// N returns a random number in [0, n).
func (r Random) N(n int64) int64 {
	if r == nil {
		return rand.Int64N(n)
	}
	return r(n)
}

// Around returns a random duration from half of mean to one and a half times mean.
func (r Random) Around(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.N(int64(mean)))
}

// Shuffle puts a list into random order, in place.
func Shuffle[T any](r Random, list []T) {
	for i := len(list) - 1; i > 0; i-- {
		j := r.N(int64(i + 1))
		list[i], list[j] = list[j], list[i]
	}
}
