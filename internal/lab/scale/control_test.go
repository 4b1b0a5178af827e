package scale

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Hollow agents that ask again at once, as the lab has them for once, bring more bytes than an agent may.
func TestControlFindsItsDefect(t *testing.T) {
	t.Parallel()
	r, err := Control(t.Context(), &Options{Seed: 2, Scale: 0.01, Defect: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if !slices.ContainsFunc(r.Short, func(s string) bool { return strings.Contains(s, "bytes of a hollow agent") }) {
		t.Errorf("short of %v", r.Short)
	}
}

// The witness reads who has which stage out of the asks as they go by, whole heads or several asks in one piece.
func TestAskWitness(t *testing.T) {
	w, from := newAskWitness(), time.Now()
	w.saw([]byte("POST /v1/renew HTTP/1.1\r\nHost: x\r\n\r\n" + `{"name":"a1","inc":"9","has":0,"wait_ms":500}`))
	w.saw([]byte(`{"name":"a1","inc":"9","has":0,"wait_ms":500}{"name":"a2","inc":"8","has":12,"wait_ms":0}`))
	w.saw([]byte("GET /api/targets?index=4 HTTP/1.1\r\n\r\n"))
	w.saw([]byte(`{"name":"a3","inc":"9","ha`))
	if n, again := w.count(); n != 3 || again != 1 {
		t.Errorf("%d asks, %d behind a failed one; 3 and 1 were seen", n, again)
	}
	times, missing := w.took([]string{"a1", "a2", "a3"}, 11, from)
	if len(times) != 1 || !slices.Equal(missing, []string{"a1", "a3"}) {
		t.Errorf("%v, missing %v", times, missing)
	}
	w.saw([]byte(`{"name":"a1","inc":"9","has":11}`))
	if _, missing = w.took([]string{"a1"}, 11, from); len(missing) > 0 {
		t.Error("a1 has it")
	}
	if w.forget([]string{"a1"}); w.peak(from) < 3 {
		t.Errorf("%d asks in 100 ms", w.peak(from))
	}
	if _, missing = w.took([]string{"a1"}, 1, from); len(missing) != 1 {
		t.Error("a1 was forgotten")
	}
}
