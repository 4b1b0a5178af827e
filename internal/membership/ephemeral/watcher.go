package ephemeral

import (
	"time"

	"ringtrack.example/ringtrack/internal/membership/ephemeral/follow"
	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// aliveInterval is the interval between updates without changes, which show that the registry is alive.
	aliveInterval = time.Second
	// maxProblems bounds the problems of one update.
	maxProblems = 16
)

// directoryWatcher is the session handler that follows a directory.
type directoryWatcher struct {
	cfg      *Config
	follower *follow.Follower
	onUpdate func(Update)

	replied       bool // a reply has arrived since the last update
	syncReported  bool // an update with Synced was reported on this connection
	lastAliveTime time.Time
}

func (w *directoryWatcher) connected(renewed bool, zxid int64) {
	w.syncReported = false
	w.follower.Connected(renewed, zxid)
}

func (w *directoryWatcher) handleEvent(e zkwire.WatchEvent) { w.follower.HandleEvent(e) }
func (w *directoryWatcher) retry()                          { w.follower.Retry() }

func (w *directoryWatcher) replyReceived() {
	w.replied = true
	w.follower.ReplyReceived()
}

func (w *directoryWatcher) connectionLost(err error) {
	w.flush()
	w.onUpdate(Update{Err: err})
}

func (w *directoryWatcher) nextRequest() (request, bool) {
	q, ok := w.follower.NextRequest()
	if !ok {
		return request{}, false
	}
	r := request{op: q.Op, body: requestBody(&q)}
	if q.Watches != nil {
		r.xid = zkwire.XidSetWatches
	}
	r.onReply = func(h zkwire.ReplyHeader, in *zkwire.Reader) error {
		reply, err := readReply(q, h, in)
		if err != nil {
			return err // the reply is discarded
		}
		w.follower.HandleReply(reply)
		if w.follower.ServerBehind() {
			return errServerBehind
		}
		return nil
	}
	return r, true
}

// requestBody returns a function that appends the body of a request.
func requestBody(q *follow.Request) func([]byte) []byte {
	switch q.Op {
	case zkwire.OpSetWatches, zkwire.OpSetWatches2:
		return func(b []byte) []byte { return q.Watches.Append(b, q.Op == zkwire.OpSetWatches2) }
	case zkwire.OpAddWatch:
		return func(b []byte) []byte {
			return zkwire.AppendInt(zkwire.AppendString(b, q.Path), zkwire.WatchPersistentRecursive)
		}
	case zkwire.OpSync:
		return func(b []byte) []byte { return zkwire.AppendString(b, q.Path) }
	}
	return readBody(q.Path, q.Watch)
}

// readBody returns a function that appends the body of a read, which exists, getData and getChildren2 share.
func readBody(path string, watch bool) func([]byte) []byte {
	return func(b []byte) []byte { return zkwire.AppendBool(zkwire.AppendString(b, path), watch) }
}

// readReply decodes the reply to a request.
func readReply(q follow.Request, h zkwire.ReplyHeader, in *zkwire.Reader) (follow.Reply, error) {
	reply := follow.Reply{Request: q, Code: h.Err}
	if h.Err != zkwire.OK {
		return reply, nil
	}
	switch q.Op {
	case zkwire.OpGetChildren2:
		reply.Children = in.Strings()
		reply.Stat = in.Stat()
	case zkwire.OpGetData:
		reply.Data = append([]byte(nil), in.Buffer()...)
		reply.Stat = in.Stat()
	}
	return reply, in.Err()
}

// flush reports changes. Without changes it reports at most once in aliveInterval, if a reply has arrived.
func (w *directoryWatcher) flush() {
	u := Update{Problems: w.follower.Problems()}
	for _, c := range w.follower.Changes() {
		change, err := w.nodeChange(&c)
		if err != nil && len(u.Problems) < maxProblems {
			u.Problems = append(u.Problems, err.Error())
		}
		u.Changes = append(u.Changes, change)
	}
	u.Consistent = w.follower.Consistent()
	u.Synced = w.follower.Synced() && !w.syncReported
	if u.Synced {
		w.syncReported = true
	}
	empty := len(u.Changes) == 0 && !u.Synced && len(u.Problems) == 0
	if empty && (!w.replied || time.Since(w.lastAliveTime) < aliveInterval) {
		return
	}
	if w.replied {
		w.lastAliveTime = time.Now()
	}
	w.replied = false
	w.onUpdate(u)
}

// nodeChange parses the data of a changed node. The change is valid even with an error, as the node exists.
func (w *directoryWatcher) nodeChange(c *follow.Change) (NodeChange, error) {
	if c.Expired {
		return NodeChange{Name: c.Name, Expired: true}, nil
	}
	node, err := parseNode(w.cfg.Form, c)
	return NodeChange{Name: c.Name, Node: node}, err
}
