package conns

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// ageStep is the first bound between idle times that are told apart; each further one
	// is twice the one before.
	ageStep = 5 * time.Millisecond
	// ageMargin is how much more often than new ones kept connections may break before a
	// new one is worth its handshake.
	ageMargin = 0.04
	// ageMemory is after how long what was seen counts half.
	ageMemory = 10 * time.Second
)

// ages learns for how long a connection may have idled to be used again. A backend
// says at the latest when it closes one; some close sooner, and something on the way
// may forget a connection without a word to either end. The next request on it then
// ends as a reset, and an unsafe one has failed.
type ages struct {
	mu sync.Mutex
	at time.Time
	// Attempts and breaks without a byte of an answer, by idle time; first the new ones.
	uses, breaks [16]float64
}

func ageSlot(age time.Duration) int {
	return min(1+bits.Len64(uint64(max(age, 0)/ageStep)), len(ages{}.uses)-1)
}

// count takes an attempt's end; slot is 0 for a new connection.
func (a *ages) count(slot int, broke bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now(); now.Sub(a.at) > ageMemory {
		a.at = now
		for i := range a.uses {
			a.uses[i] /= 2
			a.breaks[i] /= 2
		}
	}
	a.uses[slot]++
	if broke {
		a.breaks[slot]++
	}
}

// usable tells whether a connection that idled so long is as good as a new one. Where a
// shorter time breaks them a longer one does.
func (a *ages) usable(age time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := ageMargin + a.breaks[0]/max(a.uses[0], 10)
	for i := 1; i <= ageSlot(age); i++ {
		if a.breaks[i]-math.Sqrt(a.breaks[i]) > most*a.uses[i] { // beyond chance
			return false
		}
	}
	return true
}
