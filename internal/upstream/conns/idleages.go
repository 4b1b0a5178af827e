package conns

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// firstAgeBound is the first bound between idle times that are told apart; each further one
	// is twice the one before.
	firstAgeBound = 5 * time.Millisecond
	// maxExtraResetRate is how much more often than new ones kept connections may break before a
	// new one is worth its handshake.
	maxExtraResetRate = 0.04
	// ageHalfLife is after how long what was seen counts half.
	ageHalfLife = 10 * time.Second
)

// idleAges learns for how long a connection may have idled to be used again. A backend
// says at the latest when it closes one; some close sooner, and something on the way
// may forget a connection without a word to either end. The next request on it then
// ends as a reset, and an unsafe one has failed.
type idleAges struct {
	mu       sync.Mutex
	halvedAt time.Time
	// Attempts and breaks without a byte of an answer, by idle time; first the new ones.
	uses, resets [16]float64
}

func ageBucket(age time.Duration) int {
	return min(1+bits.Len64(uint64(max(age, 0)/firstAgeBound)), len(idleAges{}.uses)-1)
}

// record takes an attempt's end; slot is 0 for a new connection.
func (a *idleAges) record(slot int, broke bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now(); now.Sub(a.halvedAt) > ageHalfLife {
		a.halvedAt = now
		for i := range a.uses {
			a.uses[i] /= 2
			a.resets[i] /= 2
		}
	}
	a.uses[slot]++
	if broke {
		a.resets[slot]++
	}
}

// usable tells whether a connection that idled so long is as good as a new one. Where a
// shorter time breaks them a longer one does.
func (a *idleAges) usable(age time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := maxExtraResetRate + a.resets[0]/max(a.uses[0], 10)
	for i := 1; i <= ageBucket(age); i++ {
		if a.resets[i]-math.Sqrt(a.resets[i]) > most*a.uses[i] { // beyond chance
			return false
		}
	}
	return true
}
