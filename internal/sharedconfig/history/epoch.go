package history

import (
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/intersect"
)

// intersectConfigs computes the configuration of a transition between two versions. Lab builds can replace
// it.
var intersectConfigs = intersect.Intersect

// Transition returns the configuration of the epoch in force; nil in epoch 0.
func (h *History) Transition() *sharedconfig.Transition {
	number := h.Epoch / 2
	switch {
	case h.Epoch == 0:
		return nil
	case h.Epoch%2 == 0:
		return &sharedconfig.Transition{Epoch: h.Epoch, Config: h.config(number)}
	}
	to := h.Version(number + 1)
	return &sharedconfig.Transition{Epoch: h.Epoch, Config: intersectConfigs(h.config(to.From), to.Config)}
}

// Source identifies the inputs of a Transition: the epoch, and the digests of the versions that it is
// computed from ("": none). Histories with equal sources have equal transitions, as versions are immutable
// (invariant 3).
type Source struct {
	Epoch uint64
	From  string
	To    string
}

// Source returns the source of the current Transition.
func (h *History) Source() Source {
	to := h.Version((h.Epoch + 1) / 2)
	if to == nil {
		return Source{Epoch: h.Epoch}
	}
	source := Source{Epoch: h.Epoch, To: to.Digest}
	if h.Epoch%2 == 1 {
		if from := h.Version(to.From); from != nil {
			source.From = from.Digest
		}
	}
	return source
}

// ServerRulesDiffer reports whether the server rules change anywhere between two epochs, from <= to; it is
// a lease.ServerRulesDiffer. It returns true if a required version is no longer retained, and if from is
// epoch 0, in which each agent uses its own server rules.
func (h *History) ServerRulesDiffer(from, to uint64) bool {
	if from/2 < h.Dropped || from == 0 && to > 0 {
		return true
	}
	first := h.lastInForce(from)
	if first < h.Dropped || first == 0 {
		return true
	}
	for number := first; number < (to+1)/2; number++ {
		this, next := h.config(number), h.config(number+1)
		if this == nil || next == nil || !this.SameServerRules(next) {
			return true
		}
	}
	return false
}

// lastInForce returns the version that was in force in an epoch, or the last one before it if the epoch is
// a transition or was skipped.
func (h *History) lastInForce(epoch uint64) uint64 {
	for number := (epoch + 1) / 2; number <= h.Last(); number++ {
		v := h.Version(number)
		if v == nil || !v.Transitioned {
			continue
		}
		if number != epoch/2 {
			return v.From
		}
		break
	}
	return epoch / 2
}
