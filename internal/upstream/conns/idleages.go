package conns

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// ageBuckets is the number of ranges of idle time that are distinguished, including one for new
	// connections.
	ageBuckets = 16
	// firstAgeBound is the upper bound of the first range; each further bound is twice the one before.
	firstAgeBound = 5 * time.Millisecond
	// maxExtraResetRate is how much higher the reset rate of idle connections may be than that of new ones
	// before opening a new connection is cheaper.
	maxExtraResetRate = 0.04
	// minNewConns is the minimum divisor of the reset rate of new connections: with fewer connections the
	// rate is underestimated.
	minNewConns = 10
	// ageHalfLife is the interval at which all counts are halved.
	ageHalfLife = 10 * time.Second
)

// idleAges estimates from past attempts how long a connection may be idle and still be usable. Some backends
// close idle connections earlier than they advertise, and a middlebox may drop one without notifying either
// end. The next request on it then ends with a reset, and fails if it is not idempotent.
type idleAges struct {
	mu       sync.Mutex
	halvedAt time.Time
	// Attempts, and resets before the first byte of a response, by bucket of idle time; bucket 0 is new
	// connections.
	uses   [ageBuckets]float64
	resets [ageBuckets]float64
}

// ageBucket returns the bucket of an idle time.
func ageBucket(age time.Duration) int {
	return min(1+bits.Len64(uint64(max(age, 0)/firstAgeBound)), ageBuckets-1)
}

// record counts an attempt on a connection of a bucket, and whether it ended with a reset.
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

// usable says whether a connection with this idle time is about as reliable as a new one. If a shorter idle
// time has too many resets, longer ones are not usable either.
func (a *idleAges) usable(age time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	maxRate := maxExtraResetRate + a.resets[0]/max(a.uses[0], minNewConns)
	for i := 1; i <= ageBucket(age); i++ {
		// One standard deviation is subtracted, so that the difference is unlikely to be random.
		if a.resets[i]-math.Sqrt(a.resets[i]) > maxRate*a.uses[i] {
			return false
		}
	}
	return true
}
