package emulator

import (
	"math"

	"ringtrack.example/ringtrack/internal/invariant"
)

const (
	// burstOnFraction is the mean fraction of time during which a burst is on.
	burstOnFraction = 0.1
	// minOffRateFactor and minLoadFactor keep the arrival rate above 0, by which a wait is divided.
	minOffRateFactor = 0.01
	minLoadFactor    = 1e-3
	// hotKey is the key of the requests selected by Load.HotKey.
	hotKey = 1
)

// arrivals is the World as the event that starts a new client operation.
type arrivals World

func (a *arrivals) fire(uint8) {
	w := (*World)(a)
	w.after(w.nextArrival(), a, 0)
	if w.thinned() {
		return
	}
	w.operations++
	o := w.newOperation()
	if o.measured {
		w.totals.Ops++
	}
	w.graph.recordRequest(o)
	o.send()
}

// thinned reports whether an arrival is dropped to follow the daily load curve: arrivals are drawn at the
// peak rate, and thinning reduces them to the rate of the current time.
func (w *World) thinned() bool {
	swing := w.scenario.Load.Swing
	if swing <= 0 {
		return false
	}
	rate := 1 - swing*math.Cos(2*math.Pi*float64(w.now)/float64(Second)/w.scenario.Seconds)
	return w.clientRng.Float64()*(1+swing) > rate
}

// newOperation draws a client operation. The order of the draws determines the results of a seed.
func (w *World) newOperation() *operation {
	rng := w.clientRng
	o := &operation{
		world:     w,
		agent:     w.agents[rng.IntN(w.entryAgents())],
		startedAt: w.now,
		measured:  w.warmedUp(),
		hop:       1,
	}
	o.entry = o
	o.class = w.scenario.drawClass(rng.Float64())
	class := &w.scenario.Classes[o.class]
	o.effect = invariant.Effect(class.Effect)
	o.Operation = invariant.Operation{Effect: o.effect}
	if len(w.scenario.Tenants) > 0 {
		o.tenant = w.scenario.drawTenant(rng.Float64())
	}
	if fraction := w.scenario.FirstAgentFraction; fraction > 0 && rng.Float64() < fraction {
		o.agent = w.agents[0]
	}
	if o.measured {
		w.quotaAccounts[o.tenant].offer(w.now, w.settings.Classes[o.class].PriorityWeight)
	}
	o.key = w.drawKey()
	if fraction := w.scenario.Load.ImmediateRetry; fraction > 0 {
		o.immediateRetry = rng.Float64() < fraction
	}
	o.deadline = w.now + fromMs(class.ClientTimeoutMs)
	return o
}

// drawKey returns the key of a request, or 0 if requests have no key.
func (w *World) drawKey() uint64 {
	if w.keys == nil {
		return 0
	}
	key := uint64(w.keys.draw(w.clientRng))*hashMultiplier + 1
	if fraction := w.scenario.Load.HotKey; fraction > 0 && w.clientRng.Float64() < fraction {
		return hotKey
	}
	return key
}

// nextArrival draws the time to the next arrival.
func (w *World) nextArrival() Time {
	load := &w.scenario.Load
	rate := load.PerS * (1 + load.Swing) * max(w.loadFactor, minLoadFactor)
	if load.Burst > 1 {
		offFactor := (1 - burstOnFraction*load.Burst) / (1 - burstOnFraction)
		if w.burst {
			rate *= load.Burst
		} else {
			rate *= max(offFactor, minOffRateFactor)
		}
	}
	return Time(w.clientRng.ExpFloat64() / rate * float64(Second))
}

// burstSwitch is the World as the event that begins or ends a burst.
type burstSwitch World

func (b *burstSwitch) fire(uint8) {
	w := (*World)(b)
	w.burst = !w.burst
	w.scheduleBurst()
}

// scheduleBurst schedules the end of the current burst, or the beginning of the next.
func (w *World) scheduleBurst() {
	meanMs := max(w.scenario.Load.BurstMs, 1)
	if !w.burst {
		meanMs *= (1 - burstOnFraction) / burstOnFraction
	}
	w.after(fromMs(meanMs*w.clientRng.ExpFloat64()), (*burstSwitch)(w), 0)
}
