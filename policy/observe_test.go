package policy

import (
	"math"
	"testing"
)

func (r *rig) seen(e ...Evidence) { r.b.Observe(r.now, 5000, e) }

func (r *rig) view(a Addr) View {
	r.t.Helper()
	for _, v := range r.b.View(r.now, nil) {
		if v.Server == a {
			return v
		}
	}
	r.t.Fatalf("%v is not listed", a)
	return View{}
}

func (r *rig) wantState(a Addr, want State) {
	r.t.Helper()
	if got := r.view(a).State; got != want {
		r.t.Fatalf("at %v state %d, want %d", r.now, got, want)
	}
}

// The four states by what others saw: demotion on failure, the hold, pending, return by
// validation, and by lapse where nobody is heard of.
func TestObserveStates(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	s := addr(1)
	r.wantState(s, Unknown)
	r.seen(Evidence{Server: s, Served: 10})
	r.wantState(s, Connected)
	r.seen(Evidence{Server: s, Failed: 20})
	r.wantState(s, Unhealthy)
	r.now += 4999
	r.seen()
	r.wantState(s, Unhealthy)
	r.now++
	r.seen()
	r.wantState(s, UnhealthyPending)
	r.seen(Evidence{Server: s, Served: 40})
	r.wantState(s, Connected) // validated
	r.seen(Evidence{Server: s, Failed: 20, Silent: true})
	r.wantState(s, Unhealthy)
	for range 8 { // strikes double the hold: 2 of them by now, at most
		r.now += 5000
		r.seen()
	}
	r.wantState(s, Unknown) // lapsed
	if v := r.view(s); v.ConsecutiveFailures == 0 {
		t.Error("a lapse takes back no strike: nothing was served")
	}
	r.wantState(addr(2), Unknown)
}

// A few failures among many answers put nobody out; a failing server among well ones is.
func TestObserveStrays(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 20 {
		r.now += 1000
		r.seen(Evidence{Server: addr(0), Served: 98, Failed: 2}, Evidence{Server: addr(1), Served: 50, Failed: 50},
			Evidence{Server: addr(2), Served: 100}, Evidence{Server: addr(3), Served: 100})
		r.wantState(addr(0), Connected)
	}
	r.wantState(addr(1), Unhealthy)
}

// A server that nobody reached for long and that answers again may be a new process: it
// is ramped as one, also where the list knows of no start.
func TestObserveAssumesRestart(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.seen(Evidence{Server: addr(0), Failed: 5, Silent: true})
	r.now += r.b.settings.Contract.OverloadWindowMs + 1
	r.seen(Evidence{Server: addr(0), Served: 1})
	if v := r.view(addr(0)); v.Capacity != r.b.settings.Contract.SlowStartMinCapacity {
		t.Errorf("ramp %v, want %v", v.Capacity, r.b.settings.Contract.SlowStartMinCapacity)
	}
	r.now += r.b.settings.Contract.PollIntervalMs + 1 // the list has not borne it out
	if v := r.view(addr(0)); v.Capacity != 1 {
		t.Errorf("ramp %v, want 1", v.Capacity)
	}
}

// What is no number, and names that are not listed, change nothing.
func TestObserveAbsurd(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		r.seen(Evidence{Server: addr(0), Failed: x, Rejected: x}, Evidence{Server: addr(77), Failed: 5})
	}
	r.wantState(addr(0), Unknown)
	r.seen(Evidence{Server: addr(0), Served: 1 << 62, Failed: 1})
	r.wantState(addr(0), Connected)
	if x := r.b.ShedFraction(); x != 0 {
		t.Errorf("shed %v", x)
	}
}

// Where most is turned away a part of what comes is to be refused, and none once it is served.
func TestObserveShed(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	for range 3 {
		r.seen(Evidence{Server: addr(0), Served: 20, Rejected: 180})
	}
	if x := r.b.ShedFraction(); x < 0.5 || x > maxShedFraction {
		t.Errorf("shed %v of a crowd", x)
	}
	r.wantState(addr(0), Connected) // crowded is not unhealthy
	for range 10 {
		r.seen(Evidence{Server: addr(0), Served: 100})
	}
	if x := r.b.ShedFraction(); x != 0 {
		t.Errorf("shed %v of a calm", x)
	}
}
