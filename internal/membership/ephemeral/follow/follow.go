// Package follow maintains a view of a directory of ephemeral nodes in a ZooKeeper-style registry: given the
// replies and events so far, it decides which reads and watches to request next. It does no I/O, reads no
// clock and starts no goroutine; the caller has the connection and its session.
//
// It relies on one guarantee of the protocol: on a connection, an event is delivered before any reply that
// shows a later state ("Programmer's Guide", "What ZooKeeper Guarantees about Watches"). So a reply is always
// newer than everything received earlier on its connection.
package follow

import (
	"fmt"

	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// MaxOutstanding is the number of requests that may be in flight.
	MaxOutstanding = 64
	// maxProblems bounds the problems that are stored until Problems is called.
	maxProblems = 16
)

// Config describes the directory to follow.
type Config struct {
	Root string // the directory
	// Depth is 1 if the children of the root are the nodes, 2 if the root holds directories of nodes.
	Depth int
	// OneShot uses one-shot watches even if the server supports persistent recursive ones.
	OneShot bool
	// MaxNodes bounds the nodes that are followed; the others are left out and reported as a problem.
	// 0: no bound.
	MaxNodes int
}

// Request is a request to the registry.
type Request struct {
	Op      zkwire.Op
	Path    string
	Watch   bool
	Watches *zkwire.SetWatches // of OpSetWatches and OpSetWatches2
}

// Reply is the reply to a request.
type Reply struct {
	Request  Request
	Code     zkwire.Code
	Children []string // of OpGetChildren2
	Data     []byte   // of OpGetData
	Stat     zkwire.Stat
}

// Change says that a node was created or modified, or that it expired.
type Change struct {
	Name    string // path below the root
	Expired bool
	Data    []byte
	Stat    zkwire.Stat
}

// Follower follows one directory. It belongs to one goroutine.
type Follower struct {
	cfg     Config
	oneShot bool // cfg.OneShot, or the server does not support persistent recursive watches

	nodes map[string]*tracked // by path
	dirs  map[string]*tracked // by path; directories that are read, including the root

	rootMissing   bool
	existsPending bool // an exists request for the root is queued or in flight
	overLimit     int  // reads of nodes beyond MaxNodes

	queue       []Request
	inFlight    int
	failedReads map[string]zkwire.Code // by path; to be retried
	synced      bool
	lag         lagDetector

	changes  []Change
	problems []string
}

// tracked is a node or directory that is followed.
type tracked struct {
	known       bool  // it has been read and not removed since
	unwatched   bool  // not read since the session began, so it has no watch
	czxid       int64 // of the last change reported
	mzxid       int64
	readPending bool // a read is queued or in flight
	inFlight    bool // the read is in flight
	readAgain   bool // an event arrived while it was in flight, so its reply may be outdated
}

// New returns a Follower of a directory that has not been read yet.
func New(cfg Config) *Follower {
	cfg.Depth = max(cfg.Depth, 1)
	return &Follower{
		cfg:         cfg,
		oneShot:     cfg.OneShot,
		nodes:       map[string]*tracked{},
		dirs:        map[string]*tracked{},
		failedReads: map[string]zkwire.Code{},
		lag:         newLagDetector(),
	}
}

// NextRequest returns the next request to send; false if there is none or MaxOutstanding are in flight.
func (f *Follower) NextRequest() (Request, bool) {
	if len(f.queue) == 0 || f.inFlight >= MaxOutstanding {
		return Request{}, false
	}
	r := f.queue[0]
	f.queue = f.queue[1:]
	f.inFlight++
	if dir := f.dirs[r.Path]; dir != nil && r.Op == zkwire.OpGetChildren2 {
		dir.inFlight = true
	} else if node := f.nodes[r.Path]; node != nil && r.Op == zkwire.OpGetData {
		node.inFlight = true
	}
	return r, true
}

// ReplyReceived records the arrival of any reply, including that to a ping: it confirms the events before it.
// It must be called before HandleReply.
func (f *Follower) ReplyReceived() { f.lag.confirm() }

// ServerBehind reports whether a reply has shown that the server is behind what was seen before. The caller
// must then close the connection.
func (f *Follower) ServerBehind() bool { return f.lag.behind }

// Retry repeats failed reads. The caller decides when.
func (f *Follower) Retry() {
	for path := range f.failedReads {
		f.queueRead(path)
	}
	f.failedReads = map[string]zkwire.Code{}
}

// Changes returns the changes since the last call, in the order of their arrival.
func (f *Follower) Changes() []Change {
	out := f.changes
	f.changes = nil
	return out
}

// Synced reports whether everything has been read on this connection.
func (f *Follower) Synced() bool { return f.synced }

// Consistent reports whether the changes so far show the directory as it was at one moment: everything has
// been read, and no request is queued or in flight. While a read is, each node is as it was at some moment,
// but not all nodes at the same moment.
func (f *Follower) Consistent() bool { return f.synced && len(f.queue) == 0 && f.inFlight == 0 }

// Size returns the number of existing nodes.
func (f *Follower) Size() int {
	size := 0
	for _, node := range f.nodes {
		if node.known {
			size++
		}
	}
	return size
}

// Problems returns the problems since the last call, for the log.
func (f *Follower) Problems() []string {
	out := f.problems
	f.problems = nil
	return out
}

func (f *Follower) problem(format string, args ...any) {
	if len(f.problems) < maxProblems {
		f.problems = append(f.problems, fmt.Sprintf(format, args...))
	}
}

// readFailed stores a read that the server rejected, for Retry.
func (f *Follower) readFailed(r *Reply) {
	f.failedReads[r.Request.Path] = r.Code
	f.problem("%s: %v", r.Request.Path, r.Code)
}
