package sharedconfig

import (
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// effectsByStrictness lists the effects, the strictest first.
var effectsByStrictness = []policy.Effect{policy.NonIdempotent, policy.IdempotentByKey, policy.Idempotent}

// Stricter returns the smaller of two bounds, where 0 means no bound.
func Stricter[T int | float64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// IntersectClass returns what two classes both permit. Zone and cell scopes are not ordered: no server is
// known to be in both, so a request that is subject to both is never repeated.
func IntersectClass(a, b Class) Class {
	switch {
	case a.Effect == "":
		return b
	case b.Effect == "":
		return a
	case a.Effect != b.Effect:
		if slices.Index(effectsByStrictness, a.Effect) < slices.Index(effectsByStrictness, b.Effect) {
			return a
		}
		return b
	case a.Effect != policy.IdempotentByKey:
		return a
	}
	scope, ok := intersectScope(a.DedupScope, b.DedupScope)
	if !ok {
		return Class{Effect: policy.NonIdempotent}
	}
	return Class{
		Effect:              policy.IdempotentByKey,
		DedupScope:          scope,
		IdempotencyWindowMs: Stricter(a.IdempotencyWindowMs, b.IdempotencyWindowMs),
	}
}

// intersectScope returns the narrower scope; ok is false if neither contains the other.
func intersectScope(a, b policy.DedupScope) (scope policy.DedupScope, ok bool) {
	coversAll := func(s policy.DedupScope) bool { return s == "" || s == policy.ScopeAll }
	switch {
	case a == b:
		return a, true
	case a == "" || coversAll(a) && b != "":
		return b, true
	case coversAll(b):
		return a, true
	}
	return "", false
}

// Narrow returns a class of an agent's settings, restricted to what this class permits.
func (c Class) Narrow(own policy.Class) policy.Class {
	class := Class{Effect: own.Effect}
	if own.Effect == policy.IdempotentByKey {
		class.DedupScope = own.DedupScope
		class.IdempotencyWindowMs = own.IdempotencyWindowMs
	}
	permitted := IntersectClass(class, c)
	own.Effect = permitted.Effect
	if permitted.Effect == policy.IdempotentByKey {
		own.DedupScope = permitted.DedupScope
		own.IdempotencyWindowMs = permitted.IdempotencyWindowMs
	}
	return own
}

// Settings returns an agent's own settings, restricted to what the configuration permits. The argument is
// not modified.
func (c *Config) Settings(own policy.Settings) policy.Settings {
	settings := own
	settings.Classes = slices.Clone(own.Classes)
	for i, class := range settings.Classes {
		settings.Classes[i] = c.Classes[class.Name].Narrow(class)
	}
	settings.Limits.MaxAttempts = Stricter(own.Limits.MaxAttempts, c.MaxAttempts)
	settings.Contract.DrainGraceMs = Stricter(own.Contract.DrainGraceMs, c.DrainGraceMs)
	settings.Contract.OverloadFactor = Stricter(own.Contract.OverloadFactor, c.OverloadFactor)
	return settings
}

// Strict returns the settings that an agent uses while it does not know which configuration the others act
// on: one attempt, and nothing is repeated.
func Strict(own policy.Settings) policy.Settings {
	own.Classes = slices.Clone(own.Classes)
	for i := range own.Classes {
		own.Classes[i].Effect = policy.NonIdempotent
	}
	own.Limits.MaxAttempts = 1
	return own
}
