package agree

import (
	"errors"
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/rulebook"
	"ringtrack.example/ringtrack/internal/rulebook/meet"
)

const (
	// MostHistory bounds the versions that are kept; older ones are in snapshots of before, if anywhere.
	MostHistory = 512
	// MostAhead bounds versions published and not yet in force.
	MostAhead = 16
)

// The errors of a publish. They are decided where the log is applied, so that all keepers decide the same.
var (
	ErrParent = errors.New("agree: the parent is not the last version")
	ErrAhead  = errors.New("agree: too many versions wait to come in force")
)

// Op is one entry of the log. Exactly one of its parts is set.
type Op struct {
	Publish *Publish `json:"publish,omitempty"`
	Ban     *Ban     `json:"ban,omitempty"`
	// Advance makes the stage behind this one the one in force. One that names another is from a leader of before.
	Advance *uint64 `json:"advance,omitempty"`
}

// Publish is a new version behind Parent.
type Publish struct {
	ID     string         `json:"id"` // drawn by the publisher; a second try bears the same
	Parent uint64         `json:"parent"`
	Book   *rulebook.Book `json:"book"`
	Author string         `json:"author"`
	Reason string         `json:"reason"`
	AtMs   int64          `json:"at_ms"`
}

// Ban is a new version that differs from the last one in a server's ban only.
type Ban struct {
	ID     string `json:"id"`
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
	AtMs   int64  `json:"at_ms"`
}

// Book is the log's state: the versions, and the stage in force. It belongs to one goroutine.
type Book struct {
	Stage    uint64             `json:"stage"`
	Versions []rulebook.Version `json:"versions"` // by number, all from 1 on that are kept
	Dropped  uint64             `json:"dropped"`  // versions before Versions[0]
}

// Last is the number of the newest version; 0: there is none.
func (b *Book) Last() uint64 { return b.Dropped + uint64(len(b.Versions)) }

// Version returns one by number; nil: there is none, or it is no longer kept.
func (b *Book) Version(n uint64) *rulebook.Version {
	if n <= b.Dropped || n > b.Last() {
		return nil
	}
	return &b.Versions[n-b.Dropped-1]
}

// book is a version's content, nil before the first.
func (b *Book) book(n uint64) *rulebook.Book {
	if v := b.Version(n); v != nil {
		return v.Book
	}
	return nil
}

// between makes the step between two versions.
var between = meet.Meet

// Terms are what is permitted at the stage in force; nil at stage 0.
func (b *Book) Terms() *rulebook.Terms {
	switch n := b.Stage / 2; {
	case b.Stage == 0:
		return nil
	case b.Stage%2 == 0:
		return &rulebook.Terms{Stage: b.Stage, Book: b.book(n)}
	default:
		return &rulebook.Terms{Stage: b.Stage, Book: between(b.book(b.Version(n+1).From), b.book(n+1))}
	}
}

// Basis is what terms are made of: the stage, and the digests of the versions that it stands between ("": none). Books
// with the same basis have the same terms, as no version changes (invariant 3).
type Basis struct {
	Stage    uint64
	From, To string
}

// Basis returns that of Terms as they are now.
func (b *Book) Basis() Basis {
	to := b.Version((b.Stage + 1) / 2)
	if to == nil {
		return Basis{Stage: b.Stage}
	}
	out := Basis{Stage: b.Stage, To: to.Digest}
	if b.Stage%2 == 1 {
		if from := b.Version(to.From); from != nil {
			out.From = from.Digest
		}
	}
	return out
}

// Words tells whether the word on servers changes anywhere from one stage to a later one; it is one of agree's Words.
func (b *Book) Words(from, to uint64) bool {
	if from/2 < b.Dropped || from == 0 && to > 0 {
		return true // not known any more, or each agent's own
	}
	first := from / 2
	// A stage that is a step, or was never in force, stands for the version that was gone on from there.
	for n := (from + 1) / 2; n <= b.Last(); n++ {
		if v := b.Version(n); v != nil && v.Stepped {
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
		if x, y := b.book(n), b.book(n+1); x == nil || y == nil || !x.SameWord(y) {
			return true
		}
	}
	return false
}

// Wants tells whether there is a stage to go to.
func (b *Book) Wants() bool { return b.Stage < rulebook.Stage(b.Last()) }

// Apply changes the book by one entry. For a publish or a ban it returns the version that came of it, also where an
// earlier entry of the same ID already made it (invariant 3).
func (b *Book) Apply(op *Op) (*rulebook.Version, error) {
	switch {
	case op.Advance != nil:
		if *op.Advance == b.Stage && b.Wants() {
			b.advance()
		}
		return nil, nil
	case op.Ban != nil:
		return b.ban(op.Ban)
	case op.Publish != nil:
		return b.publish(op.Publish)
	}
	return nil, fmt.Errorf("agree: an entry without content")
}

// advance goes to the next stage. From a version it is the step to the last one that the step leaves enough room to; of
// those that were published meanwhile the others are passed over.
func (b *Book) advance() {
	if b.Stage%2 == 1 {
		b.Stage++
		return
	}
	from, to := b.Stage/2, b.Last()
	for to > from+1 && meet.Refuse(b.book(from), b.book(to)) != nil {
		to--
	}
	v := b.Version(to)
	v.From, v.Stepped = from, true
	b.Stage = rulebook.Stage(to) - 1
}

func (b *Book) done(id string) *rulebook.Version {
	for i := range b.Versions {
		if b.Versions[i].ID == id {
			return &b.Versions[i]
		}
	}
	return nil
}

func (b *Book) publish(p *Publish) (*rulebook.Version, error) {
	if v := b.done(p.ID); v != nil {
		return v, nil
	}
	if p.Parent != b.Last() {
		return nil, fmt.Errorf("%w: it is %d, the last is %d", ErrParent, p.Parent, b.Last())
	}
	if b.Last()-b.Stage/2 >= MostAhead {
		return nil, ErrAhead
	}
	if p.Book == nil {
		return nil, fmt.Errorf("rules: none given")
	}
	if err := p.Book.Check(); err != nil {
		return nil, err
	}
	if err := meet.Refuse(b.book(p.Parent), p.Book); err != nil {
		return nil, err
	}
	b.Versions = append(b.Versions, rulebook.Version{Number: b.Last() + 1, Parent: p.Parent, Digest: p.Book.Digest(), ID: p.ID,
		Author: p.Author, Reason: p.Reason, AtMs: p.AtMs, Book: p.Book})
	b.trim()
	return b.Version(b.Last()), nil
}

func (b *Book) ban(o *Ban) (*rulebook.Version, error) {
	if v := b.done(o.ID); v != nil {
		return v, nil
	}
	book := b.book(b.Last())
	if book == nil {
		book = &rulebook.Book{}
	}
	next := book.Clone()
	next.Bans = slices.DeleteFunc(next.Bans, func(id string) bool { return id == o.Server })
	if o.On {
		next.Bans = append(next.Bans, o.Server)
	}
	reason := "uncordon " + o.Server
	if o.On {
		reason = "cordon " + o.Server
	}
	return b.publish(&Publish{ID: o.ID, Parent: b.Last(), Book: next, Author: o.Author, Reason: reason, AtMs: o.AtMs})
}

// inUse is the oldest version that what is in force, or acted on just before, was made of.
func (b *Book) inUse() uint64 {
	n := (b.Stage + 1) / 2
	for range 2 {
		if v := b.Version(n); v != nil && v.Stepped {
			n = v.From
		}
	}
	return n
}

// trim drops the oldest versions, never one that a stage in force or to come needs.
func (b *Book) trim() {
	for len(b.Versions) > MostHistory && b.Versions[0].Number+1 < b.inUse() {
		b.Versions = slices.Delete(b.Versions, 0, 1)
		b.Dropped++
	}
}
