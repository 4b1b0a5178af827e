package intersect

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// action is a possible action of an agent, which a configuration permits or forbids.
type action struct {
	agent, server, class       string
	attempt                    int
	repeat, sameZone, sameCell bool
	afterMs, graceMs, overload float64
}

// permits reports whether a configuration permits an action, without using the code under test.
func permits(b *sharedconfig.Config, a action) bool {
	has := func(l []string, s string) bool {
		for _, v := range l {
			if v == s {
				return true
			}
		}
		return false
	}
	if len(b.Agents) > 0 && !has(b.Agents, a.agent) || has(b.Cordoned, a.server) {
		return false
	}
	if _, ok := b.Servers[a.server]; b.Listed && !ok {
		return false
	}
	if b.MaxAttempts > 0 && a.attempt > b.MaxAttempts || b.DrainGraceMs > 0 && a.graceMs > b.DrainGraceMs || b.OverloadFactor > 0 && a.overload > b.OverloadFactor {
		return false
	}
	c, ok := b.Classes[a.class]
	if !ok || !a.repeat || c.Effect == policy.Idempotent || c.Effect == "" {
		return true
	}
	if c.Effect == policy.NonIdempotent || c.IdempotencyWindowMs > 0 && a.afterMs > c.IdempotencyWindowMs {
		return false
	}
	return c.DedupScope == "" || c.DedupScope == policy.ScopeAll || c.DedupScope == policy.ScopeZone && a.sameZone || c.DedupScope == policy.ScopeCell && a.sameCell
}

var names = rapid.SampledFrom([]string{"a", "b", "c", "d"})

func configs() *rapid.Generator[*sharedconfig.Config] {
	return rapid.Custom(func(t *rapid.T) *sharedconfig.Config {
		b := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{}, Servers: map[string]sharedconfig.Server{}}
		for _, n := range rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string]).Draw(t, "classes") {
			c := sharedconfig.Class{Effect: rapid.SampledFrom([]policy.Effect{"", policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent}).Draw(t, "effect")}
			if c.Effect == policy.IdempotentByKey {
				c.DedupScope = rapid.SampledFrom([]policy.DedupScope{"", policy.ScopeAll, policy.ScopeZone, policy.ScopeCell}).Draw(t, "group")
				c.IdempotencyWindowMs = float64(rapid.IntRange(0, 3).Draw(t, "ttl")) * 1000
			}
			b.Classes[n] = c
		}
		b.MaxAttempts = rapid.IntRange(0, 3).Draw(t, "attempts")
		b.DrainGraceMs = float64(rapid.IntRange(0, 2).Draw(t, "grace")) * 250
		b.OverloadFactor = float64(rapid.IntRange(0, 3).Draw(t, "fall"))
		if b.Listed = rapid.Bool().Draw(t, "listed"); b.Listed {
			for _, n := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID[string]).Draw(t, "servers") {
				b.Servers[n] = sharedconfig.Server{Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))}
			}
		}
		b.Cordoned = rapid.SliceOfNDistinct(names, 0, 2, rapid.ID[string]).Draw(t, "bans")
		b.Agents = rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string]).Draw(t, "agents")
		if err := b.Check(); err != nil {
			t.Fatal(err)
		}
		return b
	})
}

func actions() *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{names.Draw(t, "agent"), names.Draw(t, "server"), names.Draw(t, "class"), rapid.IntRange(1, 3).Draw(t, "attempt"),
			rapid.Bool().Draw(t, "repeat"), rapid.Bool().Draw(t, "zone"), rapid.Bool().Draw(t, "cell"),
			float64(rapid.IntRange(0, 4).Draw(t, "after")) * 900, float64(rapid.IntRange(0, 3).Draw(t, "grace")) * 200, float64(rapid.IntRange(0, 4).Draw(t, "multiple"))}
	})
}

func text(b *sharedconfig.Config) string {
	t, _ := json.Marshal(b)
	return string(t)
}

// Checks invariants 1 to 3 of the package on random configurations.
func TestIntersectPermitsWhatBothPermit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := configs().Draw(t, "a"), configs().Draw(t, "b"), configs().Draw(t, "c")
		m := Intersect(a, b)
		for range 20 {
			x := actions().Draw(t, "action")
			both := permits(a, x) && permits(b, x)
			switch {
			case permits(m, x) && !both:
				t.Fatalf("invariant 1: the intersection permits %+v", x)
			case !permits(m, x) && both && !(x.repeat && x.sameZone && x.sameCell):
				t.Fatalf("invariant 2: the intersection forbids %+v", x)
			}
		}
		if text(m) != text(Intersect(b, a)) {
			t.Fatalf("invariant 3: not commutative: %s and %s", text(m), text(Intersect(b, a)))
		}
		if text(Intersect(m, c)) != text(Intersect(a, Intersect(b, c))) {
			t.Fatalf("invariant 3: not associative: %s and %s", text(Intersect(m, c)), text(Intersect(a, Intersect(b, c))))
		}
		if text(Intersect(a, a)) != text(Intersect(a, a.Clone())) || text(Intersect(a, Intersect(a, b))) != text(m) {
			t.Fatal("invariant 3: not idempotent")
		}
	})
}

func TestUnorderedScopesAreNeverRepeated(t *testing.T) {
	of := func(g policy.DedupScope) *sharedconfig.Config {
		return &sharedconfig.Config{Classes: map[string]sharedconfig.Class{"send": {Effect: policy.IdempotentByKey, DedupScope: g, IdempotencyWindowMs: 1000}}}
	}
	if c := Intersect(of(policy.ScopeZone), of(policy.ScopeCell)).Classes["send"]; c.Effect != policy.NonIdempotent {
		t.Errorf("zone and cell: %+v", c)
	}
	if c := Intersect(of(policy.ScopeZone), of(policy.ScopeAll)).Classes["send"]; c.DedupScope != policy.ScopeZone {
		t.Errorf("zone and all: %+v", c)
	}
}

func TestCheckTransitionRejectsTooFewServers(t *testing.T) {
	of := func(ids ...string) *sharedconfig.Config {
		b := &sharedconfig.Config{Listed: true, Servers: map[string]sharedconfig.Server{}}
		for _, id := range ids {
			b.Servers[id] = sharedconfig.Server{}
		}
		return b
	}
	cordoned := of("a", "b")
	cordoned.Cordoned = []string{"a", "b"}
	for name, c := range map[string]struct {
		a, b *sharedconfig.Config
		ok   bool
	}{
		"every server replaced":     {of("a", "b"), of("c", "d"), false},
		"half replaced":             {of("a", "b"), of("b", "c"), true},
		"the last one cordoned":     {of("a", "b"), cordoned, false},
		"first configuration":       {nil, of("a"), true},
		"endpoint list alone":       {&sharedconfig.Config{}, of("a"), true},
		"from none in service":      {of(), of("a"), true},
		"nearly every one replaced": {of("a", "b", "c", "d"), of("d", "e", "f", "g"), false},
	} {
		if err := CheckTransition(c.a, c.b); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
