package assign

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
)

var update = flag.Bool("update", false, "update the golden files")

const goldenFile = "testdata/assignments.golden"

// dump writes the assignments of all zones, one endpoint per line.
func (f *fixture) dump(out *strings.Builder, step string) {
	for _, zone := range []string{"east", "west", ""} {
		a := f.a.Assignment(f.now, zone)
		fmt.Fprintf(out, "%s zone=%q shed=%d locality=%d\n", step, zone, a.ShedPercent, a.LocalityWeightPercent)
		for _, e := range a.Endpoints {
			fmt.Fprintf(out, "  %s %s %s tier=%d draining=%v weight=%d slowstart=%v share=%.9f\n",
				e.ID, e.Addr, e.Zone, e.Tier, e.Draining, e.Weight, e.SlowStart, a.Share(e.ID))
		}
	}
	fmt.Fprintf(out, "%s changed at %.3f counts=%v\n", step, f.now, f.a.Counts())
}

// Compares the assignments after each step of a fixed scenario with a golden file. The scenario has evidence,
// an ejection and its expiry, drains, slow starts while some proxies stall, and load shedding.
func TestAssignmentsAreStable(t *testing.T) {
	var out strings.Builder
	f := newFixture(t, 8, nil)
	f.connect(6)
	f.dump(&out, "start")
	f.report(0, 6, 1, 0, 20)
	f.report(0, 6, 0, 20, 0)
	f.advance(1000)
	f.dump(&out, "ejected")
	f.update(2, func(e *membership.Entry) { e.State = membership.Draining })
	f.update(3, func(e *membership.Entry) { e.Weight = 3 })
	f.dump(&out, "draining")
	f.update(4, func(e *membership.Entry) { e.StartedMs = f.now })
	f.update(5, func(e *membership.Entry) { e.StartedMs = f.now - 3000 })
	f.dump(&out, "slow start before acknowledgements")
	f.ackAll(4) // two proxies keep the old assignment
	f.dump(&out, "slow start beside stalled proxies")
	f.a.Connect(f.now, "foreign", "west", false)
	f.ackAll(6)
	f.dump(&out, "slow start beside a stranger")
	f.a.Acknowledge("foreign", f.a.Assignment(f.now, "west"))
	for i := range 10 {
		for server := range 8 {
			f.report(0, 4, server, 16, 0)
		}
		f.advance(600)
		f.ackAll(6)
		f.dump(&out, fmt.Sprint("slow start, step ", i))
	}
	f.report(0, 6, 6, 0, 16)
	f.advance(1000)
	for range 3 {
		for p := range 6 {
			f.a.Report(f.now, fmt.Sprint("p-", p), &Report{IntervalMs: 1000,
				Loads: []ServerLoad{{Addr: f.entries[0].Addr, Served: 16, Rejected: 128}}})
		}
		f.advance(1000)
	}
	f.dump(&out, "shedding")
	f.a.Disconnect(f.now, "p-0")
	f.a.Disconnect(f.now, "foreign")
	f.advance(61_000)
	f.dump(&out, "after the grace period")
	got := out.String()
	if *update {
		if err := os.WriteFile(goldenFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	if len(gotLines) != len(wantLines) {
		t.Errorf("%d lines, want %d", len(gotLines), len(wantLines))
	}
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Errorf("line %d:\n got %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
}
