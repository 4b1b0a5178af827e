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

// Whatever discovery answers, the loop takes it and goes on with requests: it owns the state of all of them, so that a
// panic there would end the agent.
func TestAnyEndpointListIsTaken(t *testing.T) {
	const lists, seed = 1500, 59
	rng := rand.New(rand.NewPCG(seed, 0))
	statuses := []policy.Status{policy.OK, policy.OK, policy.Error, policy.Reset, policy.Rejected, policy.ConnectFailed}
	results := make(chan policy.Status, lists)
	upstream := stub{do: func(context.Context, *Backend, *Call) Result { return Result{Status: <-results, LatencyMs: 1} }}
	l := running(t, upstream)
	for i := range lists {
		results <- statuses[rng.IntN(len(statuses))]
		list := drawList(rng)
		call := newCall(upstream, fmt.Sprint("call-", i), rng.IntN(3))
		call.Key = rng.Uint64N(3)
		kinds := []policy.UpdateKind{policy.UpdateCached, policy.UpdateComplete, policy.UpdateDelta, policy.UpdateOtherSource}
		kind := kinds[rng.IntN(len(kinds))]
		taken := l.Do(testTimeout, func() {
			l.updateEndpoints(list, kind, list.Full)
			r := l.Submit(call)
			l.ClientDisconnected(r) // it has an answer already, or nobody waits for one
		})
		if !taken {
			t.Fatalf("list %d was not taken: %+v", i, list)
		}
	}
}

// drawList draws an endpoint list, most of whose entries are not as they should be.
func drawList(rng *rand.Rand) *membership.List {
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
