package emulator

import (
	"math"
	"time"
)

// strike is a fault's beginning or end at some servers, or in the network.
type strike struct {
	w  *World
	f  *Fault
	on []*server
}

const (
	faultBegins uint8 = iota
	faultEnds
)

// plan schedules a fault.
func (w *World) plan(f *Fault) {
	from := w.servers
	if w.graph != nil {
		from = w.graph.mixed // not one service after the other
	}
	if f.OfZone > 0 || f.OfService > 0 || f.OfRack > 0 {
		all := from
		from = nil
		for _, s := range all {
			if (f.OfZone == 0 || s.zone == f.OfZone-1) && (f.OfService == 0 || s.service == f.OfService-1) && (f.OfRack == 0 || s.rack == f.OfRack-1) {
				from = append(from, s)
			}
		}
	}
	hit := from[:f.many(len(from))]
	at := func(s float64) Time { return Time(s * float64(Second)) }
	each := [][]*server{hit}
	if f.EveryS > 0 {
		each = nil
		for i := range hit {
			each = append(each, hit[i:i+1])
		}
	}
	for i, on := range each {
		x := &strike{w, f, on}
		from := f.AtS + float64(i)*f.EveryS
		w.at(at(from), x, faultBegins)
		if f.ForS > 0 {
			w.at(at(from+f.ForS), x, faultEnds)
		}
	}
}

// many is how many of so many it hits.
func (f *Fault) many(all int) int {
	n := f.Count
	if n == 0 {
		n = int(math.Ceil(f.Share * float64(all)))
	}
	return min(n, all)
}

func (x *strike) fire(kind uint8) {
	w, f, begins := x.w, x.f, kind == faultBegins
	switch f.Kind {
	case "partition":
		w.cut[f.Zone] = begins
	case "one_way":
		if w.late[f.Zone] = 0; begins {
			w.late[f.Zone] = ns(f.Ms)
		}
	case "kill_agents":
		if begins {
			for _, g := range w.agents[:f.many(len(w.agents))] {
				g.kill()
			}
		}
	case "surge":
		if w.surge = 1; begins {
			w.surge = f.Times
		}
	case "roster_down":
		if begins {
			w.rosterDown = w.now + Time(f.ForS*float64(Second))
		}
	}
	amount := func(v float64) float64 {
		if begins {
			return v
		}
		return 0
	}
	for _, s := range x.on {
		switch f.Kind {
		case "drain":
			if s.draining = begins; begins {
				// Told is when the last agent has heard: the 250 ms count from there.
				s.acct.NotifiedDraining(w.time().Add(time.Duration(max(w.rosterDown-w.now, 0) + ns(2*w.sc.Roster.LagMs))))
			} else {
				s.acct.InService()
			}
			w.tell(s)
		case "stop", "dark":
			if begins {
				s.begin()
				s.stopped, s.dark = f.Kind == "stop", f.Kind == "dark"
			} else {
				s.restart()
			}
		case "restart":
			if begins {
				s.restart()
			}
		case "slow":
			s.slow = amount(f.Times)
		case "slow_some":
			s.slowPart, s.slowTime = amount(f.Part), f.Times
		case "errors":
			s.errPart, s.errClass = amount(f.Part), -1
			if f.Class != "" {
				s.errClass = w.sc.class(f.Class)
			}
		case "stalls":
			if s.stalls = (stalls{}); begins {
				s.stalls = stalls{ns(f.PauseS * 1000), ns(f.Ms), Time(s.rng.Float64() * f.PauseS * float64(Second))}
			}
		case "turn_away":
			s.turnPart = amount(f.Part)
		}
	}
}
