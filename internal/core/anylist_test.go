package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// No endpoint list, however malformed, may panic or block the loop: it owns the state of all requests, so a
// panic there terminates the agent.
func TestArbitraryEndpointListsAreApplied(t *testing.T) {
	const lists, seed = 1500, 59
	rng := rand.New(rand.NewPCG(seed, 0))
	statuses := []policy.Status{policy.OK, policy.OK, policy.Error, policy.Reset, policy.Rejected, policy.ConnectFailed}
	results := make(chan policy.Status, lists)
	upstream := stub{do: func(context.Context, *Backend, *Call) Result { return Result{Status: <-results, LatencyMs: 1} }}
	l := startTestLoop(t, upstream)
	for i := range lists {
		results <- statuses[rng.IntN(len(statuses))]
		list := randomList(rng)
		call := newCall(upstream, fmt.Sprint("call-", i), rng.IntN(3))
		call.Key = rng.Uint64N(3)
		kinds := []policy.UpdateKind{policy.UpdateCached, policy.UpdateComplete, policy.UpdateDelta, policy.UpdateOtherSource}
		kind := kinds[rng.IntN(len(kinds))]
		applied := l.Do(testTimeout, func() {
			l.updateEndpoints(list, kind, list.Full)
			r := l.Submit(call)
			l.ClientDisconnected(r) // the answer, if any, is discarded
		})
		if !applied {
			t.Fatalf("list %d was not applied: %+v", i, list)
		}
	}
}

// randomList returns an endpoint list whose entries are mostly invalid.
func randomList(rng *rand.Rand) *membership.List {
	pick := func(values ...string) string { return values[rng.IntN(len(values))] }
	number := func(values ...float64) float64 { return values[rng.IntN(len(values))] }
	list := &membership.List{Revision: rng.Uint64() >> rng.IntN(64), Full: rng.IntN(2) == 0, RequestedAt: time.Now()}
	for range rng.IntN(6) {
		list.Entries = append(list.Entries, membership.Entry{
			ID:        pick("", "s-1", "s-2", "s-3", "\x00", strings.Repeat("x", 300)),
			Addr:      pick("", "x", ":", "127.0.0.1:1", "127.0.0.1:2", "[::1]:80", "host:99999", "127.0.0.1:-1"),
			Zone:      pick("", "east", "nowhere"),
			Kind:      pick("", "fast"),
			Cell:      int(number(0, -1, 1<<40)),
			State:     pick("", membership.Up, membership.Up, membership.Draining, membership.Removed, "other"),
			Weight:    number(0, 1, -1, 1e-300, 1e308),
			StartedMs: number(0, -1, 1e12, 1e300),
		})
	}
	return list
}
