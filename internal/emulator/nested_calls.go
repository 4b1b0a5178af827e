package emulator

import "ringtrack.example/ringtrack/internal/invariant"

// nestedCalls makes the calls of other services that an attempt needs, one after the other. The attempt
// occupies its worker until they end. The deadline of a call is that of the attempt. If a call fails, is
// rejected or times out, the attempt is answered with an error. Calls in flight are not cancelled when the
// process ends.
//
// Limitations: when an idempotent request is retried, its nested calls are new operations to the invariant
// checker, so that rule 2 is checked at each hop but not over the complete path. A server does not notice
// that its caller has disconnected.
type nestedCalls struct {
	server   *server
	attempt  *attempt
	nextCall int // index in Service.Calls
}

// The events of nested calls.
const (
	nestedCallServed uint8 = iota
	nestedCallFailed
)

// next makes the next call, or answers the attempt if no call is left.
func (n *nestedCalls) next() {
	s := n.server
	calls := s.world.graph.Services[s.service].Calls
	for ; n.nextCall < len(calls); n.nextCall++ {
		if p := calls[n.nextCall].Probability; p < 1 && s.rng.Float64() >= p {
			continue
		}
		remaining := n.attempt.deadline - s.world.now
		if remaining <= 0 {
			s.complete(n.attempt, true)
			return
		}
		callee := s.downstream[n.nextCall]
		n.nextCall++
		call := n.newOperation(callee, remaining)
		s.world.graph.recordRequest(call)
		call.send()
		return
	}
	s.complete(n.attempt, false)
}

func (n *nestedCalls) newOperation(callee *agent, remaining Time) *operation {
	w := n.server.world
	parent := n.attempt.request.operation
	return &operation{
		Operation: invariant.Operation{Effect: parent.effect},
		world:     w,
		agent:     callee,
		class:     parent.class,
		tenant:    parent.tenant,
		effect:    parent.effect,
		key:       parent.key ^ uint64(callee.service+1)*hashMultiplier,
		startedAt: w.now,
		deadline:  w.now + remaining,
		entry:     parent.entry,
		hop:       parent.hop + 1,
		caller:    n,
	}
}

// fire continues after the answer to a call. It is a scheduled event because the agent that answers is not
// reentrant.
func (n *nestedCalls) fire(kind uint8) {
	switch {
	case n.attempt.incarnation != n.server.incarnation: // the process has ended
	case kind == nestedCallFailed:
		n.server.complete(n.attempt, true)
	default:
		n.next()
	}
}
