// Package emulator is a discrete-event emulator of what the product serves: order servers, the network, the
// roster, clients and agents, in virtual time. It has no sockets, reads no clock and starts no goroutine; the
// same seed gives the same results, to the byte. The decisions under test are the product's own module, or a
// peer written against the same events; the contract's guard is core's; the four rules are counted by the
// book that the lab's ledger uses on sockets.
package emulator

// Time is virtual time in ns from the start of a run.
type Time = int64

// The units of virtual time.
const (
	Microsecond Time = 1e3
	Millisecond Time = 1e6
	Second      Time = 1e9
)

// event is something that happens; kind tells a thing's several happenings apart.
type event interface{ fire(kind uint8) }

type scheduled struct {
	at   Time
	seq  uint64 // of two at one instant the earlier scheduled comes first
	ev   event
	kind uint8
}

func (s *scheduled) before(t *scheduled) bool {
	return s.at < t.at || s.at == t.at && s.seq < t.seq
}

// engine keeps what is to happen, in a heap of four children a node.
type engine struct {
	now   Time
	seq   uint64
	heap  []scheduled
	fired uint64
}

// after schedules an event d from now; what is past is now.
func (e *engine) after(d Time, ev event, kind uint8) { e.at(e.now+max(d, 0), ev, kind) }

func (e *engine) at(t Time, ev event, kind uint8) {
	e.seq++
	e.heap = append(e.heap, scheduled{max(t, e.now), e.seq, ev, kind})
	i := len(e.heap) - 1
	for i > 0 {
		p := (i - 1) / 4
		if !e.heap[i].before(&e.heap[p]) {
			break
		}
		e.heap[i], e.heap[p] = e.heap[p], e.heap[i]
		i = p
	}
}

// run lets things happen until a time, or until there is nothing more.
func (e *engine) run(until Time) {
	for len(e.heap) > 0 && e.heap[0].at <= until {
		x := e.heap[0]
		last := len(e.heap) - 1
		e.heap[0] = e.heap[last]
		e.heap[last] = scheduled{}
		e.heap = e.heap[:last]
		for i := 0; ; {
			least := i
			for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
				if e.heap[c].before(&e.heap[least]) {
					least = c
				}
			}
			if least == i {
				break
			}
			e.heap[i], e.heap[least] = e.heap[least], e.heap[i]
			i = least
		}
		e.now = x.at
		e.fired++
		x.ev.fire(x.kind)
	}
	e.now = max(e.now, until)
}
