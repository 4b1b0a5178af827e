package acceptance

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// checkTimeout bounds the search for a linearization of a history.
	checkTimeout = 20 * time.Second
	// neverReturns is the return time of an operation without an answer, which may still take effect.
	neverReturns = int64(time.Hour)
)

// registerOp is an operation on the configuration store: a publish with a parent, or a read of the last
// version.
type registerOp struct {
	read   bool
	id     string // of a publish, unique
	parent uint64
}

// registerAnswer is the answer to an operation. unknown means that there was none: the operation may have
// taken effect at any time, or never.
type registerAnswer struct {
	unknown  bool
	conflict bool
	number   uint64
	id       string // of the last version, for a read
}

// registerState is the state of the register: the last version.
type registerState struct {
	number uint64
	id     string
}

// registerModel models the configuration store as one register with compare-and-set.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, op, out := state.(registerState), input.(registerOp), output.(registerAnswer)
		done := registerState{s.number + 1, op.id}
		switch {
		case op.read && (out.unknown || out.number == s.number && out.id == s.id):
			return []any{s}
		case op.read:
			return nil
		case out.unknown && op.parent == s.number:
			return []any{s, done}
		case out.unknown:
			return []any{s}
		case out.conflict && op.parent != s.number:
			return []any{s}
		case !out.conflict && op.parent == s.number && out.number == done.number:
			return []any{done}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkRegister checks whether a history is linearizable as one register.
func checkRegister(history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel.ToModel(), reduceHistory(history), checkTimeout)
}

// reduceHistory returns a history with the same verdict and fewer operations that may take effect at any
// time, as the search for a linearization grows without bound with their number. Each number has one version
// in any linearization, so that of the publishes without an answer
//   - one whose id was read took effect before the first read of it returned;
//   - one whose number belongs to another version never took effect, and is left out;
//   - of those with the same parent whose ids were never read, at most one took effect. The one that was
//     called first can have done so whenever any other can: the others are left out;
//   - that one is left out, too, if no answer depends on it: none names its number or a later one, or a
//     conflict with its parent.
func reduceHistory(history []porcupine.Operation) []porcupine.Operation {
	known := knownVersions(history)
	firstCalled := map[uint64]int64{} // by parent, of the undecided publishes
	for _, op := range history {
		if in := op.Input.(registerOp); known.undecided(op) {
			if call, ok := firstCalled[in.parent]; !ok || op.Call < call {
				firstCalled[in.parent] = op.Call
			}
		}
	}
	var reduced []porcupine.Operation
	for _, op := range history {
		in, out := op.Input.(registerOp), op.Output.(registerAnswer)
		seen, wasSeen := known.firstSeen[in.id]
		switch {
		case in.read || !out.unknown:
			reduced = append(reduced, op)
		case wasSeen:
			op.Output = registerAnswer{number: in.parent + 1}
			op.Return = seen
			reduced = append(reduced, op)
		case known.undecided(op) && op.Call == firstCalled[in.parent]:
			reduced = append(reduced, op)
			firstCalled[in.parent] = op.Call - 1 // keeps only one of several that were called at the same time
		}
	}
	return reduced
}

// versionKnowledge is what the answers of a history show of its versions.
type versionKnowledge struct {
	firstSeen map[string]int64  // by id, when the first read of it returned
	ids       map[uint64]string // by number
	last      uint64            // the highest number in any answer
	conflicts []uint64          // parents of the publishes that were answered with a conflict
}

func knownVersions(history []porcupine.Operation) *versionKnowledge {
	k := &versionKnowledge{firstSeen: map[string]int64{}, ids: map[uint64]string{}}
	for _, op := range history {
		in, out := op.Input.(registerOp), op.Output.(registerAnswer)
		switch {
		case out.unknown:
			continue
		case out.conflict:
			k.conflicts = append(k.conflicts, in.parent)
			continue
		case in.read && out.id != "":
			if at, ok := k.firstSeen[out.id]; !ok || op.Return < at {
				k.firstSeen[out.id] = op.Return
			}
			k.ids[out.number] = out.id
		case !in.read:
			k.ids[out.number] = in.id
		}
		k.last = max(k.last, out.number)
	}
	return k
}

// undecided reports whether the history leaves open if a publish without an answer took effect, and an answer
// may depend on it.
func (k *versionKnowledge) undecided(op porcupine.Operation) bool {
	in, out := op.Input.(registerOp), op.Output.(registerAnswer)
	if in.read || !out.unknown || k.ids[in.parent+1] != "" {
		return false
	}
	if _, seen := k.firstSeen[in.id]; seen {
		return false
	}
	return k.last > in.parent || slices.Contains(k.conflicts, in.parent)
}
