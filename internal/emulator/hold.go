package emulator

import "ringtrack.example/ringtrack/internal/invariant"

// nestedCalls is a call whose server waits for the calls that it makes in turn, one after the other. It keeps its worker. Its
// calls have what is left of its attempt's time; one that fails, is refused or times out for good makes the answer an
// error. A process that ends leaves its calls to themselves.
//
// What it leaves out: a call made again for a repeat of a keyed request is an operation of its own to the book, so that
// rule 2 holds for each hop and not over the whole path; and a server does not hear that its caller is gone.
type nestedCalls struct {
	server   *server
	attempt  *attempt
	nextCall int // the next of the service's calls
	current  *operation
}

// next makes the next call, or answers where there is none left.
func (h *nestedCalls) next() {
	s, o := h.server, h.attempt.request.operation
	calls := s.world.graph.Services[s.service].Calls
	for ; h.nextCall < len(calls); h.nextCall++ {
		if p := calls[h.nextCall].Probability; p < 1 && s.rng.Float64() >= p {
			continue
		}
		left := h.attempt.deadline - s.world.now
		if left <= 0 {
			s.complete(h.attempt, true)
			return
		}
		g := s.downstream[h.nextCall]
		h.nextCall++
		h.current = &operation{Operation: invariant.Operation{Effect: o.effect}, world: s.world, agent: g, class: o.class, tenant: o.tenant, effect: o.effect,
			key: o.key ^ uint64(g.service+1)*0x9e3779b97f4a7c15, startedAt: s.world.now, deadline: s.world.now + left, entry: o.entry, hop: o.hop + 1, caller: h}
		s.world.graph.recordRequest(h.current)
		h.current.send()
		return
	}
	s.complete(h.attempt, false)
}

// fire goes on after a call was answered; not from within its agent.
func (h *nestedCalls) fire(kind uint8) {
	switch {
	case h.attempt.incarnation != h.server.incarnation: // the process that waited is gone
	case kind == nestedCallFailed:
		h.server.complete(h.attempt, true)
	default:
		h.next()
	}
}

const (
	nestedCallServed uint8 = iota
	nestedCallFailed
)
