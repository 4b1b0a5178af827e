package xdsproxy

import (
	"fmt"
	"math"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func testEndpoint(i int, weight uint32, health corev3.HealthStatus) *endpointv3.LbEndpoint {
	key, _ := structpb.NewStruct(map[string]any{"hash_key": fmt.Sprint("s-", i)})
	return &endpointv3.LbEndpoint{
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
			Address: socketAddress(fmt.Sprintf("10.0.0.%d:80", i))}},
		HealthStatus:        health,
		Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"envoy.lb": key}},
		LoadBalancingWeight: wrapperspb.UInt32(weight),
	}
}

func testLocality(zone string, priority, weight uint32, endpoints ...*endpointv3.LbEndpoint) *endpointv3.LocalityLbEndpoints {
	return &endpointv3.LocalityLbEndpoints{
		Locality:            &corev3.Locality{Zone: zone},
		Priority:            priority,
		LoadBalancingWeight: wrapperspb.UInt32(weight),
		LbEndpoints:         endpoints,
	}
}

func testTable(localities ...*endpointv3.LocalityLbEndpoints) *Table {
	s := newState()
	s.endpoints["service"] = &endpointv3.ClusterLoadAssignment{Endpoints: localities}
	return s.buildTable()
}

func TestSharesFollowWeights(t *testing.T) {
	const healthy, draining = corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DRAINING
	for _, test := range []struct {
		name  string
		table *Table
		want  map[string]float64
	}{
		{"localities and their servers", testTable(
			testLocality("east", 0, 300, testEndpoint(1, 10, healthy), testEndpoint(2, 20, healthy)),
			testLocality("west", 0, 100, testEndpoint(3, 10, healthy)),
		), map[string]float64{"s-1": 0.25, "s-2": 0.5, "s-3": 0.25}},
		{"draining servers get nothing", testTable(
			testLocality("east", 0, 300, testEndpoint(1, 10, healthy), testEndpoint(2, 20, draining)),
		), map[string]float64{"s-1": 1}},
		{"the first priority gets all", testTable(
			testLocality("east", 0, 300, testEndpoint(1, 10, healthy)),
			testLocality("east", 1, 300, testEndpoint(2, 10, healthy)),
		), map[string]float64{"s-1": 1}},
		{"the next priority where the first drains", testTable(
			testLocality("east", 0, 300, testEndpoint(1, 10, draining)),
			testLocality("east", 1, 300, testEndpoint(2, 10, healthy)),
		), map[string]float64{"s-2": 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := test.table.Shares()
			if len(got) != len(test.want) {
				t.Errorf("shares %v, want %v", got, test.want)
			}
			for id, want := range test.want {
				if math.Abs(got[id]-want) > 1e-9 || !test.table.Usable(id) {
					t.Errorf("%s: share %v, want %v", id, got[id], want)
				}
			}
		})
	}
}

func TestPickFollowsTheBoundedLoad(t *testing.T) {
	table := testTable(testLocality("east", 0, 1, testEndpoint(1, 1, 0), testEndpoint(2, 1, 0), testEndpoint(3, 1, 0)))
	table.boundedLoad = 2
	first := table.Pick("key", nil, nil)
	if first == "" || table.Pick("key", nil, nil) != first {
		t.Fatalf("the key has no stable server: %q", first)
	}
	// With 8 requests in flight at the key's server and none elsewhere, its bound is ceil(2 * 9 / 3) = 6.
	full := func(addr string) int {
		if addr == first {
			return 8
		}
		return 0
	}
	second := table.Pick("key", full, nil)
	if second == first {
		t.Errorf("%s is over its bound and was picked", first)
	}
	if third := table.Pick("key", full, map[string]bool{second: true}); third == first || third == second {
		t.Errorf("picked %s, want the only server that is neither over its bound nor avoided", third)
	}
	if got := (&Table{}).Pick("key", nil, nil); got != "" {
		t.Errorf("an empty table picked %q", got)
	}
}

func TestCheckAssignment(t *testing.T) {
	for name, test := range map[string]struct {
		localities []*endpointv3.LocalityLbEndpoints
		wantErr    bool
	}{
		"valid":             {[]*endpointv3.LocalityLbEndpoints{testLocality("a", 0, 1, testEndpoint(1, 1, 0)), testLocality("a", 1, 1)}, false},
		"missing priority":  {[]*endpointv3.LocalityLbEndpoints{testLocality("a", 0, 1), testLocality("a", 2, 1)}, true},
		"duplicate address": {[]*endpointv3.LocalityLbEndpoints{testLocality("a", 0, 1, testEndpoint(1, 1, 0)), testLocality("b", 0, 1, testEndpoint(1, 1, 0))}, true},
		"weight 0":          {[]*endpointv3.LocalityLbEndpoints{testLocality("a", 0, 1, testEndpoint(1, 0, 0))}, true},
		"no locality":       {[]*endpointv3.LocalityLbEndpoints{{}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkAssignment(&endpointv3.ClusterLoadAssignment{Endpoints: test.localities})
			if (err != nil) != test.wantErr {
				t.Errorf("error %v, want one: %v", err, test.wantErr)
			}
		})
	}
}

func TestMayRetryByOutcome(t *testing.T) {
	neverRan := &Route{MaxRetries: 2, RetryOn: "connect-failure,refused-stream,retriable-headers", NotStartedHeader: "not-started"}
	anyFailure := &Route{MaxRetries: 2, RetryOn: "5xx,reset," + neverRan.RetryOn, NotStartedHeader: "not-started"}
	for outcome, want := range map[Outcome]struct{ neverRan, anyFailure bool }{
		OK: {false, false}, Answer5xx: {false, true}, NotStarted: {true, true}, ConnectFailed: {true, true},
		RefusedStream: {true, true}, Reset: {false, true}, TimedOut: {false, false},
	} {
		if got := neverRan.MayRetry(outcome, 1); got != want.neverRan {
			t.Errorf("outcome %d, only what never ran: %v, want %v", outcome, got, want.neverRan)
		}
		if got := anyFailure.MayRetry(outcome, 1); got != want.anyFailure {
			t.Errorf("outcome %d, any failure: %v, want %v", outcome, got, want.anyFailure)
		}
		if anyFailure.MayRetry(outcome, 3) {
			t.Errorf("outcome %d: a retry beyond the maximum", outcome)
		}
	}
}
