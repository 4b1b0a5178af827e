package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// checkIndex returns an error unless invariants a and b of the index hold.
func (l *Lessor) checkIndex(now float64) error {
	b := &l.blockers
	if !b.built {
		return nil
	}
	isCandidate := map[*holderState]bool{}
	for _, h := range b.candidates {
		if isCandidate[h] || !h.indexed {
			return fmt.Errorf("invariant b: a holder is a candidate twice, or not marked as one")
		}
		isCandidate[h] = true
	}
	known := 0
	for _, h := range l.holders {
		if isCandidate[h] {
			known++
		}
		if isCandidate[h] != h.indexed {
			return fmt.Errorf("a holder is marked as a candidate: %v, but is one: %v", h.indexed, isCandidate[h])
		}
		if !isCandidate[h] && h.mayBlock(now, b.epoch) {
			return fmt.Errorf("invariant a: a holder may block epoch %d and is not a candidate", b.epoch)
		}
	}
	if known != len(isCandidate) {
		return fmt.Errorf("invariant b: %d candidates are not known to the lessor", len(isCandidate)-known)
	}
	return nil
}

// outcomeCounts counts the cases that the differential tests covered.
type outcomeCounts struct {
	advances               int
	blocked                int
	advancesWithCandidates int
	epochJumps             int
}

// compareWithAdvanceBlockers runs random events: holders join, renew, adopt epochs, stop reporting and
// expire, also in orders that no replica produces (grants on lower epochs, epochs that jump, server rules
// that change back). After each step MayAdvance must agree with AdvanceBlockers, which examines every
// holder; the error describes the first difference. draw returns a number from 0 to n-1.
func compareWithAdvanceBlockers(draw func(what string, n int) int, c *outcomeCounts) error {
	now := []float64{-1000, 0, 5e6}[draw("begin", 3)]
	epoch := uint64(draw("epoch", 5))
	lessor := NewLessor(now, 20, []float64{0, 10, 30}[draw("server rules", 3)])
	rulesDiffer := [16]bool{}
	flip := func() {
		i := draw("flip", 16)
		rulesDiffer[i] = !rulesDiffer[i]
	}
	for range 8 {
		flip()
	}
	changed := func(from, to uint64) bool { return rulesDiffer[(from*5+to)%16] }
	adopted := map[Holder]uint64{}
	for n := range 1 + draw("steps", 120) {
		holder := Holder{fmt.Sprint(draw("name", 6)), fmt.Sprint(draw("incarnation", 2))}
		switch draw("event", 13) {
		case 0, 1, 2: // a renewal
			lessor.Grant(now, Request{Holder: holder, Epoch: adopted[holder]}, epoch)
		case 3, 4: // adoption of the epoch in force
			adopted[holder] = max(adopted[holder], epoch)
			lessor.Observe(now, Request{Holder: holder, Epoch: adopted[holder]})
		case 5: // a report of any epoch
			lessor.Observe(now, Request{Holder: holder, Epoch: uint64(draw("reported epoch", int(epoch)+3))})
		case 6: // a grant on an epoch other than the one passed to MayAdvance
			lessor.Grant(now, Request{Holder: holder, Epoch: adopted[holder]}, uint64(draw("granted epoch", int(epoch)+3)))
		case 7, 8:
			now += float64(draw("time", 100)) / 4
		case 9, 10:
			flip()
		case 11:
			epoch++
		case 12:
			switch draw("rare event", 5) {
			case 0:
				epoch = uint64(draw("epoch", int(epoch)+4))
				c.epochJumps++
			case 1:
				lessor = lessor.Clone()
			case 2:
				lessor = NewLessor(now, 20, 10)
			}
		}
		blockers := lessor.AdvanceBlockers(now, epoch, changed)
		want := blockers.None()
		if got := lessor.MayAdvance(now, epoch, changed); got != want {
			return fmt.Errorf("step %d: at %.2f MayAdvance of epoch %d is %v, the blockers are %q", n, now, epoch, got, blockers.Holders)
		}
		if err := lessor.checkIndex(now); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
		switch {
		case want && len(lessor.blockers.candidates) > 0:
			c.advancesWithCandidates++
			fallthrough
		case want:
			c.advances++
		default:
			c.blocked++
		}
	}
	return nil
}

// The order of the candidates depends on map iteration: it may take several runs to reproduce a failing seed.
func TestMayAdvanceAgreesWithAdvanceBlockers(t *testing.T) {
	var c outcomeCounts
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if err := compareWithAdvanceBlockers(func(_ string, n int) int { return rng.IntN(n) }, &c); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d steps may advance, %d of them with candidates, %d are blocked, %d epoch jumps", c.advances, c.advancesWithCandidates, c.blocked, c.epochJumps)
	if min(c.advances, c.blocked, c.advancesWithCandidates, c.epochJumps) < 100 {
		t.Errorf("too few cases of one kind: %+v", c)
	}
}

// The same test with inputs that rapid can shrink.
func TestMayAdvanceAgreesWithAdvanceBlockersShrunk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := compareWithAdvanceBlockers(func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(t, what) }, &outcomeCounts{}); err != nil {
			t.Fatal(err)
		}
	})
}

// A full lessor removes holders whose leases have expired, also from its index.
func TestFullLessorRemovesExpiredHoldersFromIndex(t *testing.T) {
	lessor, now := NewLessor(0, 20, 10), 1000.0
	changed := func(_, _ uint64) bool { return true }
	for i := range MaxHolders {
		lessor.Grant(now, Request{Holder: Holder{fmt.Sprint(i), "a"}, Epoch: 2}, 2)
	}
	if lessor.MayAdvance(now, 4, changed) {
		t.Fatal("all holders act on epoch 2, and epoch 4 may end")
	}
	now += 100
	if _, ok := lessor.Grant(now, Request{Holder: Holder{"new", "a"}, Epoch: 2}, 2); !ok {
		t.Fatal("no lease is granted to a new holder, although the others have expired")
	}
	if err := lessor.checkIndex(now); err != nil {
		t.Error(err)
	}
	if lessor.MayAdvance(now, 4, changed) {
		t.Error("a holder acts on epoch 2, and epoch 4 may end")
	}
	if n := len(lessor.blockers.candidates); n != 1 {
		t.Errorf("%d candidates, want 1", n)
	}
}

// TestTransitionExaminesEachHolderAtMostTwice counts how often holders below the epoch are examined over
// one transition, with MayAdvance after each report, in several orders: the count must be linear in the
// number of holders, not quadratic. Leases have expired here and server rules are in use, so that each
// examination calls ServerRulesDiffer once; examining a holder that has adopted the epoch removes it.
func TestTransitionExaminesEachHolderAtMostTwice(t *testing.T) {
	for _, order := range []string{"as indexed", "reversed", "shuffled"} {
		for _, unaffected := range []int{0, 2} { // every second holder uses server rules that do not change
			for _, n := range []int{60, 120, 240, 470, 940} {
				examined := 0
				changed := func(from, _ uint64) bool { examined++; return from == 2 }
				lessor := NewLessor(0, 20, 1e6)
				now := 2e6
				var all []Holder
				for i := range n {
					holder := Holder{fmt.Sprint(i), "a"}
					reported := uint64(2)
					if unaffected > 0 && i%unaffected == 0 {
						reported = 3
					} else {
						all = append(all, holder)
					}
					lessor.Grant(now, Request{Holder: holder, Epoch: reported}, 3)
					// It also had a lease on the previous epoch.
					lessor.holders[holder].previous = lessor.holders[holder].current
				}
				now += 50
				examined = 0
				lessor.MayAdvance(now, 4, changed)
				switch order {
				case "as indexed":
					at := map[*holderState]int{}
					for i, h := range lessor.blockers.candidates {
						at[h] = i
					}
					slices.SortFunc(all, func(a, b Holder) int { return at[lessor.holders[a]] - at[lessor.holders[b]] })
				case "reversed":
					at := map[*holderState]int{}
					for i, h := range lessor.blockers.candidates {
						at[h] = -i
					}
					slices.SortFunc(all, func(a, b Holder) int { return at[lessor.holders[a]] - at[lessor.holders[b]] })
				case "shuffled":
					rng := rand.New(rand.NewPCG(1, uint64(n)))
					rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				}
				for i, holder := range all {
					lessor.Observe(now, Request{Holder: holder, Epoch: 4})
					if may := lessor.MayAdvance(now, 4, changed); may != (i == len(all)-1) {
						t.Fatalf("%d holders, %d have adopted the epoch: may advance: %v", n, i+1, may)
					}
				}
				t.Logf("%s, %d holders, %d of them unaffected: %d examinations", order, n, n-len(all), examined)
				if examined > 2*n {
					t.Errorf("%s, %d holders, %d of them unaffected: %d examinations are more than 2 each", order, n, n-len(all), examined)
				}
			}
		}
	}
}

// BenchmarkTransition measures MayAdvance over one transition, after each report of a holder.
func BenchmarkTransition(b *testing.B) {
	for _, n := range []int{60, 120, 240, 470, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				lessor := NewLessor(0, 2000, 3000)
				for i := range n {
					lessor.Grant(1e6, Request{Holder: Holder{fmt.Sprint(i), "a"}, Epoch: 2}, 2)
				}
				for i := range n {
					lessor.Observe(1e6, Request{Holder: Holder{fmt.Sprint(i), "a"}, Epoch: 3})
					lessor.MayAdvance(1e6, 3, func(_, _ uint64) bool { return true })
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/holder")
		})
	}
}
