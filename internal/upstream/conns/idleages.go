package conns

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// ageBuckets is the number of ranges of idle time that are distinguished, new connections included.
	ageBuckets = 16
	// firstAgeBound is the upper bound of the first range; each further one is twice the one before.
	firstAgeBound = 5 * time.Millisecond
	// maxExtraResetRate is how much more often idle connections may be reset than new ones before opening a new
	// one is cheaper.
	maxExtraResetRate = 0.04
	// minNewConns is the number of new connections below which their rate of resets is underestimated.
	minNewConns = 10
	// ageHalfLife is after how long records count half.
	ageHalfLife = 10 * time.Second
)

// idleAges learns how long a connection may be idle and still be used. Some backends close idle connections
// sooner than they say, and a middlebox may forget one without notice to either end: the next request on it ends
// as a reset, and one that is not idempotent has failed.
type idleAges struct {
	mu       sync.Mutex
	halvedAt time.Time
	// Attempts, and resets without a byte of a response, by bucket of idle time; 0 are new connections.
	uses   [ageBuckets]float64
	resets [ageBuckets]float64
}

// ageBucket is the bucket of an idle time.
func ageBucket(age time.Duration) int {
	return min(1+bits.Len64(uint64(max(age, 0)/firstAgeBound)), ageBuckets-1)
}

// record records the end of an attempt on a connection of a bucket.
func (a *idleAges) record(bucket int, reset bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now(); now.Sub(a.halvedAt) > ageHalfLife {
		a.halvedAt = now
		for i := range a.uses {
			a.uses[i] /= 2
			a.resets[i] /= 2
		}
	}
	a.uses[bucket]++
	if reset {
		a.resets[bucket]++
	}
}

// usable says whether a connection of this idle time is as good as a new one. If a shorter idle time has too many
// resets, a longer one has too.
func (a *idleAges) usable(age time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	maxRate := maxExtraResetRate + a.resets[0]/max(a.uses[0], minNewConns)
	for i := 1; i <= ageBucket(age); i++ {
		// One standard deviation less: the difference has to be more than chance.
		if a.resets[i]-math.Sqrt(a.resets[i]) > maxRate*a.uses[i] {
			return false
		}
	}
	return true
}
