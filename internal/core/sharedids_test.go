package core

import (
	"context"
	"sync"
	"testing"

	"ringtrack.example/ringtrack/policy"
)

// sharedIDs is an in-memory SharedIDs for two processes of an agent.
type sharedIDs struct {
	mu      sync.Mutex
	claimed map[string]bool
}

func (s *sharedIDs) Claim(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed[id] {
		return false
	}
	s.claimed[id] = true
	return true
}

func (s *sharedIDs) Release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claimed, id)
}

func (s *sharedIDs) Retain(string) {}

// An id that one process of an agent has accepted is a duplicate at another process, unless its request
// never ran or is idempotent.
func TestIDRepeatedAtOtherProcess(t *testing.T) {
	for name, c := range map[string]struct {
		class     int
		first     policy.Status
		forwarded bool // the other process forwards it
	}{
		"non-idempotent, served":    {2, policy.OK, false},
		"non-idempotent, reset":     {2, policy.Reset, false},
		"non-idempotent, never ran": {2, policy.ConnectFailed, true},
		"idempotent by key, served": {1, policy.OK, false},
		"idempotent, served":        {0, policy.OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			shared := &sharedIDs{claimed: map[string]bool{}}
			result := c.first
			sent := 0
			u := stub{func(context.Context, *Backend, *Call) Result {
				sent++
				return Result{Status: result, LatencyMs: 1, Reply: "reply"}
			}}
			process := func() *EventLoop {
				l := newTestLoop(t, u)
				l.cfg.SharedIDs = shared
				return runLoop(t, l)
			}
			one, other := process(), process()
			one.roundTrip(t, newCall(u, "1", c.class))
			before := sent
			result = policy.OK
			a := other.roundTrip(t, newCall(u, "1", c.class))
			if forwarded := sent > before; forwarded != c.forwarded || !forwarded && (a.Outcome != Failed || a.Reason != Duplicate) {
				t.Errorf("request forwarded: %v, answer %+v", forwarded, a)
			}
		})
	}
}
