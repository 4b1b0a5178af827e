package policy

import (
	"math"
	"testing"
)

// The transitions of the four states by evidence from other agents: ejection on failure, the ejection time,
// validation by served attempts, and readmission after a time without evidence.
func TestObserveStates(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	s := addr(1)
	r.wantState(s, Unknown)
	r.observe(Evidence{Server: s, Served: 10})
	r.wantState(s, Connected)
	r.observe(Evidence{Server: s, Failed: 20})
	r.wantState(s, Unhealthy)
	r.now += 4999
	r.observe()
	r.wantState(s, Unhealthy)
	r.now++
	r.observe()
	r.wantState(s, UnhealthyPending)
	r.observe(Evidence{Server: s, Served: 40})
	r.wantState(s, Connected) // validated
	r.observe(Evidence{Server: s, Failed: 20, Silent: true})
	r.wantState(s, Unhealthy)
	for range 8 { // each consecutive failure doubles the ejection time; there were at most 2
		r.now += 5000
		r.observe()
	}
	r.wantState(s, Unknown) // after a time without evidence
	if v := r.view(s); v.Ejections == 0 {
		t.Error("the ejection count was reduced though nothing was served")
	}
	r.wantState(addr(2), Unknown)
}

// A server with a few failures among many answers is not ejected; one that fails far more than others is.
func TestObserveBaselineFailures(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	for range 20 {
		r.now += 1000
		r.observe(Evidence{Server: addr(0), Served: 98, Failed: 2}, Evidence{Server: addr(1), Served: 50, Failed: 50},
			Evidence{Server: addr(2), Served: 100}, Evidence{Server: addr(3), Served: 100})
		r.wantState(addr(0), Connected)
	}
	r.wantState(addr(1), Unhealthy)
}

// A server that answers again after all connects failed for long may be a new process: it is in slow start
// even if the endpoint list shows no restart.
func TestObserveAssumesRestart(t *testing.T) {
	r := newHarness(t, testSettings(), 4)
	r.observe(Evidence{Server: addr(0), Failed: 5, Silent: true})
	r.now += r.b.settings.Contract.OverloadWindowMs + 1
	r.observe(Evidence{Server: addr(0), Served: 1})
	if v := r.view(addr(0)); v.WarmUpFraction != r.b.settings.Contract.SlowStartMinCapacity {
		t.Errorf("capacity %v, want %v", v.WarmUpFraction, r.b.settings.Contract.SlowStartMinCapacity)
	}
	r.now += r.b.settings.Contract.PollIntervalMs + 1 // the endpoint list has not confirmed it
	if v := r.view(addr(0)); v.WarmUpFraction != 1 {
		t.Errorf("capacity %v, want 1", v.WarmUpFraction)
	}
}

// Invalid numbers and evidence about servers that are not listed are ignored.
func TestObserveInvalidNumbers(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		r.observe(Evidence{Server: addr(0), Failed: x, Rejected: x}, Evidence{Server: addr(77), Failed: 5})
	}
	r.wantState(addr(0), Unknown)
	r.observe(Evidence{Server: addr(0), Served: 1 << 62, Failed: 1})
	r.wantState(addr(0), Connected)
	if x := r.b.ShedFraction(); x != 0 {
		t.Errorf("a fraction of %v is shed, want none", x)
	}
}

// While most attempts are rejected a fraction of the requests is shed; once they are served again, none is.
func TestObserveShedFraction(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	for range 3 {
		r.observe(Evidence{Server: addr(0), Served: 20, Rejected: 180})
	}
	if x := r.b.ShedFraction(); x < 0.5 || x > maxShedFraction {
		t.Errorf("a fraction of %v is shed under overload", x)
	}
	r.wantState(addr(0), Connected) // an overloaded server is not unhealthy
	for range 10 {
		r.observe(Evidence{Server: addr(0), Served: 100})
	}
	if x := r.b.ShedFraction(); x != 0 {
		t.Errorf("a fraction of %v is still shed after the overload", x)
	}
}
