package emulator

import (
	"math/rand/v2"
	"testing"
)

// note is an event that records its number.
type note struct {
	to *[]int
	n  int
}

func (x *note) fire(uint8) { *x.to = append(*x.to, x.n) }

// Two events at the same time fire in the order in which they were scheduled.
func TestEventsFireInOrder(t *testing.T) {
	var e engine
	var got []int
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		e.at(Time(rng.IntN(5)), &note{&got, i}, 0)
	}
	e.run(Second)
	if len(got) != 1000 || e.now != Second {
		t.Fatalf("%d happened, now %d", len(got), e.now)
	}
	var f engine
	var one []int
	for i := range 1000 {
		f.at(7, &note{&one, i}, 0)
	}
	f.run(7)
	for i, n := range one {
		if i != n {
			t.Fatalf("number %d happened as %d", n, i)
		}
	}
}
