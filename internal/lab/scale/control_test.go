package scale

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Hollow agents that renew without waiting exceed the limit of bytes per agent.
func TestControlFindsItsDefect(t *testing.T) {
	t.Parallel()
	r, err := Control(t.Context(), &Options{Seed: 2, Scale: 0.01, Defect: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if !slices.ContainsFunc(r.Short, func(s string) bool { return strings.Contains(s, "bytes of a hollow agent") }) {
		t.Errorf("bounds not met: %v", r.Short)
	}
}

// The observer finds the names and epochs in renewals that arrive with HTTP headers, several in one chunk, or
// cut off.
func TestRenewalObserver(t *testing.T) {
	observer, from := newRenewalObserver(), time.Now()
	observer.observe([]byte("POST /v1/renew HTTP/1.1\r\nHost: x\r\n\r\n" + `{"name":"a1","inc":"9","has":0,"wait_ms":500}`))
	observer.observe([]byte(`{"name":"a1","inc":"9","has":0,"wait_ms":500}{"name":"a2","inc":"8","has":12,"wait_ms":0}`))
	observer.observe([]byte("GET /api/targets?index=4 HTTP/1.1\r\n\r\n"))
	observer.observe([]byte(`{"name":"a3","inc":"9","ha`))
	if n, immediate := observer.count(); n != 3 || immediate != 1 {
		t.Errorf("%d renewals, %d without waiting; want 3 and 1", n, immediate)
	}
	times, missing := observer.latencies([]string{"a1", "a2", "a3"}, 11, from)
	if len(times) != 1 || !slices.Equal(missing, []string{"a1", "a3"}) {
		t.Errorf("%v, missing %v", times, missing)
	}
	observer.observe([]byte(`{"name":"a1","inc":"9","has":11}`))
	if _, missing = observer.latencies([]string{"a1"}, 11, from); len(missing) > 0 {
		t.Error("a1 is missing although it has epoch 11")
	}
	if observer.forget([]string{"a1"}); observer.peak(from) < 3 {
		t.Errorf("%d renewals in 100 ms", observer.peak(from))
	}
	if _, missing = observer.latencies([]string{"a1"}, 1, from); len(missing) != 1 {
		t.Error("a1 is not missing although it was forgotten")
	}
}
