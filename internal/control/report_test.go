package control

import (
	"encoding/json"
	"testing"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/membership"
)

// The JSON keys of the admin report, which operators and the lab read, do not depend on the names of Go
// fields.
func TestReportKeysAreStable(t *testing.T) {
	r := &Report{NowMs: 1, Membership: []membership.Status{}, Problems: []string{"p"},
		Servers: []ServerReport{{ID: "s", State: "unknown", SinceMs: 2, Usable: true, Capacity: 0.5, ConsecutiveFailures: 3}},
		Proxies: []ProxyReport{{Node: "n", Zone: "east", Peer: "p:1", Protocol: "sotw", OpenedMs: 4, Behind: true,
			streamStats: streamStats{Acked: map[string]string{"t": "v"}, Rejected: map[string]string{"t": "v: no"}, DrainAckMs: 5, Sent: 6, Responses: 7}}},
		LastDrain: &DrainReport{Server: "s", PublishedMs: 8, Waiting: 9},
		Counts:    map[string]int64{"published": 10},
		Evidence:  assign.EvidenceCounts{Reports: 11, Invalid: 12, Late: 13, Contradicted: 14, Unknown: 15},
		Assignments: map[string]*assign.Assignment{"east": {Zone: "east", ShedPercent: 16, LocalityWeightPercent: 17,
			Endpoints: []assign.Endpoint{{ID: "s", Addr: "a:1", Zone: "west", Tier: assign.Pending, Draining: true, Weight: 18, SlowStart: true}}}}}
	got, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"now_ms":1,"membership":[],"problems":["p"],` +
		`"servers":[{"id":"s","state":"unknown","since_ms":2,"usable":true,"ramp":0.5,"strikes":3}],` +
		`"proxies":[{"node":"n","zone":"east","peer":"p:1","protocol":"sotw","since_ms":4,"behind":true,` +
		`"acked":{"t":"v"},"rejected":{"t":"v: no"},"drain_ack_ms":5,"sent_bytes":6,"responses":7}],` +
		`"last_drain":{"server":"s","told_ms":8,"waiting":9},"counts":{"published":10},` +
		`"evidence":{"reports":11,"absurd":12,"late":13,"contradicted":14,"unknown":15},` +
		`"assignments":{"east":{"Zone":"east","Endpoints":[{"ID":"s","Addr":"a:1","Zone":"west","Tier":1,` +
		`"Draining":true,"Weight":18,"Cold":true}],"Shed":16,"Own":17}}}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
