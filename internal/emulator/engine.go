// Package emulator is a discrete-event simulator of agents and their environment: servers, the network, the
// discovery service and clients. It runs in virtual time: it opens no sockets, reads no clock and starts no
// goroutine. The same seed gives byte-identical results. Decisions are made by the product's balancer or by
// another one with the same events and actions. The guard of internal/core checks each attempt before it is
// sent, and internal/invariant checks the rules of the contract.
package emulator

// Time is virtual time in ns from the start of a run.
type Time = int64

// The units of virtual time.
const (
	Microsecond Time = 1e3
	Millisecond Time = 1e6
	Second      Time = 1e9
)

// event is called by the engine at its scheduled time. kind distinguishes the events of one object.
type event interface{ fire(kind uint8) }

type scheduled struct {
	at   Time
	seq  uint64 // order of scheduling; breaks ties between events at the same time
	ev   event
	kind uint8
}

func (s *scheduled) before(t *scheduled) bool {
	return s.at < t.at || s.at == t.at && s.seq < t.seq
}

// heapArity is the number of children of a heap node.
const heapArity = 4

// engine is the event queue and the virtual clock. Scheduled events are in a 4-ary heap.
type engine struct {
	now   Time
	seq   uint64
	heap  []scheduled
	fired uint64
}

// after schedules an event after a delay; a negative delay counts as 0.
func (e *engine) after(d Time, ev event, kind uint8) { e.at(e.now+max(d, 0), ev, kind) }

// at schedules an event at a time; a time in the past counts as now.
func (e *engine) at(t Time, ev event, kind uint8) {
	e.seq++
	e.heap = append(e.heap, scheduled{max(t, e.now), e.seq, ev, kind})
	e.siftUp(len(e.heap) - 1)
}

// run fires all events up to and including a time, and advances the clock to it.
func (e *engine) run(until Time) {
	for len(e.heap) > 0 && e.heap[0].at <= until {
		next := e.pop()
		e.now = next.at
		e.fired++
		next.ev.fire(next.kind)
	}
	e.now = max(e.now, until)
}

// pop removes and returns the earliest event.
func (e *engine) pop() scheduled {
	first := e.heap[0]
	last := len(e.heap) - 1
	e.heap[0] = e.heap[last]
	e.heap[last] = scheduled{} // drop the reference to the event
	e.heap = e.heap[:last]
	e.siftDown(0)
	return first
}

func (e *engine) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.heap[i].before(&e.heap[parent]) {
			return
		}
		e.heap[i], e.heap[parent] = e.heap[parent], e.heap[i]
		i = parent
	}
}

func (e *engine) siftDown(i int) {
	for {
		first := i
		children := heapArity*i + 1
		for child := children; child < min(children+heapArity, len(e.heap)); child++ {
			if e.heap[child].before(&e.heap[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		e.heap[i], e.heap[first] = e.heap[first], e.heap[i]
		i = first
	}
}
