package sharedconfig

import (
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// rank orders effects: a lower one permits less.
func rank(e policy.Effect) int {
	return slices.Index([]policy.Effect{policy.NonIdempotent, policy.IdempotentByKey, policy.Idempotent}, e)
}

// IntersectClass is what two rules for a class both permit. Zone and cell have no order among each other: no server is
// known to be in the group of both, so a request of both is never repeated.
func IntersectClass(a, b Class) Class {
	switch {
	case a.Effect == "":
		return b
	case b.Effect == "":
		return a
	case a.Effect != b.Effect:
		if rank(a.Effect) < rank(b.Effect) {
			return a
		}
		return b
	case a.Effect != policy.IdempotentByKey:
		return a
	}
	g, ok := narrowGroup(a.DedupScope, b.DedupScope)
	if !ok {
		return Class{Effect: policy.NonIdempotent}
	}
	return Class{Effect: policy.IdempotentByKey, DedupScope: g, IdempotencyWindowMs: Stricter(a.IdempotencyWindowMs, b.IdempotencyWindowMs)}
}

func narrowGroup(a, b policy.DedupScope) (policy.DedupScope, bool) {
	wide := func(g policy.DedupScope) bool { return g == "" || g == policy.ScopeAll }
	switch {
	case a == b:
		return a, true
	case a == "" || wide(a) && b != "":
		return b, true
	case wide(b):
		return a, true
	}
	return "", false
}

// Stricter is the lesser of two bounds, of which 0 is none.
func Stricter[T int | float64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Narrow is a class of an agent's settings as a rule permits it.
func (c Class) Narrow(p policy.Class) policy.Class {
	own := Class{Effect: p.Effect}
	if p.Effect == policy.IdempotentByKey {
		own.DedupScope, own.IdempotencyWindowMs = p.DedupScope, p.IdempotencyWindowMs
	}
	n := IntersectClass(own, c)
	if p.Effect = n.Effect; n.Effect == policy.IdempotentByKey {
		p.DedupScope, p.IdempotencyWindowMs = n.DedupScope, n.IdempotencyWindowMs
	}
	return p
}

// Settings are an agent's as the book permits them. What it is given stays as it is.
func (b *Config) Settings(own policy.Settings) policy.Settings {
	s := own
	s.Classes = slices.Clone(own.Classes)
	for i, c := range s.Classes {
		s.Classes[i] = b.Classes[c.Name].Narrow(c)
	}
	s.Limits.MaxAttempts = Stricter(own.Limits.MaxAttempts, b.MaxAttempts)
	s.Contract.DrainGraceMs = Stricter(own.Contract.DrainGraceMs, b.DrainGraceMs)
	s.Contract.OverloadFactor = Stricter(own.Contract.OverloadFactor, b.OverloadFactor)
	return s
}

// Strict are an agent's settings where it does not know what others go by: one attempt, and nothing twice.
func Strict(s policy.Settings) policy.Settings {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Effect = policy.NonIdempotent
	}
	s.Limits.MaxAttempts = 1
	return s
}
