package resource

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"ringtrack.example/ringtrack/internal/control/assign"
)

var update = flag.Bool("update", false, "update the golden files")

const goldenFile = "testdata/resources.golden"

// goldenAssignment returns an assignment with load shedding, a draining server, one in slow start, and
// servers of all tiers.
func goldenAssignment() *assign.Assignment {
	a := assignment(func(endpoints []assign.Endpoint) {
		endpoints[1].Draining = true
		endpoints[2].Tier = assign.LastResort
		endpoints[3].Weight = 90
		endpoints[3].SlowStart = true
		endpoints[4].Tier = assign.Pending
		endpoints[5].ID = "s/5*é"
	})
	a.ShedPercent = 25
	return a
}

// renderGolden lists all rendered resources and responses, one per line, with type, name, version and bytes.
func renderGolden(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	line := func(typeURL string, r *Resource) {
		fmt.Fprintf(&b, "%s %s %s %x\n", typeURL, r.Name, r.Version, r.any)
	}
	service := testService()
	for _, balancer := range []string{"ring_hash", "maglev"} {
		service.Balancer = balancer
		clusters, err := service.Clusters(9)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range clusters {
			line(Cluster, r)
		}
	}
	routes, err := service.RouteConfig()
	if err != nil {
		t.Fatal(err)
	}
	line(Route, routes)
	listeners, err := service.Listeners()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range listeners {
		line(Listener, r)
	}
	rendered := render(t, NewRenderer("orders"), goldenAssignment())
	endpoints := []*Resource{rendered.Complete, rendered.ByCollection}
	for _, r := range endpoints {
		line(Endpoints, r)
	}
	for _, name := range slices.Sorted(maps.Keys(rendered.Collections)) {
		set := rendered.Collections[name]
		fmt.Fprintf(&b, "collection %s %s\n", name, set.Version)
		for _, n := range set.Names() {
			line(LbEndpoint, set.Get(n))
		}
	}
	fmt.Fprintf(&b, "sotw %x\n", (&Response{TypeURL: Endpoints, Version: "v1", Nonce: "n1", Resources: endpoints}).Marshal())
	fmt.Fprintf(&b, "delta %x\n", (&DeltaResponse{TypeURL: Endpoints, Version: "v1", Nonce: "n1", Changed: endpoints, Removed: []string{"x", "y"}}).Marshal())
	fmt.Fprintf(&b, "delta with TTL %x\n", (&DeltaResponse{TypeURL: Endpoints, Version: "v1", Nonce: "n1", Changed: endpoints, Removed: []string{"x"}, TTLSeconds: 300}).Marshal())
	fmt.Fprintf(&b, "heartbeat %x\n", (&DeltaResponse{TypeURL: Endpoints, Version: "v1", Nonce: "n1", Changed: endpoints, TTLSeconds: 300, Heartbeat: true}).Marshal())
	return b.String()
}

// The bytes, names and versions of resources must not change between releases: proxies and replicas of other
// releases depend on them.
func TestRenderedResourcesAreStable(t *testing.T) {
	got := renderGolden(t)
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
