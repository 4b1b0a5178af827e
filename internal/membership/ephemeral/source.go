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
	Name    string
	Expired bool
	Node    membership.RegistryNode // not Gone
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
		if s := &u.Changes[i]; s.Expired {
			m.NodeExpired(now, s.Name)
		} else {
			m.NodeUpdated(now, s.Node)
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
	w := &directoryWatcher{cfg: s.cfg, onUpdate: told, follower: follow.New(follow.Config{Root: s.cfg.root(), Depth: s.cfg.Depth,
		OneShot: s.cfg.Watch == WatchOneShot, MaxNodes: s.cfg.MaxNodes})}
	s.cfg.session(w).run(ctx)
}

// Feed is Run in the form in which a merge takes it. log is called with what a person should know; it may
// be nil.
func (s *Source) Feed(log func(problem string)) func(context.Context, func(func(*membership.Merge, float64))) {
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
	return &session{servers: append([]string(nil), c.Ensemble...), requestedTimeout: time.Duration(c.SessionMs) * time.Millisecond,
		resetAfter: c.resetAfter, maxBackoff: c.maxBackoff, auth: c.Auth, readOnly: c.ReadOnly, maxFrameBytes: c.FrameLimit, handler: h}
}

// directoryWatcher is the session's handler that follows a directory.
type directoryWatcher struct {
	cfg      *Config
	follower *follow.Follower
	onUpdate func(Update)

	registryAlive bool // the last connection showed that the registry lives
	syncReported  bool // synced was told on this connection
	lastReport    time.Time
}

func (w *directoryWatcher) connected(renewed bool, zxid int64) {
	w.syncReported = false
	w.follower.Connected(renewed, zxid)
}

func (w *directoryWatcher) handleEvent(e zkwire.WatchEvent) { w.follower.HandleEvent(e) }
func (w *directoryWatcher) retry()                          { w.follower.Retry() }
func (w *directoryWatcher) replyReceived()                  { w.registryAlive = true; w.follower.ReplyReceived() }
func (w *directoryWatcher) finished() bool                  { return false }

func (w *directoryWatcher) connectionLost(err error) {
	w.flush()
	w.onUpdate(Update{Err: err})
}

func (w *directoryWatcher) nextRequest() (request, bool) {
	q, ok := w.follower.NextRequest()
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
	r.onReply = func(h zkwire.ReplyHeader, in *zkwire.Reader) error {
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
		if w.follower.HandleReply(reply); w.follower.ServerBehind() {
			return errServerBehind
		}
		return nil
	}
	return r, true
}

// flush tells what has come.
func (w *directoryWatcher) flush() {
	u := Update{Problems: w.follower.Problems()}
	for _, c := range w.follower.Changes() {
		if c.Expired {
			u.Changes = append(u.Changes, NodeChange{Name: c.Name, Expired: true})
			continue
		}
		n, err := parseNode(w.cfg.Form, &c)
		if err != nil && len(u.Problems) < 16 {
			u.Problems = append(u.Problems, err.Error())
		}
		u.Changes = append(u.Changes, NodeChange{Name: c.Name, Node: n})
	}
	u.Consistent = w.follower.Consistent()
	if u.Synced = w.follower.Synced() && !w.syncReported; u.Synced {
		w.syncReported = true
	}
	// Signs of life alone are told once a second.
	if len(u.Changes) == 0 && !u.Synced && len(u.Problems) == 0 && (!w.registryAlive || time.Since(w.lastReport) < time.Second) {
		return
	}
	if w.registryAlive {
		w.lastReport = time.Now()
	}
	w.registryAlive = false
	w.onUpdate(u)
}
