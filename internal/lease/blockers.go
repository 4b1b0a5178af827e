package lease

// blockerIndex is an index of the holders that may block an epoch, so that asking after each message whether the next
// epoch may begin does not look at every holder. Times passed to it never go back. Its own invariants:
//
//	a. Every holder that acts on an epoch below this one, or uses server rules of one, is a candidate. A holder that is
//	   none can only become one by a Grant, which adds it.
//	b. No holder is a candidate twice, and none that the lessor has forgotten: there are at most MaxHolders candidates.
//	c. The candidates before next did not block the epoch when they were last looked at, since next was last 0; of the
//	   others nothing is known. So an epoch that all adopt costs one or two looks at each holder, in any order.
//
// A candidate need not block the epoch: its lease may have expired while its server rules are in use, which block only if
// they change. That is checked each time, as EndpointsChanged may come to return true.
type blockerIndex struct {
	built      bool
	epoch      uint64
	candidates []*holderState
	next       int
}

// mayBlock reports whether the holder can block the epoch, whichever server rules it uses. Once it can't, it can't until it
// is granted another lease.
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

// removeNext removes the next candidate; the last one takes its place.
func (b *blockerIndex) removeNext() {
	last := len(b.candidates) - 1
	b.candidates[b.next].indexed = false
	b.candidates[b.next] = b.candidates[last]
	b.candidates[last] = nil
	b.candidates = b.candidates[:last]
}

// blocks reports whether the lease is held, or server rules are in use that change until the target epoch.
func (e expiry) blocks(now float64, changed ServerRulesDiffer, from, target uint64) bool {
	return e.lease > now || e.serverRules > now && changed(from, target)
}

// MayAdvance reports whether the epoch after this one may begin (invariant 1), as AdvanceBlockers does, without the names. It looks
// at every holder once an epoch, and beyond that about once or twice at each until it has adopted the epoch.
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

// findBlocker advances next to the first candidate that blocks the epoch, removing those that can't any more.
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
