package configstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
	"ringtrack.example/ringtrack/policy"
)

// cloneViaJSON copies a history as a snapshot does.
func cloneViaJSON(t *testing.T, log *history.History) (out history.History) {
	t.Helper()
	if err := json.Unmarshal([]byte(encodeJSON(t, log)), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func encodeJSON(t *testing.T, of any) string {
	t.Helper()
	text, err := json.Marshal(of)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Random entries and snapshots change the history, including snapshots of another log, which do not occur in
// a cluster. The cached transition always equals that of the history, and the cached response equals the
// encoder's output.
func TestCacheFollowsTheHistory(t *testing.T) {
	cached, steps := 0, 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var logs [3]history.History
		var c transitionCache
		log := &logs[0]
		for i := range 60 {
			switch rng.IntN(7) {
			case 0, 1:
				config := &sharedconfig.Config{MaxAttempts: 1 + rng.IntN(2), Cordoned: []string{fmt.Sprintf("<%d&>", rng.IntN(2))}}
				log.Apply(&history.Command{Publish: &history.Publish{ID: fmt.Sprint(i), Parent: log.Last(), Config: config}})
			case 2:
				log.Apply(&history.Command{Cordon: &history.Cordon{ID: fmt.Sprint(i), Server: "a", On: rng.IntN(2) == 0}})
			case 3, 4:
				at := log.Epoch
				log.Apply(&history.Command{Advance: &at})
			case 5:
				log = &logs[rng.IntN(len(logs))]
				*log = cloneViaJSON(t, log)
			case 6: // another log that branches off here
				logs[rng.IntN(len(logs))] = cloneViaJSON(t, log)
			}
			before, want := c.transition, log.Transition()
			got := c.get(log)
			if encodeJSON(t, got) != encodeJSON(t, want) {
				t.Fatalf("seed %d, step %d: the cache returned %s, want %s", seed, i, encodeJSON(t, got), encodeJSON(t, want))
			}
			if steps++; got != nil && got == before {
				cached++
			}
			g := lease.Grant{Epoch: log.Epoch, LeaseMs: []float64{600, 2000}[rng.IntN(2)], ServerRulesMs: 0.5}
			text, err := c.encodedResponse(log, g)
			if err != nil || (text == nil) != (want == nil) {
				t.Fatalf("seed %d, step %d: at epoch %d: %q, %v", seed, i, log.Epoch, text, err)
			}
			if want == nil {
				continue
			}
			var plain bytes.Buffer
			config := json.RawMessage(encodeJSON(t, want.Config))
			response := &client.RenewResponse{Epoch: g.Epoch, LeaseMs: g.LeaseMs, ServerRulesMs: g.ServerRulesMs, Config: config}
			json.NewEncoder(&plain).Encode(response)
			if !bytes.Equal(text, plain.Bytes()) {
				t.Fatalf("seed %d, step %d: the response is %s, want %s", seed, i, text, plain.Bytes())
			}
		}
	}
	if t.Logf("%d of %d lookups were cached", cached, steps); cached < steps/4 {
		t.Errorf("%d of %d lookups were cached, want at least a quarter", cached, steps)
	}
}

// newLeader returns a leader with n holders on the epoch before the one in force. The epoch in force is a
// transition between versions with the given number of classes.
func newLeader(t *testing.T, n, classes int) (replica *Replica, now float64) {
	replica = &Replica{cfg: &Config{TickMs: 50, LeaseMs: 2000, ServerRulesMs: 3000}, advancing: epochProposal{at: longAgo}}
	now = 1e6
	replica.lessor = lease.NewLessor(0, replica.cfg.LeaseMs, replica.cfg.ServerRulesMs)
	for v := range uint64(2) {
		config := &sharedconfig.Config{MaxAttempts: int(v) + 1, Classes: map[string]sharedconfig.Class{}}
		for c := range classes {
			config.Classes[fmt.Sprint("class", c)] = sharedconfig.Class{Effect: policy.NonIdempotent}
		}
		command := &history.Command{Publish: &history.Publish{ID: fmt.Sprint(v), Parent: v, Config: config}}
		if _, err := replica.state.History.Apply(command); err != nil {
			t.Fatal(err)
		}
		for replica.state.History.Epoch < 2*v+2-v {
			at := replica.state.History.Epoch
			replica.state.History.Apply(&history.Command{Advance: &at})
		}
	}
	if replica.state.History.Epoch != 3 {
		t.Fatalf("epoch %d, want 3", replica.state.History.Epoch)
	}
	for i := range n {
		replica.lessor.Grant(now, lease.Request{Holder: lease.Holder{Name: fmt.Sprint(i), Incarnation: "a"}, Epoch: 2}, 2)
	}
	return replica, now
}

// allocationsOfTransition returns the number of objects that are allocated while all holders except one
// request and adopt the epoch in force, with a call of advance after each step as in the event loop.
func allocationsOfTransition(t *testing.T, n int) float64 {
	replica, now := newLeader(t, n, 82)
	requests := make([]*request, n-1)
	for i := range requests {
		holder := lease.Holder{Name: fmt.Sprint(i), Incarnation: "a"}
		requests[i] = &request{Request: lease.Request{Holder: holder, Epoch: 2}, answer: make(chan requestResult, 1)}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, a := range requests {
		replica.answer(now, a)
		replica.advance(now)
		adopted := a.Request
		adopted.Epoch = 3
		replica.lessor.Observe(now, adopted)
		replica.advance(now)
	}
	runtime.ReadMemStats(&after)
	for _, a := range requests {
		if g := <-a.answer; g.err != nil || g.grant.Epoch != 3 {
			t.Fatalf("grant %+v, want epoch 3", g)
		}
	}
	if replica.advancing.epoch != 0 {
		t.Fatal("the epoch ended before all had adopted it")
	}
	return float64(after.Mallocs - before.Mallocs)
}

// The configuration is encoded once per transition. Apart from that, the number of objects that the leader's
// event loop allocates for a request does not depend on the number of holders.
func TestRequestCostIsIndependentOfHolders(t *testing.T) {
	first := allocationsOfTransition(t, 60)
	t.Logf("60 holders: %.0f objects", first)
	for _, n := range []int{120, 240, 470, 940} {
		allocated := allocationsOfTransition(t, n)
		perRequest := (allocated - first) / float64(n-60)
		t.Logf("%d holders: %.0f objects, %.2f per additional request", n, allocated, perRequest)
		if perRequest > 4 {
			t.Errorf("%d holders: %.1f objects per additional request, want at most 4", n, perRequest)
		}
	}
}
