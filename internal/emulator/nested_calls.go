package emulator

import "ringtrack.example/ringtrack/internal/invariant"

// nestedCalls is an attempt whose server makes calls of other services, one after the other. It occupies its
// worker all the while. Its calls have the remaining time of the attempt; if one fails, is rejected or times
// out, the answer is an error. Calls of a process that ended go on.
//
// Left out: a call that is repeated for a retry of an idempotent request is an operation of its own to the
// invariant checker, so that rule 2 is checked at each hop and not over the complete path; and a server does
// not notice that its caller has disconnected.
type nestedCalls struct {
	server   *server
	attempt  *attempt
	nextCall int // index in the calls of the service
}

// The events of nested calls.
const (
	nestedCallServed uint8 = iota
	nestedCallFailed
)

// next makes the next call, or answers if there is none left.
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

// fire goes on after the answer to a call. It is an event of its own because an agent must not be entered
// again while it answers.
func (n *nestedCalls) fire(kind uint8) {
	switch {
	case n.attempt.incarnation != n.server.incarnation: // the process has ended
	case kind == nestedCallFailed:
		n.server.complete(n.attempt, true)
	default:
		n.next()
	}
}
