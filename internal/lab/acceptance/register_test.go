package acceptance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// A reduced history has the verdict of the complete one, for small histories: of a register, of a register
// with one changed answer, and with random answers.
func TestReducedHistoriesHaveTheSameVerdict(t *testing.T) {
	const histories, seed = 6000, 59
	rng := rand.New(rand.NewPCG(seed, 0))
	verdicts := map[porcupine.CheckResult]int{}
	removed := 0
	for i := range histories {
		h := drawHistory(rng)
		if i%3 == 1 {
			changeAnswer(rng, h)
		}
		if i%3 == 2 {
			for j := range h {
				changeAnswer(rng, h[j:])
			}
		}
		want := porcupine.CheckOperationsTimeout(registerModel.ToModel(), h, 20*time.Second)
		reduced := reduceHistory(h)
		got := porcupine.CheckOperationsTimeout(registerModel.ToModel(), reduced, 20*time.Second)
		if got != want {
			t.Fatalf("history %d: %s, reduced %s:\n%s\nreduced:\n%s", i, want, got, describeHistory(h), describeHistory(reduced))
		}
		verdicts[want]++
		removed += len(h) - len(reduced)
	}
	if verdicts[porcupine.Ok] < histories/4 || verdicts[porcupine.Illegal] < histories/4 || removed < histories/2 {
		t.Errorf("verdicts %v, %d operations left out: too few to judge", verdicts, removed)
	}
}

// drawHistory runs random operations of a few clients on a register. Some get no answer; of these, some have
// no effect and some take effect late.
func drawHistory(rng *rand.Rand) []porcupine.Operation {
	var history []porcupine.Operation
	var state registerState
	type lateEffect struct{ op registerOp }
	var late []lateEffect
	for n := range 2 + rng.IntN(8) {
		for i := 0; i < len(late); i++ {
			if rng.IntN(3) == 0 {
				if late[i].op.parent == state.number {
					state = registerState{state.number + 1, late[i].op.id}
				}
				late = append(late[:i], late[i+1:]...)
				i--
			}
		}
		op := registerOp{read: rng.IntN(3) == 0, id: fmt.Sprint("p", n), parent: state.number}
		if rng.IntN(4) == 0 {
			op.parent = uint64(rng.IntN(int(state.number) + 2))
		}
		at := int64(n * 10)
		drawn := porcupine.Operation{ClientId: n, Input: op, Call: at - rng.Int64N(25), Return: at + rng.Int64N(25)}
		switch fits := op.parent == state.number; {
		case op.read:
			drawn.Output = registerAnswer{number: state.number, id: state.id}
		case rng.IntN(2) == 0:
			drawn.Output = registerAnswer{unknown: true}
			drawn.Return = neverReturns
			switch rng.IntN(3) {
			case 0:
				if fits {
					state = registerState{state.number + 1, op.id}
				}
			case 1:
				late = append(late, lateEffect{op})
			}
		case fits:
			state = registerState{state.number + 1, op.id}
			drawn.Output = registerAnswer{number: state.number}
		default:
			drawn.Output = registerAnswer{conflict: true}
		}
		history = append(history, drawn)
	}
	return history
}

// changeAnswer replaces the answer of a random operation.
func changeAnswer(rng *rand.Rand, history []porcupine.Operation) {
	op := &history[rng.IntN(len(history))]
	in, out := op.Input.(registerOp), op.Output.(registerAnswer)
	switch {
	case out.unknown:
		return
	case in.read:
		op.Output = registerAnswer{number: uint64(rng.IntN(4)), id: fmt.Sprint("p", rng.IntN(len(history)))}
	case rng.IntN(2) == 0:
		op.Output = registerAnswer{conflict: !out.conflict, number: in.parent + 1}
	default:
		op.Output = registerAnswer{unknown: true}
		op.Return = neverReturns
	}
}

func describeHistory(history []porcupine.Operation) (text string) {
	for _, op := range history {
		text += fmt.Sprintf("  %d to %d: %+v -> %+v\n", op.Call, op.Return, op.Input, op.Output)
	}
	return text
}

// Without the reduction the search did not finish in time for a history with many unanswered publishes.
func TestManyUnansweredPublishesAreDecided(t *testing.T) {
	var history []porcupine.Operation
	add := func(from, to int64, in registerOp, out registerAnswer) {
		history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Call: from, Output: out, Return: to})
	}
	const versions, unanswered = 40, 6
	for n := range uint64(versions) {
		at := int64(n) * 100
		for i := range unanswered {
			add(at, neverReturns, registerOp{id: fmt.Sprintf("u%d-%d", n, i), parent: n}, registerAnswer{unknown: true})
		}
		add(at+50, at+60, registerOp{read: true}, registerAnswer{number: n + 1, id: fmt.Sprintf("u%d-%d", n, n%unanswered)})
	}
	if got := checkRegister(history); got != porcupine.Ok {
		t.Errorf("the history of a register: %s", got)
	}
	add(versions*100, versions*100+10, registerOp{read: true}, registerAnswer{number: 1, id: "u0-0"})
	if got := checkRegister(history); got != porcupine.Illegal {
		t.Errorf("a read of an old version: %s", got)
	}
}
