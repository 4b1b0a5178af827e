package lease

import (
	"errors"
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/intersect"
)

const (
	// MaxVersions bounds the versions that are kept; older ones are in snapshots of before, if anywhere.
	MaxVersions = 512
	// MaxPendingVersions bounds versions published and not yet in force.
	MaxPendingVersions = 16
)

// The errors of a publish. They are decided where the log is applied, so that all keepers decide the same.
var (
	ErrParentMismatch = errors.New("agree: the parent is not the last version")
	ErrTooManyPending = errors.New("agree: too many versions wait to come in force")
)

// Command is one entry of the log. Exactly one of its parts is set.
type Command struct {
	Publish *Publish `json:"publish,omitempty"`
	Cordon  *Cordon  `json:"ban,omitempty"`
	// Advance makes the stage behind this one the one in force. One that names another is from a leader of before.
	Advance *uint64 `json:"advance,omitempty"`
}

// Publish is a new version behind Parent.
type Publish struct {
	ID     string               `json:"id"` // drawn by the publisher; a second try bears the same
	Parent uint64               `json:"parent"`
	Config *sharedconfig.Config `json:"book"`
	Author string               `json:"author"`
	Reason string               `json:"reason"`
	AtMs   int64                `json:"at_ms"`
}

// Cordon is a new version that differs from the last one in a server's ban only.
type Cordon struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
	AtMs   int64  `json:"at_ms"`
}

// History is the log's state: the versions, and the stage in force. It belongs to one goroutine.
type History struct {
	Epoch    uint64                 `json:"stage"`
	Versions []sharedconfig.Version `json:"versions"` // by number, all from 1 on that are kept
	Dropped  uint64                 `json:"dropped"`  // versions before Versions[0]
}

// Last is the number of the newest version; 0: there is none.
func (b *History) Last() uint64 { return b.Dropped + uint64(len(b.Versions)) }

// Version returns one by number; nil: there is none, or it is no longer kept.
func (b *History) Version(n uint64) *sharedconfig.Version {
	if n <= b.Dropped || n > b.Last() {
		return nil
	}
	return &b.Versions[n-b.Dropped-1]
}

// book is a version's content, nil before the first.
func (b *History) book(n uint64) *sharedconfig.Config {
	if v := b.Version(n); v != nil {
		return v.Config
	}
	return nil
}

// between makes the step between two versions.
var between = intersect.Intersect

// Transition are what is permitted at the stage in force; nil at stage 0.
func (b *History) Transition() *sharedconfig.Transition {
	switch n := b.Epoch / 2; {
	case b.Epoch == 0:
		return nil
	case b.Epoch%2 == 0:
		return &sharedconfig.Transition{Epoch: b.Epoch, Config: b.book(n)}
	default:
		return &sharedconfig.Transition{Epoch: b.Epoch, Config: between(b.book(b.Version(n+1).From), b.book(n+1))}
	}
}

// Source is what terms are made of: the stage, and the digests of the versions that it stands between ("": none). Books
// with the same basis have the same terms, as no version changes (invariant 3).
type Source struct {
	Epoch    uint64
	From, To string
}

// Source returns that of Terms as they are now.
func (b *History) Source() Source {
	to := b.Version((b.Epoch + 1) / 2)
	if to == nil {
		return Source{Epoch: b.Epoch}
	}
	out := Source{Epoch: b.Epoch, To: to.Digest}
	if b.Epoch%2 == 1 {
		if from := b.Version(to.From); from != nil {
			out.From = from.Digest
		}
	}
	return out
}

// EndpointsChanged tells whether the word on servers changes anywhere from one stage to a later one; it is one of agree's EndpointsChanged.
func (b *History) EndpointsChanged(from, to uint64) bool {
	if from/2 < b.Dropped || from == 0 && to > 0 {
		return true // not known any more, or each agent's own
	}
	first := from / 2
	// A stage that is a step, or was never in force, stands for the version that was gone on from there.
	for n := (from + 1) / 2; n <= b.Last(); n++ {
		if v := b.Version(n); v != nil && v.Transitioned {
			if n != first {
				first = v.From
			}
			break
		}
	}
	if first < b.Dropped || first == 0 {
		return true
	}
	for n := first; n < (to+1)/2; n++ {
		if x, y := b.book(n), b.book(n+1); x == nil || y == nil || !x.SameEndpoints(y) {
			return true
		}
	}
	return false
}

// CanAdvance tells whether there is a stage to go to.
func (b *History) CanAdvance() bool { return b.Epoch < sharedconfig.EpochOf(b.Last()) }

// Apply changes the book by one entry. For a publish or a ban it returns the version that came of it, also where an
// earlier entry of the same ID already made it (invariant 3).
func (b *History) Apply(op *Command) (*sharedconfig.Version, error) {
	switch {
	case op.Advance != nil:
		if *op.Advance == b.Epoch && b.CanAdvance() {
			b.advance()
		}
		return nil, nil
	case op.Cordon != nil:
		return b.ban(op.Cordon)
	case op.Publish != nil:
		return b.publish(op.Publish)
	}
	return nil, fmt.Errorf("agree: an entry without content")
}

// advance goes to the next stage. From a version it is the step to the last one that the step leaves enough room to; of
// those that were published meanwhile the others are passed over.
func (b *History) advance() {
	if b.Epoch%2 == 1 {
		b.Epoch++
		return
	}
	from, to := b.Epoch/2, b.Last()
	for to > from+1 && intersect.CheckTransition(b.book(from), b.book(to)) != nil {
		to--
	}
	v := b.Version(to)
	v.From, v.Transitioned = from, true
	b.Epoch = sharedconfig.EpochOf(to) - 1
}

func (b *History) done(id string) *sharedconfig.Version {
	for i := range b.Versions {
		if b.Versions[i].ID == id {
			return &b.Versions[i]
		}
	}
	return nil
}

func (b *History) publish(p *Publish) (*sharedconfig.Version, error) {
	if v := b.done(p.ID); v != nil {
		return v, nil
	}
	if p.Parent != b.Last() {
		return nil, fmt.Errorf("%w: it is %d, the last is %d", ErrParentMismatch, p.Parent, b.Last())
	}
	if b.Last()-b.Epoch/2 >= MaxPendingVersions {
		return nil, ErrTooManyPending
	}
	if p.Config == nil {
		return nil, fmt.Errorf("rules: none given")
	}
	if err := p.Config.Check(); err != nil {
		return nil, err
	}
	if err := intersect.CheckTransition(b.book(p.Parent), p.Config); err != nil {
		return nil, err
	}
	b.Versions = append(b.Versions, sharedconfig.Version{Number: b.Last() + 1, Parent: p.Parent, Digest: p.Config.Digest(), ID: p.ID,
		Author: p.Author, Reason: p.Reason, AtMs: p.AtMs, Config: p.Config})
	b.trim()
	return b.Version(b.Last()), nil
}

func (b *History) ban(o *Cordon) (*sharedconfig.Version, error) {
	if v := b.done(o.ID); v != nil {
		return v, nil
	}
	book := b.book(b.Last())
	if book == nil {
		book = &sharedconfig.Config{}
	}
	next := book.Clone()
	next.Cordoned = slices.DeleteFunc(next.Cordoned, func(id string) bool { return id == o.Server })
	if o.On {
		next.Cordoned = append(next.Cordoned, o.Server)
	}
	reason := "uncordon " + o.Server
	if o.On {
		reason = "cordon " + o.Server
	}
	return b.publish(&Publish{ID: o.ID, Parent: b.Last(), Config: next, Author: o.Author, Reason: reason, AtMs: o.AtMs})
}

// inUse is the oldest version that what is in force, or acted on just before, was made of.
func (b *History) inUse() uint64 {
	n := (b.Epoch + 1) / 2
	for range 2 {
		if v := b.Version(n); v != nil && v.Transitioned {
			n = v.From
		}
	}
	return n
}

// trim drops the oldest versions, never one that a stage in force or to come needs.
func (b *History) trim() {
	for len(b.Versions) > MaxVersions && b.Versions[0].Number+1 < b.inUse() {
		b.Versions = slices.Delete(b.Versions, 0, 1)
		b.Dropped++
	}
}
