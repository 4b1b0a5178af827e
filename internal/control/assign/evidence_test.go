package assign

import (
	"fmt"
	"math"
	"testing"
)

// Failures of a server count only if the majority of proxies report them: not if 2 of 100 do, nor 1 of 2, but
// if 60 of 100 do.
func TestMajorityOfProxiesDecides(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(100)
	f.report(0, 2, 0, 0, 100_000) // a high load gives a proxy no more votes
	f.report(2, 100, 0, 10, 0)
	f.advance(1100)
	if e := f.endpoint("east", 0); e.Tier != Healthy {
		t.Errorf("2 of 100 proxies report failures: endpoint %+v", e)
	}
	f.report(0, 1, 0, 0, 10)
	f.report(1, 2, 0, 10, 0)
	f.advance(1100)
	if e := f.endpoint("east", 0); e.Tier != Healthy {
		t.Errorf("1 of 2 proxies reports failures: endpoint %+v", e)
	}
	if n := f.a.Counts().Contradicted; n != 3 {
		t.Errorf("%d loads contradicted, want 3", n)
	}
	f.report(0, 60, 0, 0, 10)
	f.report(60, 100, 0, 10, 0)
	for i := 1; i < 4; i++ { // the other servers are healthy: the fault is not common to all
		f.report(0, 100, i, 10, 0)
	}
	f.advance(1100)
	if e := f.endpoint("east", 0); e.Tier != LastResort {
		t.Errorf("60 of 100 proxies report failures: endpoint %+v", e)
	}
}

// Invalid, late and unknown loads are counted and otherwise ignored.
func TestUnusableEvidenceIsCounted(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(2)
	f.advance(100)
	for _, x := range []float64{math.NaN(), -1, math.Inf(1), 1 << 63} {
		for p := range 2 {
			f.a.Report(f.now, fmt.Sprintf("p-%d", p), &Report{IntervalMs: x, Issued: x, Loads: []ServerLoad{
				{Addr: f.entries[0].Addr, Failed: x}, {Addr: f.entries[0].Addr, Served: 1, Rejected: x}}})
		}
	}
	f.a.Report(f.now, "unknown", &Report{IntervalMs: 1000, Loads: []ServerLoad{{Addr: f.entries[0].Addr, Failed: 10}}})
	f.a.Report(f.now, "p-0", &Report{IntervalMs: 1000, Loads: []ServerLoad{{Addr: "10.9.9.9:1", Failed: 10}}})
	f.advance(1100)
	if e := f.endpoint("east", 0); e.Tier != Healthy {
		t.Errorf("after invalid reports: endpoint %+v", e)
	}
	if c := f.a.Counts(); c.Invalid != 16 || c.Unknown != 2 {
		t.Errorf("counts %+v, want 16 invalid and 2 unknown", c)
	}
	// Answers from before the server became Unhealthy are ignored.
	f.report(0, 2, 0, 0, 10)
	f.advance(1000)
	if e := f.endpoint("east", 0); e.Tier != LastResort {
		t.Fatalf("after reported failures: endpoint %+v", e)
	}
	f.a.Report(f.now, "p-0", &Report{IntervalMs: 30_000, Loads: []ServerLoad{{Addr: f.entries[0].Addr, Served: 500}}})
	f.advance(1000)
	if e := f.endpoint("east", 0); e.Tier != LastResort || f.a.Counts().Late != 1 {
		t.Errorf("after a late report: endpoint %+v, counts %+v", e, f.a.Counts())
	}
}

// A server whose requests stay in progress and never end is treated as hanging.
func TestHangingServerBecomesLastResort(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.connect(2)
	f.advance(100)
	for range hungWindows {
		if e := f.endpoint("east", 0); e.Tier != Healthy {
			t.Fatalf("before hungWindows have passed: endpoint %+v", e)
		}
		f.a.Report(f.now, "p-0", &Report{IntervalMs: 1000, Loads: []ServerLoad{{Addr: f.entries[0].Addr, InProgress: 5}}})
		f.report(0, 2, 1, 10, 0)
		f.advance(1000)
	}
	if e := f.endpoint("east", 0); e.Tier != LastResort {
		t.Errorf("after hungWindows without an answer: endpoint %+v", e)
	}
}

// While servers reject most requests, proxies shed a part of the load themselves, and none afterwards.
func TestOverloadShedsLoad(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.connect(2)
	report := func(served, rejected float64) {
		for range 3 {
			for p := range 2 {
				f.a.Report(f.now, fmt.Sprint("p-", p), &Report{IntervalMs: 1000, Loads: []ServerLoad{{Addr: f.entries[0].Addr, Served: served, Rejected: rejected}}})
			}
			f.advance(1000)
		}
	}
	report(20, 180)
	if s := f.a.Assignment(f.now, "east").ShedPercent; s < 50 || s > 80 {
		t.Errorf("%d%% of the load is shed, want 50%% to 80%%", s)
	}
	if e := f.endpoint("east", 0); e.Tier != Healthy {
		t.Errorf("an overloaded server is not unhealthy: %+v", e)
	}
	for range 5 {
		report(100, 0)
	}
	if s := f.a.Assignment(f.now, "east").ShedPercent; s != 0 {
		t.Errorf("%d%% of the load is shed without overload", s)
	}
}
