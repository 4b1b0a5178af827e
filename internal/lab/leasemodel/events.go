package leasemodel

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/lease"
)

// event is a possible transition of the model.
type event struct {
	name  string
	apply func(w *world)
}

const tickEvent = "tick"

// events returns the events that are possible in a state. The walk that a seed of Random yields depends on
// their order.
func (w *world) events() []event {
	var events []event
	if w.remaining.Ticks > 0 {
		events = append(events, event{tickEvent, func(w *world) {
			w.remaining.Ticks--
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
	if len(w.messages) < w.remaining.Messages && h.requests < maxRequestsPerHolder {
		events = append(events, event{fmt.Sprintf("request %d", i), func(w *world) { w.request(i) }})
	}
	if w.remaining.Crashes > 0 && (h.lease.Epoch > 0 || h.requests > 0) {
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

// crash restarts a holder, which loses its lease.
func (w *world) crash(i int) {
	w.remaining.Crashes--
	h := &w.holders[i]
	previous := h.lease
	h.incarnation++
	h.lease = lease.Lease{}
	h.requests = 0
	if w.defect == ResumeOnRestart {
		until := w.clock(i) + leaseMs
		h.lease = lease.Lease{Epoch: previous.Epoch - previous.Epoch%2, Until: until, ServerRulesUntil: until, Granted: true}
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
	if w.remaining.Repeats > 0 {
		events = append(events, event{"repeat " + name, func(w *world) {
			w.remaining.Repeats--
			w.deliver(m)
		}})
	}
	return append(events, event{"lose " + name, func(w *world) {
		w.remove(i)
		w.requestEnded(m)
	}})
}

func (w *world) remove(i int) { w.messages = slices.Delete(w.messages, i, i+1) }

// requestEnded records that a request gets no answer.
func (w *world) requestEnded(m message) {
	if h := &w.holders[m.holder]; m.incarnation == h.incarnation {
		h.requests--
	}
}

// leaderEvents returns the events of the leader. Its commands are committed and applied at once; former
// leaders may not have received them.
func (w *world) leaderEvents() (events []event) {
	if w.remaining.Elections > 0 {
		events = append(events, event{"elect", func(w *world) {
			w.remaining.Elections--
			w.leaders = append(w.leaders, leader{lessor: w.newLessor(), log: w.currentLeader().log})
		}})
	}
	if w.remaining.Versions > 0 {
		events = append(events, event{"publish", func(w *world) {
			w.remaining.Versions--
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

// mayAdvance reports whether the leader's lessor permits the next epoch. It records a case in which the
// lessor's index and its list of holders disagree.
func (w *world) mayAdvance() bool {
	l := w.currentLeader()
	epoch := l.log.history.Epoch
	differ := l.log.serverRulesDiffer(w.defect)
	may := l.lessor.MayAdvance(w.now, epoch, differ)
	if blockers := l.lessor.AdvanceBlockers(w.now, epoch, differ); blockers.None() != may && w.indexDiff == "" {
		w.indexDiff = fmt.Sprintf("epoch %d: MayAdvance is %v, but the blockers are %v", epoch, may, blockers.Holders)
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

// deliverRequest delivers a request to the leader. A majority confirms the leadership at that time; the grant
// may follow much later, when another replica may lead.
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
