package pace

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// replacementsPerSecond bounds the connections that take the place of others, where there is no room for more.
	replacementsPerSecond = 500
	// minReplacementBurst and maxReplacementBurst bound how many do so at once.
	minReplacementBurst, maxReplacementBurst = 32, 256
	// replacementBurstBytes is the memory of connections for which one more does so at once.
	replacementBurstBytes = 128 << 10
)

// Replacements bounds how fast connections take the place of others.
type Replacements struct{ limiter *rate.Limiter }

// NewReplacements returns the bound for a listener with an amount of memory for its connections, in bytes; 0: that is not
// bounded.
func NewReplacements(connMemory int) *Replacements {
	burst := maxReplacementBurst
	if connMemory > 0 {
		burst = min(max(connMemory/replacementBurstBytes, minReplacementBurst), maxReplacementBurst)
	}
	return &Replacements{rate.NewLimiter(replacementsPerSecond, burst)}
}

// Wait waits until one more connection may take the place of another one.
func (r *Replacements) Wait() { time.Sleep(r.limiter.Reserve().Delay()) }
