package control

import (
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// pendingResponse is a response that the proxy has not answered.
type pendingResponse struct {
	nonce   string
	version string
	seq     uint64 // sequence number of the publication
}

// handleAnswer processes an ACK or a NACK. It reports whether the request's nonce is that of a pending
// response or of the last one, which a proxy repeats to change its subscription.
func (s *stream) handleAnswer(r *request, sub *subscription) bool {
	i := slices.IndexFunc(sub.pending, func(p pendingResponse) bool { return p.nonce == r.nonce })
	if i < 0 {
		return r.nonce == sub.lastNonce
	}
	response := sub.pending[i]
	sub.pending = slices.Delete(sub.pending, 0, i+1) // an answer covers all earlier responses of the type
	if r.rejected {
		s.handleNack(r, sub, response)
	} else {
		s.handleAck(r, sub, response)
	}
	return true
}

// handleNack records a rejection. The proxy keeps the last version that it accepted; the rejected version is
// not sent again.
func (s *stream) handleNack(r *request, sub *subscription, response pendingResponse) {
	sub.rejected = true
	s.publisher.counts.nacks.Add(1)
	s.publisher.log.Warn("proxy rejected a response",
		"node", s.node, "type", r.typeURL, "version", response.version, "reason", r.reason)
	s.mu.Lock()
	s.stats.Rejected[r.typeURL] = response.version + ": " + r.reason
	s.mu.Unlock()
	if r.typeURL == resource.Endpoints || r.typeURL == resource.LbEndpoint {
		s.nackedSeq.Store(max(s.nackedSeq.Load(), response.seq))
	}
}

// handleAck records an acknowledgement.
func (s *stream) handleAck(r *request, sub *subscription, response pendingResponse) {
	sub.rejected = false
	sub.ackedSeq = response.seq
	s.mu.Lock()
	s.stats.Acked[r.typeURL] = response.version
	delete(s.stats.Rejected, r.typeURL)
	s.mu.Unlock()
	s.updateAcked()
}

// currentSeq returns the newest publication of which the proxy has all resources in this subscription.
func (sub *subscription) currentSeq() uint64 {
	if len(sub.pending) == 0 && !sub.rejected {
		return max(sub.ackedSeq, sub.sentSeq)
	}
	return sub.ackedSeq
}

// updateAcked computes the newest publication whose endpoints the proxy has, and notifies the publisher if it
// advanced.
func (s *stream) updateAcked() {
	endpoints := s.subscriptions[resource.Endpoints]
	if endpoints == nil {
		return
	}
	seq := endpoints.currentSeq()
	if single := s.subscriptions[resource.LbEndpoint]; single != nil && s.leds && len(single.collections) > 0 {
		seq = min(seq, single.currentSeq())
	}
	if seq <= s.ackedSeq.Load() {
		return
	}
	now := s.publisher.clock.Ms()
	previous := s.ackedSeq.Swap(seq)
	s.unresponsive.Store(false)
	var assignment *assign.Assignment
	if snap := s.group.current.Load(); snap != nil && snap.seq == seq {
		assignment = snap.assignment
	}
	s.publisher.post(func() {
		s.recordDrainAck(now, previous, seq)
		if assignment != nil {
			s.publisher.assigner.Acknowledge(s.node, assignment)
		}
	})
}

// recordDrainAck records how long the proxy took to acknowledge the last urgent update, if that is one of the
// publications after previous and up to seq. It must be called on the publisher's goroutine.
func (s *stream) recordDrainAck(now float64, previous, seq uint64) {
	update := &s.publisher.urgent.last
	if update.seq == 0 || previous >= update.seq || seq < update.seq {
		return
	}
	if math.Float64frombits(s.subscribedMs.Load()) >= update.publishedMs {
		return
	}
	s.mu.Lock()
	s.stats.DrainAckMs = now - update.publishedMs
	s.mu.Unlock()
}
