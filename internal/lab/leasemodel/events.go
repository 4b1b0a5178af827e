package leasemodel

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/lease"
)

// event is something that can happen next.
type event struct {
	name  string
	apply func(w *world)
}

const tickEvent = "tick"

// events are all that can happen in a state. Their order is part of what a seed of Random means.
func (w *world) events() []event {
	var events []event
	if w.left.Ticks > 0 {
		events = append(events, event{tickEvent, func(w *world) {
			w.left.Ticks--
			w.now++
		}})
	}
	for i := range w.holders {
		events = append(events, w.holderEvents(i)...)
	}
	for i := range w.messages {
		events = append(events, w.messageEvents(i)...)
	}
	return append(events, w.leaderEvents()...)
}

func (w *world) holderEvents(i int) (events []event) {
	h := &w.holders[i]
	if len(w.messages) < w.left.Messages && h.requests < maxRequestsPerHolder {
		events = append(events, event{fmt.Sprintf("request %d", i), func(w *world) { w.request(i) }})
	}
	if w.left.Crashes > 0 && (h.lease.Epoch > 0 || h.requests > 0) {
		events = append(events, event{fmt.Sprintf("crash %d", i), func(w *world) { w.crash(i) }})
	}
	return events
}

func (w *world) request(i int) {
	h := &w.holders[i]
	h.requests++
	m := message{kind: requested, holder: i, incarnation: h.incarnation, requestedAt: w.clock(i), epoch: h.lease.Epoch}
	w.messages = append(w.messages, m)
}

// crash restarts a holder, which has forgotten its lease.
func (w *world) crash(i int) {
	w.left.Crashes--
	h := &w.holders[i]
	before := h.lease
	h.incarnation++
	h.lease = lease.Lease{}
	h.requests = 0
	if w.defect == ResumeOnRestart {
		until := w.clock(i) + leaseMs
		h.lease = lease.Lease{Epoch: before.Epoch - before.Epoch%2, Until: until, ServerRulesUntil: until, Granted: true}
	}
}

func (w *world) messageEvents(i int) []event {
	m := w.messages[i]
	name := fmt.Sprintf("%c of %d.%d", m.kind, m.holder, m.incarnation)
	deliver := event{"deliver " + name, func(w *world) {
		w.remove(i)
		w.deliver(m)
	}}
	if m.kind == confirmed {
		return []event{deliver}
	}
	events := []event{deliver}
	if w.left.Repeats > 0 {
		events = append(events, event{"repeat " + name, func(w *world) {
			w.left.Repeats--
			w.deliver(m)
		}})
	}
	return append(events, event{"lose " + name, func(w *world) {
		w.remove(i)
		w.requestEnded(m)
	}})
}

func (w *world) remove(i int) { w.messages = slices.Delete(w.messages, i, i+1) }

// requestEnded notes that a request gets no answer.
func (w *world) requestEnded(m message) {
	if h := &w.holders[m.holder]; m.incarnation == h.incarnation {
		h.requests--
	}
}

// leaderEvents are those of the leader, whose commands are committed and applied at once. Former leaders may not know.
func (w *world) leaderEvents() (events []event) {
	if w.left.Elections > 0 {
		events = append(events, event{"elect", func(w *world) {
			w.left.Elections--
			w.leaders = append(w.leaders, leader{lessor: w.newLessor(), log: w.currentLeader().log})
		}})
	}
	if w.left.Versions > 0 {
		events = append(events, event{"publish", func(w *world) {
			w.left.Versions--
			l := w.currentLeader()
			l.log = l.log.publish()
		}})
	}
	if w.currentLeader().log.history.CanAdvance() && w.mayAdvance() {
		events = append(events, event{"advance", func(w *world) {
			l := w.currentLeader()
			l.log = l.log.advance(w.defect)
		}})
	}
	return events
}

// mayAdvance asks the leader's lessor, and notes if its index and its holders disagree.
func (w *world) mayAdvance() bool {
	l := w.currentLeader()
	epoch := l.log.history.Epoch
	changed := l.log.endpointsChanged(w.defect)
	may := l.lessor.MayAdvance(w.now, epoch, changed)
	if blockers := l.lessor.Next(w.now, epoch, changed); blockers.None() != may && w.indexDiff == "" {
		w.indexDiff = fmt.Sprintf("whether epoch %d may end: %v by the index, blocked by %v", epoch, may, blockers.Holders)
	}
	return may
}

func (w *world) deliver(m message) {
	switch m.kind {
	case requested:
		w.deliverRequest(m)
	case confirmed:
		w.deliverConfirmed(m)
	case granted:
		w.deliverGrant(m)
	}
}

func (m *message) request() lease.Request {
	id := lease.Holder{Name: fmt.Sprint(m.holder), Incarnation: fmt.Sprint(m.incarnation)}
	return lease.Request{Holder: id, Epoch: m.epoch}
}

// deliverRequest brings a request to the leader. A majority confirms the leadership at that moment; the grant may follow
// much later.
func (w *world) deliverRequest(m message) {
	w.currentLeader().lessor.Observe(w.now, m.request())
	m.kind = confirmed
	m.leader = len(w.leaders) - 1
	w.messages = append(w.messages, m)
}

func (w *world) deliverConfirmed(m message) {
	l := &w.leaders[m.leader]
	request := m.request()
	grant, ok := l.lessor.Grant(w.now, request, l.log.history.Epoch)
	if !ok {
		w.requestEnded(m)
		return
	}
	if w.defect == AssumeAdopted {
		request.Epoch = grant.Epoch
		l.lessor.Observe(w.now, request)
	}
	m.kind = granted
	m.grant = grant
	w.messages = append(w.messages, m)
}

func (w *world) deliverGrant(m message) {
	h := &w.holders[m.holder]
	if m.incarnation != h.incarnation {
		return // the process that sent the request has ended, and its connection with it
	}
	h.requests = max(h.requests-1, 0)
	requestedAt := m.requestedAt
	if w.defect == CountFromResponse {
		requestedAt = w.clock(m.holder)
	}
	h.lease.Accept(requestedAt, w.clock(m.holder), m.grant)
}
