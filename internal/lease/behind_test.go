package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// whole tells whether the index's invariants 1 and 2 hold.
func (d *Lessor) whole(now float64) error {
	b := &d.behind
	if !b.known {
		return nil
	}
	in := map[*held]bool{}
	for _, h := range b.ring {
		if in[h] || !h.listed {
			return fmt.Errorf("invariant 2: a holder is listed twice, or not marked")
		}
		in[h] = true
	}
	known := 0
	for _, h := range d.holders {
		if in[h] {
			known++
		}
		if in[h] != h.listed {
			return fmt.Errorf("one is marked as listed: %v, and is: %v", h.listed, in[h])
		}
		if !in[h] && h.mayHoldUp(now, b.stage) {
			return fmt.Errorf("invariant 1: one may hold up stage %d and is not listed", b.stage)
		}
	}
	if known != len(in) {
		return fmt.Errorf("invariant 2: %d listed are forgotten by the desk", len(in)-known)
	}
	return nil
}

// counts are what differential runs came by.
type counts struct{ yes, no, rests, jumps int }

// differ has holders come, renew, take up, fall silent and lapse in any order, also in those that no keeper makes (grants
// on lower stages, stages that jump, a word on servers that changes back). The index's answer is the one that a look at
// all holders gives, at each step, or the error says where not. draw draws a number from 0 to n-1.
func differ(draw func(what string, n int) int, c *counts) error {
	now := []float64{-1000, 0, 5e6}[draw("begin", 3)]
	stage := uint64(draw("stage", 5))
	d := NewLessor(now, 20, []float64{0, 10, 30}[draw("list", 3)])
	yes := [16]bool{}
	flip := func() { i := draw("flip", 16); yes[i] = !yes[i] }
	for range 8 {
		flip()
	}
	words := func(from, to uint64) bool { return yes[(from*5+to)%16] }
	stages := map[Holder]uint64{}
	for n := range 1 + draw("steps", 120) {
		k := Holder{fmt.Sprint(draw("name", 6)), fmt.Sprint(draw("start", 2))}
		switch draw("what", 13) {
		case 0, 1, 2: // it renews
			d.Grant(now, Request{Holder: k, Epoch: stages[k]}, stage)
		case 3, 4: // it has taken up what is in force
			stages[k] = max(stages[k], stage)
			d.Observe(now, Request{Holder: k, Epoch: stages[k]})
		case 5: // it says whatever
			d.Observe(now, Request{Holder: k, Epoch: uint64(draw("has", int(stage)+3))})
		case 6: // a grant on another stage than is asked about
			d.Grant(now, Request{Holder: k, Epoch: stages[k]}, uint64(draw("at", int(stage)+3)))
		case 7, 8:
			now += float64(draw("time", 100)) / 4
		case 9, 10:
			flip()
		case 11:
			stage++
		case 12:
			switch draw("rare", 5) {
			case 0:
				stage = uint64(draw("stage", int(stage)+4))
				c.jumps++
			case 1:
				d = d.Clone()
			case 2:
				d = NewLessor(now, 20, 10)
			}
		}
		want, _, hold := d.Next(now, stage, words)
		if got := d.MayAdvance(now, stage, words); got != want {
			return fmt.Errorf("step %d: at %.2f stage %d may be left: %v by the index; held up by %q", n, now, stage, got, hold)
		}
		if err := d.whole(now); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
		switch {
		case want && len(d.behind.ring) > 0:
			c.rests++
			fallthrough
		case want:
			c.yes++
		default:
			c.no++
		}
	}
	return nil
}

// Which holder the index begins with is a map's choice: a seed that fails may need some runs to fail again.
func TestMayAdvanceIsNext(t *testing.T) {
	var c counts
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if err := differ(func(_ string, n int) int { return rng.IntN(n) }, &c); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d times yes, %d of them with holders listed, %d times no, %d jumps", c.yes, c.rests, c.no, c.jumps)
	if min(c.yes, c.no, c.rests, c.jumps) < 100 {
		t.Errorf("%+v: one kind came too seldom", c)
	}
}

// The same, drawn so that what fails is made small.
func TestMayAdvanceIsNextMadeSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := differ(func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(t, what) }, &counts{}); err != nil {
			t.Fatal(err)
		}
	})
}

// A desk that is full forgets holders whose leases are over, and its index with them.
func TestAFullDeskForgetsInItsIndexToo(t *testing.T) {
	d, now := NewLessor(0, 20, 10), 1000.0
	yes := func(_, _ uint64) bool { return true }
	for i := range MaxHolders {
		d.Grant(now, Request{Holder: Holder{fmt.Sprint(i), "a"}, Epoch: 2}, 2)
	}
	if d.MayAdvance(now, 4, yes) {
		t.Fatal("all act on stage 2, and stage 4 may be left")
	}
	now += 100
	if _, ok := d.Grant(now, Request{Holder: Holder{"new", "a"}, Epoch: 2}, 2); !ok {
		t.Fatal("no room")
	}
	if err := d.whole(now); err != nil {
		t.Error(err)
	}
	if d.MayAdvance(now, 4, yes) {
		t.Error("one acts on stage 2, and stage 4 may be left")
	}
	if n := len(d.behind.ring); n != 1 {
		t.Errorf("%d are listed", n)
	}
}

// TestAChangeLooksAtEachHolderAFewTimes counts how often a holder that is behind is looked at over one change, asked about
// after each word of a holder, in several orders: it grows with the holders and not with their square. Settings are
// over here and words on servers hold, so that each look asks Words once; looks that find one that is no longer behind
// take it out, so there is one a holder.
func TestAChangeLooksAtEachHolderAFewTimes(t *testing.T) {
	for _, order := range []string{"as listed", "backwards", "any"} {
		for _, resting := range []int{0, 2} { // every second one goes by a word that is no other
			for _, n := range []int{60, 120, 240, 470, 940} {
				looks := 0
				words := func(from, _ uint64) bool { looks++; return from == 2 }
				d := NewLessor(0, 20, 1e6)
				now := 2e6
				var all []Holder
				for i := range n {
					k := Holder{fmt.Sprint(i), "a"}
					has := uint64(2)
					if resting > 0 && i%resting == 0 {
						has = 3
					} else {
						all = append(all, k)
					}
					d.Grant(now, Request{Holder: k, Epoch: has}, 3)
					d.holders[k].before = d.holders[k].now // it had one on the stage before as well
				}
				now += 50
				looks = 0
				d.MayAdvance(now, 4, words)
				switch order {
				case "as listed":
					at := map[*held]int{}
					for i, h := range d.behind.ring {
						at[h] = i
					}
					slices.SortFunc(all, func(a, b Holder) int { return at[d.holders[a]] - at[d.holders[b]] })
				case "backwards":
					at := map[*held]int{}
					for i, h := range d.behind.ring {
						at[h] = -i
					}
					slices.SortFunc(all, func(a, b Holder) int { return at[d.holders[a]] - at[d.holders[b]] })
				case "any":
					rng := rand.New(rand.NewPCG(1, uint64(n)))
					rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				}
				for i, k := range all {
					d.Observe(now, Request{Holder: k, Epoch: 4})
					if may := d.MayAdvance(now, 4, words); may != (i == len(all)-1) {
						t.Fatalf("%d holders, %d have taken it up: %v", n, i+1, may)
					}
				}
				t.Logf("%s, %d holders, %d of them resting: %d looks", order, n, n-len(all), looks)
				if looks > 2*n {
					t.Errorf("%s, %d holders, %d of them resting: %d looks are more than 2 each", order, n, n-len(all), looks)
				}
			}
		}
	}
}

// BenchmarkAChange is what asking costs over one change, after each word of a holder.
func BenchmarkAChange(b *testing.B) {
	for _, n := range []int{60, 120, 240, 470, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				d := NewLessor(0, 2000, 3000)
				for i := range n {
					d.Grant(1e6, Request{Holder: Holder{fmt.Sprint(i), "a"}, Epoch: 2}, 2)
				}
				for i := range n {
					d.Observe(1e6, Request{Holder: Holder{fmt.Sprint(i), "a"}, Epoch: 3})
					d.MayAdvance(1e6, 3, func(_, _ uint64) bool { return true })
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/holder")
		})
	}
}
