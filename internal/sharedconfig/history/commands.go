package history

import (
	"errors"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Errors of Apply for a Publish or Cordon. They depend only on the log, so all replicas return the same
// error.
var (
	ErrParentMismatch = errors.New("history: the parent is not the last version")
	ErrTooManyPending = errors.New("history: too many versions wait to come in force")
	errNoCommand      = errors.New("history: a command without content")
	errNoConfig       = errors.New("rules: none given")
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Publish *Publish `json:"publish,omitempty"`
	Cordon  *Cordon  `json:"ban,omitempty"`
	// Advance is the epoch to end. If it is no longer in force, the command comes from a previous leader
	// and has no effect.
	Advance *uint64 `json:"advance,omitempty"`
}

// ID returns the id that the publisher chose for the command, "" if it has none.
func (c *Command) ID() string {
	switch {
	case c.Publish != nil:
		return c.Publish.ID
	case c.Cordon != nil:
		return c.Cordon.ID
	}
	return ""
}

// Publish appends a version. Parent must be the last one.
type Publish struct {
	ID     string               `json:"id"` // drawn by the publisher; a retry has the same
	Parent uint64               `json:"parent"`
	Config *sharedconfig.Config `json:"book"`
	Author string               `json:"author"`
	Reason string               `json:"reason"`
	AtMs   int64                `json:"at_ms"` // Unix time
}

// Cordon appends a version that differs from the last one only in whether a server is cordoned.
type Cordon struct {
	ID     string `json:"id"` // drawn by the publisher; a retry has the same
	Server string `json:"server"`
	On     bool   `json:"on"`
	Author string `json:"author"`
	AtMs   int64  `json:"at_ms"` // Unix time
}
