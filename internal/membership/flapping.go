package membership

import "math"

// maxFlapReturns bounds the exponent of the hold.
const maxFlapReturns = 32

// flapping is what is remembered of a server whose node expires and returns repeatedly.
type flapping struct {
	returns      int     // within FlapWindowMs of one another
	lastReturnMs float64 // 0: never
	holdUntilMs  float64 // until when the node has to exist for the server to be up; 0: no hold
}

// nodeReturned notes that the node of a server that expired exists again. From the second return on, the
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
	m.endMassFlap(now)
}

// flapHold is the hold after a number of returns, at least 2, in ms.
func (c *MergeConfig) flapHold(returns int) float64 {
	return min(c.FlapHoldMs*math.Pow(2, float64(min(returns, maxFlapReturns)-2)), c.MaxFlapHoldMs)
}

// endMassFlap ends all holds where they cover too large a part of the fleet: then it is the registry that
// flaps, and holding all servers back would be an outage of its own.
func (m *Merge) endMassFlap(now float64) {
	held := 0
	for _, s := range m.withHolds {
		if s.flap.holdUntilMs > now {
			held++
		}
	}
	if !m.cfg.isMass(held, m.registeredServers) {
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
