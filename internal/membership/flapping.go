package membership

import "math"

// maxFlapReturns bounds the exponent in flapHold.
const maxFlapReturns = 32

// flapping is the state of a server whose node expires and returns repeatedly.
type flapping struct {
	returns      int     // each within FlapWindowMs of the one before
	lastReturnMs float64 // 0: never
	holdUntilMs  float64 // the server is not up before this time; 0: no hold
}

// nodeReturned records that a server whose node expired has a node again. From the second return on, the
// server is up only after a hold.
func (m *Merge) nodeReturned(now float64, s *server) {
	if now-s.flap.lastReturnMs > m.cfg.FlapWindowMs {
		s.flap.returns = 0
	}
	s.flap.returns++
	if s.flap.returns > 1 {
		s.flap.holdUntilMs = now + m.cfg.flapHold(s.flap.returns)
		m.withHolds[s.id] = s
	}
	s.flap.lastReturnMs = now
	m.cancelHoldsOnMassFlap(now)
}

// flapHold returns the hold in ms after a number of returns, at least 2.
func (c *MergeConfig) flapHold(returns int) float64 {
	return min(c.FlapHoldMs*math.Pow(2, float64(min(returns, maxFlapReturns)-2)), c.MaxFlapHoldMs)
}

// cancelHoldsOnMassFlap cancels all holds if they cover too large a part of the fleet: the fault is then in
// the registry, and keeping all these servers out of rotation would cause an outage.
func (m *Merge) cancelHoldsOnMassFlap(now float64) {
	onHold := 0
	for _, s := range m.withHolds {
		if s.flap.holdUntilMs > now {
			onHold++
		}
	}
	if !m.cfg.isMass(onHold, m.registeredServers) {
		return
	}
	for _, s := range m.withHolds {
		if s.flap.holdUntilMs > 0 {
			s.flap.holdUntilMs = 0
			s.flap.returns = 0
			m.markChanged(s)
		}
	}
}
