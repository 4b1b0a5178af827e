// Package leasemodel checks the invariants of package lease on a model of its environment: holders request
// leases, crash and pause; messages are lost, duplicated and reordered; leaders succeed one another, and a
// former leader may still grant a request for which its leadership was confirmed. The lessor, the leases and
// the history are the production code; the environment and the checks are modelled here.
package leasemodel

import (
	"fmt"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/lease"
)

// Defect is a deliberate misuse of the production packages, by which a test shows that the checks detect it.
type Defect int

// The defects.
const (
	None              Defect = iota
	NoIntersection           // versions follow each other without the transition epoch between them
	CountFromResponse        // a lease starts when the response arrives, not when the request was sent
	NoInheritedWait          // a new leader does not wait for the leases of its predecessor
	ResumeOnRestart          // a restarted holder acts on its last version without a lease
	AssumeAdopted            // an epoch counts as adopted as soon as it is granted
	IgnoreServerRules        // the lessor does not wait for holders that use older server rules
)

// Defects maps the names of all defects to them.
var Defects = map[string]Defect{
	"no-meet":       NoIntersection,
	"from-answer":   CountFromResponse,
	"no-quiet":      NoInheritedWait,
	"back-on-start": ResumeOnRestart,
	"word-for-it":   AssumeAdopted,
	"no-word":       IgnoreServerRules,
}

// Durations of a lease; a tick of the model is 1 ms.
const (
	leaseMs       = 2
	serverRulesMs = 1
)

// maxRequestsPerHolder bounds the requests of a holder that are in flight.
const maxRequestsPerHolder = 2

// Bounds limit the events of one run.
type Bounds struct {
	Holders   int
	Versions  int
	Ticks     int
	Elections int
	Crashes   int
	Repeats   int
	Messages  int  // in flight at a time
	Drift     bool // holders' clocks are fast or slow by almost MaxClockDrift
}

// The bounds in use: CI visits all states of Small with Exhaust, the long proof those of Pairs and Complete
// too; Long is for random walks.
var (
	Small    = Bounds{Holders: 2, Versions: 2, Ticks: 2, Messages: 1}
	Pairs    = Bounds{Holders: 2, Versions: 1, Ticks: 3, Messages: 2}
	Complete = Bounds{Holders: 2, Versions: 3, Ticks: 3, Elections: 1, Crashes: 1, Messages: 1}
	Long     = Bounds{Holders: 3, Versions: 12, Ticks: 60, Elections: 6, Crashes: 6, Repeats: 10, Messages: 6, Drift: true}
)

// messageKind is the stage of a renewal.
type messageKind byte

const (
	requested messageKind = 'a' // on its way to the leader
	confirmed messageKind = 'c' // at a lessor whose leadership a majority has confirmed
	granted   messageKind = 'g' // on its way back
)

// message is a renewal in flight.
type message struct {
	kind        messageKind
	holder      int
	incarnation int
	leader      int // index of the leader of a confirmed request
	requestedAt float64
	epoch       uint64 // of the request
	grant       lease.Grant
}

// holder is a lease holder, over all incarnations of its name.
type holder struct {
	incarnation int
	lease       lease.Lease
	highest     uint64 // epoch that any incarnation acted on
	requests    int    // in flight
}

// leader is a lessor and the log that its replica has applied. The log of a former leader no longer changes.
type leader struct {
	lessor *lease.Lessor
	log    *replicatedLog
}

// world is one state of the model. The last of the leaders is the current one.
type world struct {
	now       float64
	leaders   []leader
	holders   []holder
	messages  []message
	remaining Bounds // events that may still happen
	defect    Defect
	indexDiff string // a case in which the lessor's index and its list of holders disagreed; "": none
}

func newWorld(b Bounds, d Defect) *world {
	w := &world{remaining: b, defect: d, holders: make([]holder, b.Holders)}
	w.now = -1000 // a clock may start at any value
	w.leaders = []leader{{lessor: w.newLessor(), log: newReplicatedLog()}}
	return w
}

func (w *world) newLessor() *lease.Lessor {
	if w.defect == NoInheritedWait {
		return lease.NewLessor(w.now-100*leaseMs, leaseMs, serverRulesMs)
	}
	return lease.NewLessor(w.now, leaseMs, serverRulesMs)
}

func (w *world) clone() *world {
	c := *w
	c.leaders = make([]leader, len(w.leaders))
	for i, l := range w.leaders {
		c.leaders[i] = leader{lessor: l.lessor.Clone(), log: l.log}
	}
	c.holders = slices.Clone(w.holders)
	c.messages = slices.Clone(w.messages)
	return &c
}

func (w *world) currentLeader() *leader { return &w.leaders[len(w.leaders)-1] }

// clock returns the time by a holder's own clock. Clocks are fast and slow in turn, and differ in offset.
func (w *world) clock(i int) float64 {
	rate := 1.0
	if w.remaining.Drift {
		rate += lease.MaxClockDrift * 0.99 * float64(1-2*(i%2))
	}
	return w.now*rate + float64(i)*3600
}

// fingerprint returns a text that is equal for states from which the same runs are possible.
func (w *world) fingerprint() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d,%d,%d,%d,%d|", w.remaining.Versions, w.remaining.Ticks, w.remaining.Elections,
		w.remaining.Crashes, w.remaining.Repeats)
	for i, l := range w.leaders {
		if i == len(w.leaders)-1 || w.hasConfirmedAt(i) {
			fmt.Fprintf(&b, "L%d:%v %d %s|", i, l.log.epochs, l.log.history.Last(), l.lessor.Fingerprint(w.now))
		}
	}
	for i := range w.holders {
		h := &w.holders[i]
		clock := w.clock(i)
		fmt.Fprintf(&b, "H%d,%d,%.3f,%.3f,%d,%d|", h.incarnation, h.lease.Epoch,
			max(h.lease.Until-clock, 0), max(h.lease.ServerRulesUntil-clock, 0), h.highest, h.requests)
	}
	messages := make([]string, len(w.messages))
	for i, m := range w.messages {
		messages[i] = fmt.Sprintf("%d.%d%c%d %.3f %d %d", m.holder, m.incarnation, m.kind, m.leader,
			m.requestedAt-w.clock(m.holder), m.epoch, m.grant.Epoch)
	}
	slices.Sort(messages)
	b.WriteString(strings.Join(messages, ";"))
	return b.String()
}

func (w *world) hasConfirmedAt(leader int) bool {
	return slices.ContainsFunc(w.messages, func(m message) bool { return m.kind == confirmed && m.leader == leader })
}
