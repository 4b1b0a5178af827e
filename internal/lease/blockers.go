package lease

// blockerIndex is an index of the holders that may block an epoch, so that checking after each message
// whether the next epoch may begin does not examine every holder. Times passed to it never decrease. Its
// invariants:
//
//	a. Every holder that acts on a lower epoch, or uses the server rules of one, is a candidate. Any other
//	   holder can only become one by a Grant, which adds it.
//	b. No holder is a candidate twice, and no removed holder is one, so there are at most MaxHolders
//	   candidates.
//	c. Since next was last 0, each candidate before next has been examined and did not block the epoch;
//	   the others have not been examined. So during an epoch that all holders adopt, each holder is
//	   examined one or two times, in any order.
//
// A candidate does not necessarily block the epoch: its lease may have expired while its server rules are
// still in use, which block only if they change. This is checked each time, as the result of
// ServerRulesDiffer may become true.
type blockerIndex struct {
	built      bool
	epoch      uint64
	candidates []*holderState
	next       int
}

// mayBlock reports whether the holder can block the epoch, whichever server rules it uses. Once false, it
// stays false until the holder is granted another lease.
func (h *holderState) mayBlock(now float64, epoch uint64) bool {
	below := h.expiryBelow(epoch)
	return h.epoch < epoch && max(below.lease, below.serverRules) > now
}

// add makes the holder a candidate if it may block the epoch.
func (b *blockerIndex) add(now float64, h *holderState) {
	if b.built && !h.indexed && h.mayBlock(now, b.epoch) {
		h.indexed = true
		b.candidates = append(b.candidates, h)
	}
}

// removeNext removes the next candidate and moves the last one to its position.
func (b *blockerIndex) removeNext() {
	last := len(b.candidates) - 1
	b.candidates[b.next].indexed = false
	b.candidates[b.next] = b.candidates[last]
	b.candidates[last] = nil
	b.candidates = b.candidates[:last]
}

// blocks reports whether the lease is held, or server rules are in use that change up to the target epoch.
func (e expiry) blocks(now float64, changed ServerRulesDiffer, from, target uint64) bool {
	return e.lease > now || e.serverRules > now && changed(from, target)
}

// MayAdvance reports whether the epoch after this one may begin (invariant 1), that is whether
// AdvanceBlockers returns none. It examines every holder once per epoch, and each one or two times more
// until it has adopted the epoch.
func (l *Lessor) MayAdvance(now float64, epoch uint64, changed ServerRulesDiffer) bool {
	inherited := expiry{lease: l.inheritedUntil, serverRules: l.inheritedServerRulesUntil}
	if epoch > 0 && inherited.blocks(now, changed, epoch-1, epoch+1) {
		return false
	}
	index := &l.blockers
	if !index.built || index.epoch != epoch {
		l.rebuildIndex(now, epoch)
	}
	for {
		start := index.next
		if index.findBlocker(now, changed) {
			return false
		}
		index.next = 0
		if start == 0 {
			return true
		}
	}
}

func (l *Lessor) rebuildIndex(now float64, epoch uint64) {
	l.blockers = blockerIndex{built: true, epoch: epoch, candidates: l.blockers.candidates[:0]}
	for _, h := range l.holders {
		h.indexed = false
		l.blockers.add(now, h)
	}
}

// findBlocker advances next to the first candidate that blocks the epoch, and removes those that no longer
// can.
func (b *blockerIndex) findBlocker(now float64, changed ServerRulesDiffer) (found bool) {
	for b.next < len(b.candidates) {
		h := b.candidates[b.next]
		switch {
		case !h.mayBlock(now, b.epoch):
			b.removeNext()
		case h.expiryBelow(b.epoch).blocks(now, changed, h.epoch, b.epoch+1):
			return true
		default:
			b.next++
		}
	}
	return false
}
