// Package ephemeral is the membership source that follows the ephemeral nodes of a registry that speaks
// ZooKeeper's protocol: they show which processes run. Registrar registers this process in such a registry.
//
// Package follow decides what to read next, and membership.Merge derives the states of the servers. This
// package contains the session with the registry (session.go, connection.go), the handlers that use it
// (watcher.go, registration.go) and the parser of the nodes' data (node.go).
package ephemeral

import (
	"context"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral/follow"
)

// NodeChange says that a node was created or modified, or that it expired.
type NodeChange struct {
	Name    string
	Expired bool
	Node    membership.RegistryNode // unless Expired
}

// Update is one report of a source.
type Update struct {
	Changes    []NodeChange
	Synced     bool     // all existing nodes have been reported
	Consistent bool     // after these changes the view is the directory as it was at one moment
	Err        error    // the registry is unreachable; the nodes stay as they are
	Problems   []string // for the log
}

// Apply applies the update to a merge.
func (u *Update) Apply(m *membership.Merge, now float64) {
	for i := range u.Changes {
		change := &u.Changes[i]
		if change.Expired {
			m.NodeExpired(now, change.Name)
		} else {
			m.NodeUpdated(now, change.Node)
		}
	}
	switch {
	case u.Err != nil:
		m.RegistryLost(now, u.Err)
	case u.Synced:
		m.RegistrySynced(now)
	default:
		m.RegistryAlive(now)
	}
}

// Source follows the nodes of a registry.
type Source struct{ cfg *Config }

// NewSource returns a Source for a configuration that Check has accepted.
func NewSource(cfg *Config) *Source { return &Source{cfg} }

// Run follows the registry until ctx ends. It calls onUpdate from one goroutine at a time.
func (s *Source) Run(ctx context.Context, onUpdate func(Update)) {
	w := &directoryWatcher{
		cfg:      s.cfg,
		onUpdate: onUpdate,
		follower: follow.New(follow.Config{
			Root:     s.cfg.root(),
			Depth:    s.cfg.Depth,
			OneShot:  s.cfg.Watch == WatchOneShot,
			MaxNodes: s.cfg.MaxNodes,
		}),
	}
	s.cfg.newSession(w).run(ctx)
}

// Feed returns a function that runs the source and applies each update to the caller's Merge, as the agent
// needs it. log, if not nil, is called with errors and problems.
func (s *Source) Feed(log func(problem string)) func(context.Context, func(func(*membership.Merge, float64))) {
	return func(ctx context.Context, apply func(func(*membership.Merge, float64))) {
		s.Run(ctx, func(u Update) {
			if log != nil {
				u.logProblems(log)
			}
			apply(u.Apply)
		})
	}
}

func (u *Update) logProblems(log func(problem string)) {
	if u.Err != nil {
		log(u.Err.Error())
	}
	for _, problem := range u.Problems {
		log(problem)
	}
}

// newSession returns a session with the registry of the configuration.
func (c *Config) newSession(h handler) *session {
	return &session{
		servers:          append([]string(nil), c.Ensemble...),
		requestedTimeout: time.Duration(c.SessionMs) * time.Millisecond,
		auth:             c.Auth,
		readOnly:         c.ReadOnly,
		maxFrameBytes:    c.FrameLimit,
		handler:          h,
		resetAfter:       c.resetAfter,
		maxBackoff:       c.maxBackoff,
	}
}
