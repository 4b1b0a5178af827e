// Package leasemodel checks agree's invariants on a model of the world around it: holders that ask, crash and stand
// still, messages that are lost, repeated and come in any order, leaders that follow one another and of which an old one
// may still answer what was confirmed for it. The deciders are the product's own; the world and the judge are here.
package leasemodel

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

// Defect is one that the lab seeds, each a way in which the deciders could be used wrongly.
type Defect int

// The defects.
const (
	None              Defect = iota
	NoIntersection           // a change goes from version to version, without the stage between
	CountFromResponse        // leases are counted from the answer
	NoInheritedWait          // a new leader does not wait for the leases of the old one
	ResumeOnRestart          // a holder that starts again acts on what it had, without asking
	AssumeAdopted            // a stage counts as taken up once it was granted
	IgnoreEndpoints          // nobody waits for who goes by an older word on servers
)

// Defects are all, by name.
var Defects = map[string]Defect{"no-meet": NoIntersection, "from-answer": CountFromResponse, "no-quiet": NoInheritedWait, "back-on-start": ResumeOnRestart, "word-for-it": AssumeAdopted, "no-word": IgnoreEndpoints}

// In the model a tick is a ms.
const leaseMs, listMs = 2, 1

// Bounds are how much may happen in one run.
type Bounds struct {
	Holders, Versions                       int
	Ticks, Elections, Crashes, Repeats, Msg int
	Drift                                   bool // holders' clocks run as fast and as slow as may be
}

// message is one on its way. An ask that a leader's majority has confirmed waits at that leader's desk.
type message struct {
	holder  int
	inc     int
	kind    byte // 'a' ask, 'c' confirmed at a desk, 'g' grant
	desk    int  // of a confirmed ask
	asked   float64
	has     uint64
	granted lease.Grant
}

// holder is one name.
type holder struct {
	inc   int
	lease lease.Lease
	floor uint64 // the highest stage that any start of it acted on
	asks  int    // asks that it has out
}

// leader is a desk and the log as its keeper has applied it. The log of a leader that was replaced stays as it was.
type leader struct {
	desk *lease.Lessor
	log  *log
}

// log is the keepers' book, and the stages there were in order with the word on servers of each. It is not changed but
// copied: worlds share it.
type log struct {
	book   history.History
	stages []uint64
	words  []uint64 // a number that grows where the word changes
}

func (l *log) copy() *log {
	c := *l
	c.book.Versions = slices.Clone(l.book.Versions)
	c.stages, c.words = slices.Clone(l.stages), slices.Clone(l.words)
	return &c
}

// place is where a stage stands in the order of all.
func (l *log) place(stage uint64) int { return slices.Index(l.stages, stage) }

// publish publishes one more version; each third says of servers what the one before said.
func (l *log) publish() *log {
	c := l.copy()
	n := c.book.Last() + 1
	ban := n
	if n%3 == 2 {
		ban--
	}
	if _, err := c.book.Apply(&history.Command{Publish: &history.Publish{ID: fmt.Sprint(n), Parent: n - 1, Config: &sharedconfig.Config{Cordoned: []string{fmt.Sprint(ban)}}}}); err != nil {
		panic(err)
	}
	return c
}

// advance goes to the next stage.
func (l *log) advance(d Defect) *log {
	c := l.copy()
	for range 2 {
		var was, now *sharedconfig.Config
		if t := c.book.Transition(); t != nil {
			was = t.Config
		}
		stage := c.book.Epoch
		c.book.Apply(&history.Command{Advance: &stage})
		now = c.book.Transition().Config
		word := c.words[len(c.words)-1]
		if was == nil || !was.SameEndpoints(now) {
			word++
		}
		c.stages, c.words = append(c.stages, c.book.Epoch), append(c.words, word)
		if d != NoIntersection || c.book.Epoch%2 == 0 {
			break
		}
	}
	return c
}

// world is one state of the model. The last leader leads.
type world struct {
	now     float64
	leaders []leader
	holders []holder
	msgs    []message
	left    Bounds
	defect  Defect
	differs string // where the desk's index and its holders gave two answers
}

func (l *log) wordsBut(d Defect) lease.EndpointsChanged {
	return func(from, to uint64) bool { return d != IgnoreEndpoints && l.book.EndpointsChanged(from, to) }
}

func start(b Bounds, d Defect) *world {
	w := &world{left: b, defect: d, holders: make([]holder, b.Holders)}
	w.now = -1000 // a clock may begin anywhere
	w.leaders = []leader{{w.desk(), &log{stages: []uint64{0}, words: []uint64{0}}}}
	return w
}

func (w *world) desk() *lease.Lessor {
	if w.defect == NoInheritedWait {
		return lease.NewLessor(w.now-100*leaseMs, leaseMs, listMs)
	}
	return lease.NewLessor(w.now, leaseMs, listMs)
}

func (w *world) clone() *world {
	c := *w
	c.leaders = make([]leader, len(w.leaders))
	for i, l := range w.leaders {
		c.leaders[i] = leader{l.desk.Clone(), l.log}
	}
	c.holders, c.msgs = slices.Clone(w.holders), slices.Clone(w.msgs)
	return &c
}

// clock is a holder's own: one runs fast, the next slow, and each began elsewhere.
func (w *world) clock(i int) float64 {
	rate := 1.0
	if w.left.Drift {
		rate += lease.MaxClockDrift * 0.99 * float64(1-2*(i%2))
	}
	return w.now*rate + float64(i)*3600
}

// key is the state in words, the same for states that can't be told apart by what comes.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d,%d,%d,%d,%d|", w.left.Versions, w.left.Ticks, w.left.Elections, w.left.Crashes, w.left.Repeats)
	for i, l := range w.leaders {
		last := i == len(w.leaders)-1
		if last || slices.ContainsFunc(w.msgs, func(m message) bool { return m.kind == 'c' && m.desk == i }) {
			fmt.Fprintf(&b, "L%d:%v %d %s|", i, l.log.stages, l.log.book.Last(), l.desk.Fingerprint(w.now))
		}
	}
	for i := range w.holders {
		h := &w.holders[i]
		fmt.Fprintf(&b, "H%d,%d,%.3f,%.3f,%d,%d|", h.inc, h.lease.Epoch, max(h.lease.Until-w.clock(i), 0), max(h.lease.EndpointsUntil-w.clock(i), 0), h.floor, h.asks)
	}
	words := make([]string, len(w.msgs))
	for i, m := range w.msgs {
		words[i] = fmt.Sprintf("%d.%d%c%d %.3f %d %d", m.holder, m.inc, m.kind, m.desk, m.asked-w.clock(m.holder), m.has, m.granted.Epoch)
	}
	slices.Sort(words)
	b.WriteString(strings.Join(words, ";"))
	return b.String()
}

// step is something that can happen.
type step struct {
	name string
	do   func(w *world)
}

func (w *world) steps() (out []step) {
	lead := len(w.leaders) - 1
	add := func(name string, do func(w *world)) { out = append(out, step{name, do}) }
	if w.left.Ticks > 0 {
		add("tick", func(w *world) { w.left.Ticks--; w.now++ })
	}
	for i := range w.holders {
		h := &w.holders[i]
		if len(w.msgs) < w.left.Msg && h.asks < 2 {
			add(fmt.Sprintf("ask %d", i), func(w *world) {
				h := &w.holders[i]
				h.asks++
				w.msgs = append(w.msgs, message{holder: i, inc: h.inc, kind: 'a', asked: w.clock(i), has: h.lease.Epoch})
			})
		}
		if w.left.Crashes > 0 && (h.lease.Epoch > 0 || h.asks > 0) {
			add(fmt.Sprintf("crash %d", i), func(w *world) {
				w.left.Crashes--
				h := &w.holders[i]
				was := h.lease
				h.inc, h.lease, h.asks = h.inc+1, lease.Lease{}, 0
				if w.defect == ResumeOnRestart {
					h.lease = lease.Lease{Epoch: was.Epoch - was.Epoch%2, Until: w.clock(i) + leaseMs, EndpointsUntil: w.clock(i) + leaseMs, Granted: true}
				}
			})
		}
	}
	for m := range w.msgs {
		msg := w.msgs[m]
		name := fmt.Sprintf("%c of %d.%d", msg.kind, msg.holder, msg.inc)
		add("deliver "+name, func(w *world) { w.take(m); w.deliver(msg) })
		if w.left.Repeats > 0 && msg.kind != 'c' {
			add("repeat "+name, func(w *world) { w.left.Repeats--; w.deliver(msg) })
		}
		if msg.kind != 'c' {
			add("lose "+name, func(w *world) {
				w.take(m)
				if msg.inc == w.holders[msg.holder].inc {
					w.holders[msg.holder].asks--
				}
			})
		}
	}
	if w.left.Elections > 0 {
		add("elect", func(w *world) {
			w.left.Elections--
			w.leaders = append(w.leaders, leader{w.desk(), w.leaders[len(w.leaders)-1].log})
		})
	}
	// The leader has what comes next committed and applied; the others may not know yet.
	l := &w.leaders[lead]
	if w.left.Versions > 0 {
		add("publish", func(w *world) {
			w.left.Versions--
			l := &w.leaders[len(w.leaders)-1]
			l.log = l.log.publish()
		})
	}
	if l.log.book.CanAdvance() {
		may := l.desk.MayAdvance(w.now, l.log.book.Epoch, l.log.wordsBut(w.defect))
		if blockers := l.desk.Next(w.now, l.log.book.Epoch, l.log.wordsBut(w.defect)); blockers.None() != may && w.differs == "" {
			w.differs = fmt.Sprintf("whether epoch %d may end: %v by the index, blocked by %v", l.log.book.Epoch, may, blockers.Holders)
		}
		if may {
			add("advance", func(w *world) {
				l := &w.leaders[len(w.leaders)-1]
				l.log = l.log.advance(w.defect)
			})
		}
	}
	return out
}

func (w *world) take(m int) { w.msgs = slices.Delete(w.msgs, m, m+1) }

func (w *world) deliver(m message) {
	lead := len(w.leaders) - 1
	of := lease.Request{Holder: lease.Holder{Name: fmt.Sprint(m.holder), Incarnation: fmt.Sprint(m.inc)}, Epoch: m.has}
	switch m.kind {
	case 'a': // the majority's word is had at the moment the ask is there; what comes of it may come much later
		w.leaders[lead].desk.Observe(w.now, of)
		m.kind, m.desk = 'c', lead
		w.msgs = append(w.msgs, m)
	case 'c':
		l := &w.leaders[m.desk]
		g, ok := l.desk.Grant(w.now, of, l.log.book.Epoch)
		if !ok {
			if m.inc == w.holders[m.holder].inc {
				w.holders[m.holder].asks--
			}
			return
		}
		if w.defect == AssumeAdopted {
			of.Epoch = g.Epoch
			l.desk.Observe(w.now, of)
		}
		m.kind, m.granted = 'g', g
		w.msgs = append(w.msgs, m)
	case 'g':
		h := &w.holders[m.holder]
		if m.inc != h.inc {
			return // the process that asked is gone, and its connection with it
		}
		h.asks = max(h.asks-1, 0)
		asked := m.asked
		if w.defect == CountFromResponse {
			asked = w.clock(m.holder)
		}
		h.lease.Accept(asked, w.clock(m.holder), m.granted)
	}
}

// judge says which invariant does not hold; "": all do.
func (w *world) judge() string {
	if w.differs != "" {
		return w.differs
	}
	l := w.leaders[len(w.leaders)-1].log // has every stage there ever was
	low, high := len(l.stages), 0
	least, most := uint64(1<<62), uint64(0)
	for i := range w.holders {
		h := &w.holders[i]
		if h.lease.HoldsEndpoints(w.clock(i)) {
			word := l.words[l.place(h.lease.Epoch)]
			least, most = min(least, word), max(most, word)
		}
		if !h.lease.Holds(w.clock(i)) {
			continue
		}
		low, high = min(low, l.place(h.lease.Epoch)), max(high, l.place(h.lease.Epoch))
		if h.lease.Epoch < h.floor {
			return fmt.Sprintf("invariant 2: holder %d acts on stage %d and did on %d", i, h.lease.Epoch, h.floor)
		}
		h.floor = h.lease.Epoch
	}
	if low < high && high-low > 1 {
		return fmt.Sprintf("invariant 1: stages %d and %d are acted on", l.stages[low], l.stages[high])
	}
	if least < most && most-least > 1 {
		return fmt.Sprintf("invariant 1: words %d and %d on servers are gone by", least, most)
	}
	return ""
}

// Violation is a run that broke an invariant.
type Violation struct {
	Reason string
	Steps  []string
}

// Exhaust visits every state within the bounds, most at the most, and returns how many there were, whether that were
// all, and the first that breaks an invariant.
func Exhaust(b Bounds, d Defect, most int) (states int, all bool, found *Violation) {
	type node struct {
		w    *world
		path []string
	}
	first := start(b, d)
	// By hash: of a million states two share one of 128 bits with a chance under 1e-26.
	hash := func(w *world) [16]byte {
		sum := sha256.Sum256([]byte(w.key()))
		return [16]byte(sum[:16])
	}
	seen := map[[16]byte]struct{}{hash(first): {}}
	queue := []node{{first, nil}}
	for len(queue) > 0 {
		n := queue[len(queue)-1] // depth first: memory stays small, and all are visited
		queue = queue[:len(queue)-1]
		for _, s := range n.w.steps() {
			next := n.w.clone()
			s.do(next)
			why := next.judge()
			path := append(slices.Clip(n.path), s.name)
			if why != "" {
				return len(seen), false, &Violation{why, path}
			}
			k := hash(next)
			if _, known := seen[k]; known {
				continue
			}
			if len(seen) >= most {
				return len(seen), false, nil
			}
			seen[k] = struct{}{}
			queue = append(queue, node{next, path})
		}
	}
	return len(seen), true, nil
}

// Random walks runs of steps each, drawn from a seed, and returns how many steps were made and the first run that breaks
// an invariant.
func Random(b Bounds, d Defect, runs, steps int, seed uint64) (made int, found *Violation) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range runs {
		w := start(b, d)
		var path []string
		for range steps {
			all := w.steps()
			if len(all) == 0 {
				break
			}
			s := all[rng.IntN(len(all))]
			s.do(w)
			if s.name == "tick" {
				w.now += rng.Float64() - 0.5 // not on the beat
			}
			path = append(path, s.name)
			made++
			if why := w.judge(); why != "" {
				return made, &Violation{why, path}
			}
		}
	}
	return made, nil
}

// Small is what Exhaust visits whole in CI, Pairs and Complete what the long proof does; Long is for random walks.
var (
	Small    = Bounds{Holders: 2, Versions: 2, Ticks: 2, Msg: 1}
	Pairs    = Bounds{Holders: 2, Versions: 1, Ticks: 3, Msg: 2}
	Complete = Bounds{Holders: 2, Versions: 3, Ticks: 3, Elections: 1, Crashes: 1, Msg: 1}
	Long     = Bounds{Holders: 3, Versions: 12, Ticks: 60, Elections: 6, Crashes: 6, Repeats: 10, Msg: 6, Drift: true}
)
