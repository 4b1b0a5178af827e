// Package ephemeral is the membership source that reads which processes run from ephemeral nodes of a
// registry that speaks ZooKeeper's protocol, and the other side of it: Registrar keeps such a node for this
// process. What to read next is decided in follow, what it means in membership.Merge; here are the session,
// its connection and the nodes' data.
package ephemeral

import (
	"context"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral/follow"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// NodeChange is one thing that became of a node.
type NodeChange struct {
	Name string
	Gone bool
	Node membership.RegistryNode // not Gone
}

// Update is what a source tells at once.
type Update struct {
	Changes    []NodeChange
	Synced     bool     // all that there is has been told
	Consistent bool     // with these steps the view is the directory as it was at one moment
	Err        error    // the registry can't be reached; nothing else changes
	Problems   []string // for a person
}

// Apply gives an update to a merge.
func (u *Update) Apply(m *membership.Merge, now float64) {
	for i := range u.Changes {
		if s := &u.Changes[i]; s.Gone {
			m.NodeGone(now, s.Name)
		} else {
			m.NodeUp(now, s.Node)
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

// Source follows a registry.
type Source struct{ cfg *Config }

// NewSource returns one; the configuration was checked.
func NewSource(cfg *Config) *Source { return &Source{cfg} }

// Run follows the registry until ctx ends. told is called from one goroutine at a time.
func (s *Source) Run(ctx context.Context, told func(Update)) {
	w := &watcher{cfg: s.cfg, told: told, f: follow.New(follow.Config{Root: s.cfg.root(), Depth: s.cfg.Depth,
		OneShot: s.cfg.Watch == WatchOneShot, Most: s.cfg.MaxNodes})}
	s.cfg.session(w).run(ctx)
}

// Nodes is Run in the form in which a merge takes it. log is called with what a person should know; it may
// be nil.
func (s *Source) Nodes(log func(problem string)) func(context.Context, func(func(*membership.Merge, float64))) {
	return func(ctx context.Context, told func(func(*membership.Merge, float64))) {
		s.Run(ctx, func(u Update) {
			if log != nil {
				if u.Err != nil {
					log(u.Err.Error())
				}
				for _, p := range u.Problems {
					log(p)
				}
			}
			told(u.Apply)
		})
	}
}

// session is one by this configuration.
func (c *Config) session(h handler) *session {
	return &session{hosts: append([]string(nil), c.Ensemble...), timeout: time.Duration(c.SessionMs) * time.Millisecond,
		forget: c.forget, pause: c.pause, auth: c.Auth, readOnly: c.ReadOnly, frame: c.FrameLimit, h: h}
}

// watcher is the session's handler that follows a directory.
type watcher struct {
	cfg  *Config
	f    *follow.Follower
	told func(Update)

	up     bool // the last connection showed that the registry lives
	was    bool // synced was told on this connection
	saidMs time.Time
}

func (w *watcher) connected(renewed bool, zxid int64) {
	w.was = false
	w.f.Connected(renewed, zxid)
}

func (w *watcher) event(e zkwire.WatchEvent) { w.f.Event(e) }
func (w *watcher) retry()                    { w.f.Retry() }
func (w *watcher) alive()                    { w.up = true; w.f.Confirmed() }
func (w *watcher) ended() bool               { return false }

func (w *watcher) lost(err error) {
	w.flush()
	w.told(Update{Err: err})
}

func (w *watcher) next() (request, bool) {
	q, ok := w.f.Next()
	if !ok {
		return request{}, false
	}
	r := request{op: q.Op}
	switch q.Op {
	case zkwire.OpSetWatches, zkwire.OpSetWatches2:
		r.xid = zkwire.XidSetWatches
		r.body = func(b []byte) []byte { return q.Watches.Append(b, q.Op == zkwire.OpSetWatches2) }
	case zkwire.OpAddWatch:
		r.body = func(b []byte) []byte {
			return zkwire.AppendInt(zkwire.AppendString(b, q.Path), zkwire.WatchPersistentRecursive)
		}
	case zkwire.OpSync:
		r.body = func(b []byte) []byte { return zkwire.AppendString(b, q.Path) }
	default:
		r.body = func(b []byte) []byte { return zkwire.AppendBool(zkwire.AppendString(b, q.Path), q.Watch) }
	}
	r.done = func(h zkwire.ReplyHeader, in *zkwire.Reader) error {
		reply := follow.Reply{Request: q, Code: h.Err}
		if h.Err == zkwire.OK {
			switch q.Op {
			case zkwire.OpGetChildren2:
				reply.Children, reply.Stat = in.Strings(), in.Stat()
			case zkwire.OpGetData:
				reply.Data = append([]byte(nil), in.Buffer()...)
				reply.Stat = in.Stat()
			}
			if err := in.Err(); err != nil {
				return err // nothing of it counts
			}
		}
		if w.f.Reply(reply); w.f.Behind() {
			return errBehind
		}
		return nil
	}
	return r, true
}

// flush tells what has come.
func (w *watcher) flush() {
	u := Update{Problems: w.f.Problems()}
	for _, c := range w.f.Changes() {
		if c.Gone {
			u.Changes = append(u.Changes, NodeChange{Name: c.Name, Gone: true})
			continue
		}
		n, err := parse(w.cfg.Form, &c)
		if err != nil && len(u.Problems) < 16 {
			u.Problems = append(u.Problems, err.Error())
		}
		u.Changes = append(u.Changes, NodeChange{Name: c.Name, Node: n})
	}
	u.Consistent = w.f.Whole()
	if u.Synced = w.f.Synced() && !w.was; u.Synced {
		w.was = true
	}
	// Signs of life alone are told once a second.
	if len(u.Changes) == 0 && !u.Synced && len(u.Problems) == 0 && (!w.up || time.Since(w.saidMs) < time.Second) {
		return
	}
	if w.up {
		w.saidMs = time.Now()
	}
	w.up = false
	w.told(u)
}
