package emulator

import (
	"math/rand/v2"
	"testing"
)

// recordedEvent appends its number to a slice when it fires.
type recordedEvent struct {
	to *[]int
	n  int
}

func (x *recordedEvent) fire(uint8) { *x.to = append(*x.to, x.n) }

// Events at the same time fire in the order in which they were scheduled.
func TestEventsFireInOrder(t *testing.T) {
	var e engine
	var got []int
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		e.at(Time(rng.IntN(5)), &recordedEvent{&got, i}, 0)
	}
	e.run(Second)
	if len(got) != 1000 || e.now != Second {
		t.Fatalf("%d events fired, want 1000; the clock is at %d, want 1 s", len(got), e.now)
	}
	var f engine
	var one []int
	for i := range 1000 {
		f.at(7, &recordedEvent{&one, i}, 0)
	}
	f.run(7)
	for i, n := range one {
		if i != n {
			t.Fatalf("event %d fired at position %d", n, i)
		}
	}
}
