package meet

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"ringtrack.example/ringtrack/internal/rulebook"
	"ringtrack.example/ringtrack/policy"
)

// act is something that an agent might do; a book permits it or not.
type act struct {
	agent, server, class        string
	attempt                     int
	repeat, sameZone, sameCell  bool
	afterMs, graceMs, multipleX float64
}

// permits says it by itself, not by the code under test.
func permits(b *rulebook.Book, a act) bool {
	has := func(l []string, s string) bool {
		for _, v := range l {
			if v == s {
				return true
			}
		}
		return false
	}
	if len(b.Agents) > 0 && !has(b.Agents, a.agent) || has(b.Bans, a.server) {
		return false
	}
	if _, ok := b.Servers[a.server]; b.Listed && !ok {
		return false
	}
	if b.MaxAttempts > 0 && a.attempt > b.MaxAttempts || b.DrainGraceMs > 0 && a.graceMs > b.DrainGraceMs || b.FallMultiple > 0 && a.multipleX > b.FallMultiple {
		return false
	}
	c, ok := b.Classes[a.class]
	if !ok || !a.repeat || c.Effect == policy.Free || c.Effect == "" {
		return true
	}
	if c.Effect == policy.SingleShot || c.KeyTTLMs > 0 && a.afterMs > c.KeyTTLMs {
		return false
	}
	return c.Group == "" || c.Group == policy.GroupAll || c.Group == policy.GroupZone && a.sameZone || c.Group == policy.GroupCell && a.sameCell
}

var names = rapid.SampledFrom([]string{"a", "b", "c", "d"})

func books() *rapid.Generator[*rulebook.Book] {
	return rapid.Custom(func(t *rapid.T) *rulebook.Book {
		b := &rulebook.Book{Classes: map[string]rulebook.Class{}, Servers: map[string]rulebook.Server{}}
		for _, n := range rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string]).Draw(t, "classes") {
			c := rulebook.Class{Effect: rapid.SampledFrom([]policy.Effect{"", policy.Free, policy.Guarded, policy.SingleShot}).Draw(t, "effect")}
			if c.Effect == policy.Guarded {
				c.Group = rapid.SampledFrom([]policy.Group{"", policy.GroupAll, policy.GroupZone, policy.GroupCell}).Draw(t, "group")
				c.KeyTTLMs = float64(rapid.IntRange(0, 3).Draw(t, "ttl")) * 1000
			}
			b.Classes[n] = c
		}
		b.MaxAttempts = rapid.IntRange(0, 3).Draw(t, "attempts")
		b.DrainGraceMs = float64(rapid.IntRange(0, 2).Draw(t, "grace")) * 250
		b.FallMultiple = float64(rapid.IntRange(0, 3).Draw(t, "fall"))
		if b.Listed = rapid.Bool().Draw(t, "listed"); b.Listed {
			for _, n := range rapid.SliceOfNDistinct(names, 0, 4, rapid.ID[string]).Draw(t, "servers") {
				b.Servers[n] = rulebook.Server{Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))}
			}
		}
		b.Bans = rapid.SliceOfNDistinct(names, 0, 2, rapid.ID[string]).Draw(t, "bans")
		b.Agents = rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string]).Draw(t, "agents")
		if err := b.Check(); err != nil {
			t.Fatal(err)
		}
		return b
	})
}

func acts() *rapid.Generator[act] {
	return rapid.Custom(func(t *rapid.T) act {
		return act{names.Draw(t, "agent"), names.Draw(t, "server"), names.Draw(t, "class"), rapid.IntRange(1, 3).Draw(t, "attempt"),
			rapid.Bool().Draw(t, "repeat"), rapid.Bool().Draw(t, "zone"), rapid.Bool().Draw(t, "cell"),
			float64(rapid.IntRange(0, 4).Draw(t, "after")) * 900, float64(rapid.IntRange(0, 3).Draw(t, "grace")) * 200, float64(rapid.IntRange(0, 4).Draw(t, "multiple"))}
	})
}

func text(b *rulebook.Book) string {
	t, _ := json.Marshal(b)
	return string(t)
}

// Invariants 1 to 3 of the package.
func TestMeetPermitsWhatBothPermit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := books().Draw(t, "a"), books().Draw(t, "b"), books().Draw(t, "c")
		m := Meet(a, b)
		for range 20 {
			x := acts().Draw(t, "act")
			both := permits(a, x) && permits(b, x)
			switch {
			case permits(m, x) && !both:
				t.Fatalf("invariant 1: the step between permits %+v", x)
			case !permits(m, x) && both && !(x.repeat && x.sameZone && x.sameCell):
				t.Fatalf("invariant 2: the step between forbids %+v", x)
			}
		}
		if text(m) != text(Meet(b, a)) {
			t.Fatalf("invariant 3: not commutative: %s and %s", text(m), text(Meet(b, a)))
		}
		if text(Meet(m, c)) != text(Meet(a, Meet(b, c))) {
			t.Fatalf("invariant 3: not associative: %s and %s", text(Meet(m, c)), text(Meet(a, Meet(b, c))))
		}
		if text(Meet(a, a)) != text(Meet(a, a.Clone())) || text(Meet(a, Meet(a, b))) != text(m) {
			t.Fatal("invariant 3: not idempotent")
		}
	})
}

func TestGroupsThatCantBeComparedAreNeverRepeated(t *testing.T) {
	of := func(g policy.Group) *rulebook.Book {
		return &rulebook.Book{Classes: map[string]rulebook.Class{"send": {Effect: policy.Guarded, Group: g, KeyTTLMs: 1000}}}
	}
	if c := Meet(of(policy.GroupZone), of(policy.GroupCell)).Classes["send"]; c.Effect != policy.SingleShot {
		t.Errorf("zone and cell: %+v", c)
	}
	if c := Meet(of(policy.GroupZone), of(policy.GroupAll)).Classes["send"]; c.Group != policy.GroupZone {
		t.Errorf("zone and all: %+v", c)
	}
}

func TestRefuseWhatLeavesTooFew(t *testing.T) {
	of := func(ids ...string) *rulebook.Book {
		b := &rulebook.Book{Listed: true, Servers: map[string]rulebook.Server{}}
		for _, id := range ids {
			b.Servers[id] = rulebook.Server{}
		}
		return b
	}
	banned := of("a", "b")
	banned.Bans = []string{"a", "b"}
	for name, c := range map[string]struct {
		a, b *rulebook.Book
		ok   bool
	}{
		"every server replaced":     {of("a", "b"), of("c", "d"), false},
		"half replaced":             {of("a", "b"), of("b", "c"), true},
		"the last good one banned":  {of("a", "b"), banned, false},
		"first book":                {nil, of("a"), true},
		"roster alone":              {&rulebook.Book{}, of("a"), true},
		"from none in service":      {of(), of("a"), true},
		"nearly every one replaced": {of("a", "b", "c", "d"), of("d", "e", "f", "g"), false},
	} {
		if err := Refuse(c.a, c.b); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
