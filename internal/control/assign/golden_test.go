package assign

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
)

var update = flag.Bool("update", false, "write the golden files from what the code decides now")

const goldenFile = "testdata/assignments.golden"

// dump writes the assignments of all zones, one endpoint a line.
func (b *bench) dump(out *strings.Builder, step string) {
	for _, zone := range []string{"east", "west", ""} {
		a := b.a.Assignment(b.now, zone)
		fmt.Fprintf(out, "%s zone=%q shed=%d locality=%d\n", step, zone, a.ShedPercent, a.LocalityWeightPercent)
		for _, e := range a.Endpoints {
			fmt.Fprintf(out, "  %s %s %s tier=%d draining=%v weight=%d slowstart=%v share=%.9f\n",
				e.ID, e.Addr, e.Zone, e.Tier, e.Draining, e.Weight, e.SlowStart, a.Share(e.ID))
		}
	}
	fmt.Fprintf(out, "%s changed at %.3f counts=%v\n", step, b.now, b.a.Counts())
}

// A scripted day: evidence, an ejection and its end, drains, slow starts beside stalled proxies, load
// shedding. The assignments after each step stay as they were when the file was written.
func TestAssignmentsAreStable(t *testing.T) {
	var out strings.Builder
	b := newBench(t, 8, nil)
	b.connect(6)
	b.dump(&out, "start")
	b.report(0, 6, 1, 0, 20)
	b.report(0, 6, 0, 20, 0)
	b.after(1000)
	b.dump(&out, "ejected")
	b.set(2, func(e *membership.Entry) { e.State = membership.Draining })
	b.set(3, func(e *membership.Entry) { e.Weight = 3 })
	b.dump(&out, "draining")
	b.set(4, func(e *membership.Entry) { e.StartedMs = b.now })
	b.set(5, func(e *membership.Entry) { e.StartedMs = b.now - 3000 })
	b.dump(&out, "slow start before acknowledgements")
	b.ackAll(4) // two proxies stay on the old assignment
	b.dump(&out, "slow start beside stalled proxies")
	b.a.Connect(b.now, "stranger", "west", false)
	b.ackAll(6)
	b.dump(&out, "slow start beside a stranger")
	b.a.Acknowledge("stranger", b.a.Assignment(b.now, "west"))
	for i := range 10 {
		for server := range 8 {
			b.report(0, 4, server, 16, 0)
		}
		b.after(600)
		b.ackAll(6)
		b.dump(&out, fmt.Sprint("slow start, step ", i))
	}
	b.report(0, 6, 6, 0, 16)
	b.after(1000)
	for range 3 {
		for p := range 6 {
			b.a.Report(b.now, fmt.Sprint("p-", p), &Report{IntervalMs: 1000,
				Loads: []ServerLoad{{Addr: b.entries[0].Addr, Served: 16, Rejected: 128}}})
		}
		b.after(1000)
	}
	b.dump(&out, "shedding")
	b.a.Disconnect(b.now, "p-0")
	b.a.Disconnect(b.now, "stranger")
	b.after(61_000)
	b.dump(&out, "after the grace period")
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
