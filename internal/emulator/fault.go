package emulator

import (
	"math"
	"time"
)

// faultEvent is a fault's beginning or end at some servers, or in the network.
type faultEvent struct {
	world   *World
	fault   *Fault
	servers []*server
}

const (
	faultBegins uint8 = iota
	faultEnds
)

// scheduleFault schedules a fault.
func (w *World) scheduleFault(f *Fault) {
	from := w.servers
	if w.graph != nil {
		from = w.graph.shuffled // not one service after the other
	}
	if f.TargetZone > 0 || f.TargetService > 0 || f.TargetRack > 0 {
		all := from
		from = nil
		for _, s := range all {
			if (f.TargetZone == 0 || s.zone == f.TargetZone-1) && (f.TargetService == 0 || s.service == f.TargetService-1) && (f.TargetRack == 0 || s.rack == f.TargetRack-1) {
				from = append(from, s)
			}
		}
	}
	hit := from[:f.targetCount(len(from))]
	at := func(s float64) Time { return Time(s * float64(Second)) }
	each := [][]*server{hit}
	if f.StaggerS > 0 {
		each = nil
		for i := range hit {
			each = append(each, hit[i:i+1])
		}
	}
	for i, on := range each {
		x := &faultEvent{w, f, on}
		from := f.StartS + float64(i)*f.StaggerS
		w.at(at(from), x, faultBegins)
		if f.DurationS > 0 {
			w.at(at(from+f.DurationS), x, faultEnds)
		}
	}
}

// targetCount is how many of so many it hits.
func (f *Fault) targetCount(all int) int {
	n := f.Count
	if n == 0 {
		n = int(math.Ceil(f.ServerFraction * float64(all)))
	}
	return min(n, all)
}

func (x *faultEvent) fire(kind uint8) {
	w, f, begins := x.world, x.fault, kind == faultBegins
	switch f.Kind {
	case "partition":
		w.partitioned[f.Zone] = begins
	case "one_way":
		if w.answerDelay[f.Zone] = 0; begins {
			w.answerDelay[f.Zone] = fromMs(f.DelayMs)
		}
	case "kill_agents":
		if begins {
			for _, g := range w.agents[:f.targetCount(len(w.agents))] {
				g.kill()
			}
		}
	case "surge":
		if w.loadFactor = 1; begins {
			w.loadFactor = f.Factor
		}
	case "roster_down":
		if begins {
			w.discoveryDownUntil = w.now + Time(f.DurationS*float64(Second))
		}
	}
	amount := func(v float64) float64 {
		if begins {
			return v
		}
		return 0
	}
	for _, s := range x.servers {
		switch f.Kind {
		case "drain":
			if s.draining = begins; begins {
				// Told is when the last agent has heard: the 250 ms count from there.
				s.record.NotifiedDraining(w.time().Add(time.Duration(max(w.discoveryDownUntil-w.now, 0) + fromMs(2*w.scenario.Discovery.LagMs))))
			} else {
				s.record.InService()
			}
			w.notify(s)
		case "stop", "dark":
			if begins {
				s.startProcess()
				s.stopped, s.unresponsive = f.Kind == "stop", f.Kind == "dark"
			} else {
				s.restart()
			}
		case "restart":
			if begins {
				s.restart()
			}
		case "slow":
			s.slowFactor = amount(f.Factor)
		case "slow_some":
			s.slowFraction, s.slowFractionFactor = amount(f.Fraction), f.Factor
		case "errors":
			s.errorFraction, s.errorClass = amount(f.Fraction), -1
			if f.Class != "" {
				s.errorClass = w.scenario.classIndex(f.Class)
			}
		case "stalls":
			if s.stalls = (stalls{}); begins {
				s.stalls = stalls{fromMs(f.IntervalS * 1000), fromMs(f.DelayMs), Time(s.rng.Float64() * f.IntervalS * float64(Second))}
			}
		case "turn_away":
			s.rejectFraction = amount(f.Fraction)
		}
	}
}
