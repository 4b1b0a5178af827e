package rulebook

import (
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// rank orders effects: a lower one permits less.
func rank(e policy.Effect) int {
	return slices.Index([]policy.Effect{policy.SingleShot, policy.Guarded, policy.Free}, e)
}

// NarrowClass is what two rules for a class both permit. Zone and cell have no order among each other: no server is
// known to be in the group of both, so a request of both is never repeated.
func NarrowClass(a, b Class) Class {
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
	case a.Effect != policy.Guarded:
		return a
	}
	g, ok := narrowGroup(a.Group, b.Group)
	if !ok {
		return Class{Effect: policy.SingleShot}
	}
	return Class{Effect: policy.Guarded, Group: g, KeyTTLMs: Least(a.KeyTTLMs, b.KeyTTLMs)}
}

func narrowGroup(a, b policy.Group) (policy.Group, bool) {
	wide := func(g policy.Group) bool { return g == "" || g == policy.GroupAll }
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

// Least is the lesser of two bounds, of which 0 is none.
func Least[T int | float64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Narrow is a class of an agent's settings as a rule permits it.
func (c Class) Narrow(p policy.Class) policy.Class {
	own := Class{Effect: p.Effect}
	if p.Effect == policy.Guarded {
		own.Group, own.KeyTTLMs = p.Group, p.KeyTTLMs
	}
	n := NarrowClass(own, c)
	if p.Effect = n.Effect; n.Effect == policy.Guarded {
		p.Group, p.KeyTTLMs = n.Group, n.KeyTTLMs
	}
	return p
}

// Settings are an agent's as the book permits them. What it is given stays as it is.
func (b *Book) Settings(own policy.Settings) policy.Settings {
	s := own
	s.Classes = slices.Clone(own.Classes)
	for i, c := range s.Classes {
		s.Classes[i] = b.Classes[c.Name].Narrow(c)
	}
	s.Limits.MaxAttempts = Least(own.Limits.MaxAttempts, b.MaxAttempts)
	s.Contract.DrainGraceMs = Least(own.Contract.DrainGraceMs, b.DrainGraceMs)
	s.Contract.FallMultiple = Least(own.Contract.FallMultiple, b.FallMultiple)
	return s
}

// Strict are an agent's settings where it does not know what others go by: one attempt, and nothing twice.
func Strict(s policy.Settings) policy.Settings {
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Effect = policy.SingleShot
	}
	s.Limits.MaxAttempts = 1
	return s
}
