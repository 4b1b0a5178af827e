package pace

import (
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// turnoversPerSecond is how often the memory of a budget may be allocated in a second.
const turnoversPerSecond = 10

// requestDivisor gives the part of a budget that requests may take. The rest is for replies, without which a request
// that is forwarded can't be answered.
const requestDivisor = 2

// Buffers reserves memory for requests that arrive from a budget, and bounds how fast it is allocated: memory that was
// released is garbage until the collector has run, and the budget does not count that.
type Buffers struct {
	budget  *semaphore.Weighted
	share   *semaphore.Weighted // of the budget, for requests; nil: all of it
	limiter *rate.Limiter       // nil: the rate is not bounded
}

// NewBuffers returns buffers from a budget of the given size; 0: neither rate nor share are bounded.
func NewBuffers(budget *semaphore.Weighted, size int64) *Buffers {
	b := &Buffers{budget: budget}
	if size > 0 {
		b.share = semaphore.NewWeighted(size / requestDivisor)
		b.limiter = rate.NewLimiter(rate.Limit(size*turnoversPerSecond), int(size))
	}
	return b
}

// TryAcquire reserves memory that is about to be allocated.
func (b *Buffers) TryAcquire(bytes int64) bool {
	if b.limiter != nil && !b.limiter.AllowN(time.Now(), int(bytes)) {
		return false
	}
	if b.share != nil && !b.share.TryAcquire(bytes) {
		return false
	}
	if b.budget.TryAcquire(bytes) {
		return true
	}
	b.releaseShare(bytes)
	return false
}

// Release releases memory that TryAcquire has reserved.
func (b *Buffers) Release(bytes int64) {
	b.budget.Release(bytes)
	b.releaseShare(bytes)
}

func (b *Buffers) releaseShare(bytes int64) {
	if b.share != nil {
		b.share.Release(bytes)
	}
}
