// Package history implements the state machine of the replicated log: the versions of the shared
// configuration and the epoch in force. All replicas apply the same commands in the same order. The package
// is pure: it has no I/O and no clock.
//
// Together with the log it ensures invariant 3 of package lease: no acknowledged version is lost or
// changed, has two numbers or is published twice.
package history

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/internal/sharedconfig/intersect"
)

const (
	// MaxVersions bounds the versions that a History retains, unless an epoch in use needs more.
	MaxVersions = 512
	// MaxRetainedBytes bounds their configurations in the same way, as sharedconfig.Config.EncodedBytes counts them.
	// 512 versions of 3,200 servers with ids of 100 bytes fit.
	MaxRetainedBytes = 256 << 20
	// MaxPendingVersions bounds the versions that are published but not yet in force.
	MaxPendingVersions = 16
)

// maxRetainedBytes is MaxRetainedBytes, but for tests.
var maxRetainedBytes = MaxRetainedBytes

// History is the state produced by the commands of the log. It is not safe for concurrent use.
type History struct {
	Epoch    uint64                 `json:"stage"`
	Versions []sharedconfig.Version `json:"versions"` // the retained ones, by number without gaps
	Dropped  uint64                 `json:"dropped"`  // number of versions before Versions[0]

	sizes map[uint64]int // EncodedBytes of the retained configurations, by number, as far as they were needed
}

// Clone returns a copy that further commands do not change. It shares the configurations, which are never changed.
func (h *History) Clone() History {
	return History{Epoch: h.Epoch, Versions: slices.Clone(h.Versions), Dropped: h.Dropped}
}

// Last returns the number of the newest version; 0 if there is none.
func (h *History) Last() uint64 { return h.Dropped + uint64(len(h.Versions)) }

// Version returns a version by number; nil if it does not exist or is no longer retained.
func (h *History) Version(number uint64) *sharedconfig.Version {
	if number <= h.Dropped || number > h.Last() {
		return nil
	}
	return &h.Versions[number-h.Dropped-1]
}

// config returns the content of a version; nil if Version returns nil.
func (h *History) config(number uint64) *sharedconfig.Config {
	if v := h.Version(number); v != nil {
		return v.Config
	}
	return nil
}

// CanAdvance reports whether there is an epoch after the one in force.
func (h *History) CanAdvance() bool { return h.Epoch < sharedconfig.EpochOf(h.Last()) }

// Apply applies one command. For a Publish or Cordon it returns the version that the command, or an earlier
// one with the same ID, has produced (invariant 3). A command that returns an error has no effect.
func (h *History) Apply(command *Command) (*sharedconfig.Version, error) {
	switch {
	case command.Advance != nil:
		if *command.Advance == h.Epoch && h.CanAdvance() {
			h.advance()
		}
		return nil, nil
	case command.Cordon != nil:
		return h.cordon(command.Cordon)
	case command.Publish != nil:
		return h.publish(command.Publish)
	}
	return nil, errNoCommand
}

// advance starts the next epoch. If a version is in force, that is the transition to the newest version
// that CheckTransition permits; pending versions before it are skipped.
func (h *History) advance() {
	if h.Epoch%2 == 1 {
		h.Epoch++
		return
	}
	from := h.Epoch / 2
	to := h.Last()
	for to > from+1 && intersect.CheckTransition(h.config(from), h.config(to)) != nil {
		to--
	}
	version := h.Version(to)
	version.From = from
	version.Transitioned = true
	h.Epoch = sharedconfig.EpochOf(to) - 1
}

func (h *History) findByID(id string) *sharedconfig.Version {
	for i := range h.Versions {
		if h.Versions[i].ID == id {
			return &h.Versions[i]
		}
	}
	return nil
}

func (h *History) publish(p *Publish) (*sharedconfig.Version, error) {
	if v := h.findByID(p.ID); v != nil {
		return v, nil // invariant 3: a retry
	}
	if p.Parent != h.Last() {
		return nil, fmt.Errorf("%w: it is %d, the last is %d", ErrParentMismatch, p.Parent, h.Last())
	}
	if h.Last()-h.Epoch/2 >= MaxPendingVersions {
		return nil, ErrTooManyPending
	}
	if p.Config == nil {
		return nil, errNoConfig
	}
	if err := p.Config.Check(); err != nil {
		return nil, err
	}
	if err := intersect.CheckTransition(h.config(p.Parent), p.Config); err != nil {
		return nil, err
	}
	h.Versions = append(h.Versions, sharedconfig.Version{
		Number: h.Last() + 1,
		Parent: p.Parent,
		Digest: p.Config.Digest(),
		ID:     p.ID,
		Author: p.Author,
		Reason: p.Reason,
		AtMs:   p.AtMs,
		Config: p.Config,
	})
	h.trim()
	return h.Version(h.Last()), nil
}

func (h *History) cordon(c *Cordon) (*sharedconfig.Version, error) {
	if v := h.findByID(c.ID); v != nil {
		return v, nil // invariant 3: a retry
	}
	last := h.config(h.Last())
	if last == nil {
		last = &sharedconfig.Config{}
	}
	next := last.Clone()
	next.Cordoned = slices.DeleteFunc(next.Cordoned, func(id string) bool { return id == c.Server })
	reason := "uncordon " + c.Server
	if c.On {
		next.Cordoned = append(next.Cordoned, c.Server)
		reason = "cordon " + c.Server
	}
	return h.publish(&Publish{ID: c.ID, Parent: h.Last(), Config: next, Author: c.Author, Reason: reason, AtMs: c.AtMs})
}

// oldestInUse returns the oldest version that the epoch in force, or the one acted on before it, was
// computed from.
func (h *History) oldestInUse() uint64 {
	number := (h.Epoch + 1) / 2
	for range 2 {
		if v := h.Version(number); v != nil && v.Transitioned {
			number = v.From
		}
	}
	return number
}

// trim drops the oldest versions beyond MaxVersions and MaxRetainedBytes, except those that the current or a later epoch
// needs.
func (h *History) trim() {
	retained := h.retainedBytes()
	for (len(h.Versions) > MaxVersions || retained > maxRetainedBytes) && h.Versions[0].Number+1 < h.oldestInUse() {
		retained -= h.sizeOf(&h.Versions[0])
		delete(h.sizes, h.Versions[0].Number)
		h.Versions = slices.Delete(h.Versions, 0, 1)
		h.Dropped++
	}
}

// retainedBytes returns the sum of sizeOf for all retained versions.
func (h *History) retainedBytes() (total int) {
	for i := range h.Versions {
		total += h.sizeOf(&h.Versions[i])
	}
	return total
}

// sizeOf returns EncodedBytes of the configuration of a retained version.
func (h *History) sizeOf(v *sharedconfig.Version) int {
	size, known := h.sizes[v.Number]
	if !known && v.Config != nil {
		if h.sizes == nil {
			h.sizes = map[uint64]int{}
		}
		size = v.Config.EncodedBytes()
		h.sizes[v.Number] = size
	}
	return size
}
