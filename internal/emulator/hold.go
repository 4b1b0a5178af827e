package emulator

import "ringtrack.example/ringtrack/internal/invariant"

// hold is a call whose server waits for the calls that it makes in turn, one after the other. It keeps its worker. Its
// calls have what is left of its attempt's time; one that fails, is refused or times out for good makes the answer an
// error. A process that ends leaves its calls to themselves.
//
// What it leaves out: a call made again for a repeat of a keyed request is an operation of its own to the book, so that
// rule 2 holds for each hop and not over the whole path; and a server does not hear that its caller is gone.
type hold struct {
	s   *server
	a   *attempt
	at  int // the next of the service's calls
	out *op
}

// next makes the next call, or answers where there is none left.
func (h *hold) next() {
	s, o := h.s, h.a.r.op
	calls := s.w.graph.Services[s.service].Calls
	for ; h.at < len(calls); h.at++ {
		if p := calls[h.at].Part; p < 1 && s.rng.Float64() >= p {
			continue
		}
		left := h.a.until - s.w.now
		if left <= 0 {
			s.answer(h.a, true)
			return
		}
		g := s.calls[h.at]
		h.at++
		h.out = &op{Operation: invariant.Operation{Effect: o.effect}, w: s.w, agent: g, class: o.class, tenant: o.tenant, effect: o.effect,
			key: o.key ^ uint64(g.service+1)*0x9e3779b97f4a7c15, began: s.w.now, until: s.w.now + left, top: o.top, hop: o.hop + 1, hold: h}
		s.w.graph.asked(h.out)
		h.out.try()
		return
	}
	s.answer(h.a, false)
}

// fire goes on after a call was answered; not from within its agent.
func (h *hold) fire(kind uint8) {
	switch {
	case h.a.life != h.s.life: // the process that waited is gone
	case kind == holdBroken:
		h.s.answer(h.a, true)
	default:
		h.next()
	}
}

const (
	holdServed uint8 = iota
	holdBroken
)
