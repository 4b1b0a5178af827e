// Package leasemodel checks the invariants of package lease on a model of the world around it: holders that request leases,
// crash and pause; messages that are lost, repeated and reordered; leaders that succeed one another, of which a former
// one may still grant what was confirmed for it. The lessor, the leases and the history are the product's own; the
// world and the checks are here.
package leasemodel

import (
	"fmt"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/lease"
)

// Defect is a wrong use of the product's packages that the lab seeds.
type Defect int

// The defects.
const (
	None              Defect = iota
	NoIntersection           // a change goes from version to version, without the epoch between
	CountFromResponse        // leases are counted from the response
	NoInheritedWait          // a new leader does not wait for the leases of its predecessor
	ResumeOnRestart          // a holder that restarts acts on what it had, without a lease
	AssumeAdopted            // an epoch counts as adopted once it is granted
	IgnoreServerRules        // nobody waits for a holder that uses older endpoints
)

// Defects are all defects by name.
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
	leaseMs     = 2
	endpointsMs = 1
)

// maxRequestsPerHolder bounds the requests of a holder that are under way.
const maxRequestsPerHolder = 2

// Bounds limit what may happen in one run.
type Bounds struct {
	Holders   int
	Versions  int
	Ticks     int
	Elections int
	Crashes   int
	Repeats   int
	Messages  int  // messages under way
	Drift     bool // holders' clocks run as fast and as slow as is tolerated
}

// Bounds of the runs: Exhaust visits all states of Small in CI, and of Pairs and Complete in the long proof; Long is for
// random walks.
var (
	Small    = Bounds{Holders: 2, Versions: 2, Ticks: 2, Messages: 1}
	Pairs    = Bounds{Holders: 2, Versions: 1, Ticks: 3, Messages: 2}
	Complete = Bounds{Holders: 2, Versions: 3, Ticks: 3, Elections: 1, Crashes: 1, Messages: 1}
	Long     = Bounds{Holders: 3, Versions: 12, Ticks: 60, Elections: 6, Crashes: 6, Repeats: 10, Messages: 6, Drift: true}
)

// messageKind is how far a renewal has come.
type messageKind byte

const (
	requested messageKind = 'a' // on its way to the leader
	confirmed messageKind = 'c' // at a lessor, with the leadership confirmed by a majority
	granted   messageKind = 'g' // on its way back
)

// message is a renewal under way.
type message struct {
	kind        messageKind
	holder      int
	incarnation int
	leader      int // index of the leader of a confirmed request
	requestedAt float64
	epoch       uint64 // of the request
	grant       lease.Grant
}

// holder is one name.
type holder struct {
	incarnation int
	lease       lease.Lease
	highest     uint64 // epoch that any incarnation of it acted on
	requests    int    // under way
}

// leader is a lessor and the log as its replica has applied it. The log of a former leader does not change any more.
type leader struct {
	lessor *lease.Lessor
	log    *replicatedLog
}

// world is one state of the model. The last leader leads.
type world struct {
	now       float64
	leaders   []leader
	holders   []holder
	messages  []message
	left      Bounds // what may still happen
	defect    Defect
	indexDiff string // a case in which the lessor's index and its holders disagreed; "": none
}

func newWorld(b Bounds, d Defect) *world {
	w := &world{left: b, defect: d, holders: make([]holder, b.Holders)}
	w.now = -1000 // a clock may begin anywhere
	w.leaders = []leader{{lessor: w.newLessor(), log: newReplicatedLog()}}
	return w
}

func (w *world) newLessor() *lease.Lessor {
	if w.defect == NoInheritedWait {
		return lease.NewLessor(w.now-100*leaseMs, leaseMs, endpointsMs)
	}
	return lease.NewLessor(w.now, leaseMs, endpointsMs)
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

// clock is a holder's own: one is fast, the next slow, and each began elsewhere.
func (w *world) clock(i int) float64 {
	rate := 1.0
	if w.left.Drift {
		rate += lease.MaxClockDrift * 0.99 * float64(1-2*(i%2))
	}
	return w.now*rate + float64(i)*3600
}

// fingerprint is equal for states that have the same future.
func (w *world) fingerprint() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d,%d,%d,%d,%d|", w.left.Versions, w.left.Ticks, w.left.Elections, w.left.Crashes, w.left.Repeats)
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
