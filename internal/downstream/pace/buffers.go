package pace

import (
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// turnoversPerSecond is how often the memory of a budget may be allocated in a second.
const turnoversPerSecond = 10

// Buffers reserves memory for requests that arrive from a budget, and bounds how fast it is allocated: memory that was
// released is garbage until the collector has run, and the budget does not count that.
type Buffers struct {
	budget  *semaphore.Weighted
	limiter *rate.Limiter // nil: the rate is not bounded
}

// NewBuffers returns buffers from a budget of the given size; 0: the rate is not bounded.
func NewBuffers(budget *semaphore.Weighted, size int64) *Buffers {
	b := &Buffers{budget: budget}
	if size > 0 {
		b.limiter = rate.NewLimiter(rate.Limit(size*turnoversPerSecond), int(size))
	}
	return b
}

// TryAcquire reserves memory that is about to be allocated. The caller releases it to the budget.
func (b *Buffers) TryAcquire(bytes int64) bool {
	if b.limiter != nil && !b.limiter.AllowN(time.Now(), int(bytes)) {
		return false
	}
	return b.budget.TryAcquire(bytes)
}
