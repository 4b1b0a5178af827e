package emulator

import (
	"math"
	"time"
)

// Kinds of faults.
const (
	faultDrain         = "drain"
	faultStop          = "stop"
	faultUnresponsive  = "dark"
	faultRestart       = "restart"
	faultSlow          = "slow"
	faultSlowSome      = "slow_some"
	faultErrors        = "errors"
	faultReject        = "turn_away"
	faultPartition     = "partition"
	faultOneWayDelay   = "one_way"
	faultDiscoveryDown = "roster_down"
	faultSurge         = "surge"
	faultStalls        = "stalls"
	faultKillAgents    = "kill_agents"
)

var faultKinds = map[string]bool{
	faultDrain:         true,
	faultStop:          true,
	faultUnresponsive:  true,
	faultRestart:       true,
	faultSlow:          true,
	faultSlowSome:      true,
	faultErrors:        true,
	faultReject:        true,
	faultPartition:     true,
	faultOneWayDelay:   true,
	faultDiscoveryDown: true,
	faultSurge:         true,
	faultStalls:        true,
	faultKillAgents:    true,
}

// faultEvent begins or ends a fault.
type faultEvent struct {
	world   *World
	fault   *Fault
	servers []*server
}

// The events of a fault.
const (
	faultBegins uint8 = iota
	faultEnds
)

// scheduleFault schedules a fault, for all its servers at once or one after the other.
func (w *World) scheduleFault(f *Fault) {
	candidates := w.faultCandidates(f)
	targets := candidates[:f.targetCount(len(candidates))]
	if f.StaggerS <= 0 {
		w.scheduleFaultEvents(&faultEvent{w, f, targets}, f.StartS)
		return
	}
	for i := range targets {
		w.scheduleFaultEvents(&faultEvent{w, f, targets[i : i+1]}, f.StartS+float64(i)*f.StaggerS)
	}
}

func (w *World) scheduleFaultEvents(e *faultEvent, startS float64) {
	w.at(fromSeconds(startS), e, faultBegins)
	if e.fault.DurationS > 0 {
		w.at(fromSeconds(startS+e.fault.DurationS), e, faultEnds)
	}
}

// faultCandidates returns the servers that a fault may hit, in the order in which it selects them.
func (w *World) faultCandidates(f *Fault) []*server {
	all := w.servers
	if w.graph != nil {
		all = w.graph.faultOrder // shuffled, so that a fault hits several services
	}
	if f.TargetZone <= 0 && f.TargetService <= 0 && f.TargetRack <= 0 {
		return all
	}
	var out []*server
	for _, s := range all {
		if f.matches(s) {
			out = append(out, s)
		}
	}
	return out
}

func (f *Fault) matches(s *server) bool {
	zone := f.TargetZone == 0 || s.zone == f.TargetZone-1
	service := f.TargetService == 0 || s.service == f.TargetService-1
	rack := f.TargetRack == 0 || s.rack == f.TargetRack-1
	return zone && service && rack
}

// targetCount is the number of servers or agents that a fault hits, of a number of candidates.
func (f *Fault) targetCount(candidates int) int {
	n := f.Count
	if n == 0 {
		n = int(math.Ceil(f.ServerFraction * float64(candidates)))
	}
	return min(n, candidates)
}

func (e *faultEvent) fire(kind uint8) {
	begins := kind == faultBegins
	e.world.applyFault(e.fault, begins)
	for _, s := range e.servers {
		s.applyFault(e.fault, begins)
	}
}

// applyFault begins or ends a fault of the network, the discovery service, the clients or the agents.
func (w *World) applyFault(f *Fault, begins bool) {
	switch f.Kind {
	case faultPartition:
		w.partitioned[f.Zone] = begins
	case faultOneWayDelay:
		w.answerDelay[f.Zone] = 0
		if begins {
			w.answerDelay[f.Zone] = fromMs(f.DelayMs)
		}
	case faultKillAgents:
		if begins {
			for _, g := range w.agents[:f.targetCount(len(w.agents))] {
				g.restart()
			}
		}
	case faultSurge:
		w.loadFactor = 1
		if begins {
			w.loadFactor = f.Factor
		}
	case faultDiscoveryDown:
		if begins {
			w.discoveryDownUntil = w.now + fromSeconds(f.DurationS)
		}
	}
}

// applyFault begins or ends a fault of a server.
func (s *server) applyFault(f *Fault, begins bool) {
	factor := 0.0
	fraction := 0.0
	if begins {
		factor = f.Factor
		fraction = f.Fraction
	}
	switch f.Kind {
	case faultDrain:
		s.setDraining(begins)
	case faultStop, faultUnresponsive:
		if begins {
			s.resetProcess()
			s.stopped = f.Kind == faultStop
			s.unresponsive = f.Kind == faultUnresponsive
		} else {
			s.restart()
		}
	case faultRestart:
		if begins {
			s.restart()
		}
	case faultSlow:
		s.slowFactor = factor
	case faultSlowSome:
		s.slowFraction = fraction
		s.slowFractionFactor = f.Factor
	case faultErrors:
		s.errorFraction = fraction
		s.errorClass = allClasses
		if f.Class != "" {
			s.errorClass = s.world.scenario.classIndex(f.Class)
		}
	case faultStalls:
		s.stalls = stalls{}
		if begins {
			s.stalls = s.drawStalls(f)
		}
	case faultReject:
		s.rejectFraction = fraction
	}
}

// setDraining begins or ends a graceful shutdown. The drain grace begins when the last agent is notified.
func (s *server) setDraining(draining bool) {
	w := s.world
	s.draining = draining
	if draining {
		lastNotifiedIn := max(w.discoveryDownUntil-w.now, 0) + fromMs(2*w.scenario.Discovery.LagMs)
		s.record.DrainPublished(w.time().Add(time.Duration(lastNotifiedIn)))
	} else {
		s.record.InService()
	}
	w.notify(s)
}

// drawStalls returns the stalls of a fault with a random phase, so that servers do not pause together.
func (s *server) drawStalls(f *Fault) stalls {
	return stalls{
		every:  fromMs(f.IntervalS * 1000),
		length: fromMs(f.DelayMs),
		phase:  Time(s.rng.Float64() * f.IntervalS * float64(Second)),
	}
}
