package follow

import "ringtrack.example/ringtrack/internal/zkwire"

const (
	// maxSetWatchesBytes bounds the paths of one SetWatches, well below the frame limit of servers.
	maxSetWatchesBytes = 128 << 10
	// stringHeaderBytes is the size of a string's length prefix on the wire.
	stringHeaderBytes = 4
)

// Connected starts a connection. renewed says that it continues the last session: watches are restored, and
// only what changed since zxid is read. Otherwise everything is read again. In either case the nodes stay as
// they are until the registry reports a change.
func (f *Follower) Connected(renewed bool, zxid int64) {
	resume := f.lag.connected(renewed)
	// The sync makes the server catch up with its leader first: another server may have sent events that this
	// one has not seen, even if this one has seen the last known transaction.
	f.queue = []Request{{Op: zkwire.OpSync, Path: f.cfg.Root}}
	f.inFlight = 0
	f.synced = false
	f.failedReads = map[string]zkwire.Code{}
	f.existsPending = false
	lostReads := f.resetReads(resume)
	if !resume {
		f.oneShot = f.cfg.OneShot // another server may have recursive watches
		f.readAll()
		return
	}
	f.setWatches(zxid)
	f.queue = append(f.queue, lostReads...)
}

// resetReads resets the reads of the last connection. With resume it returns the pending ones, which must be
// sent again; without, it marks everything as unwatched.
func (f *Follower) resetReads(resume bool) (pending []Request) {
	for _, all := range []map[string]*tracked{f.dirs, f.nodes} {
		for path, t := range all {
			if t.readPending && resume {
				pending = append(pending, f.readRequest(path))
			}
			t.inFlight = false
			t.readAgain = false
			t.unwatched = t.unwatched || !resume
			t.readPending = t.readPending && resume
		}
	}
	return pending
}

// setWatches queues requests that restore all watches of the session, with the changes since zxid.
func (f *Follower) setWatches(zxid int64) {
	batches := newWatchBatches(zxid, f.oneShot)
	if !f.oneShot {
		batches.current.Recursive = []string{f.cfg.Root}
	}
	if f.rootMissing {
		batches.current.Exist = []string{f.cfg.Root}
	}
	for path, dir := range f.dirs {
		if !dir.readPending && !(f.rootMissing && path == f.cfg.Root) {
			batch := batches.forPath(path)
			batch.Child = append(batch.Child, path)
		}
	}
	for path, node := range f.nodes {
		if !node.readPending && node.known {
			batch := batches.forPath(path)
			batch.Data = append(batch.Data, path)
		}
	}
	f.queue = append(f.queue, batches.requests()...)
}

// watchBatches splits the watches of a session into requests of at most maxSetWatchesBytes.
type watchBatches struct {
	op      zkwire.Op
	zxid    int64
	full    []Request
	current *zkwire.SetWatches
	bytes   int // of current
}

func newWatchBatches(zxid int64, oneShot bool) *watchBatches {
	op := zkwire.OpSetWatches2
	if oneShot {
		op = zkwire.OpSetWatches
	}
	return &watchBatches{op: op, zxid: zxid, current: &zkwire.SetWatches{Zxid: zxid}}
}

// forPath returns the batch to which the path must be added.
func (b *watchBatches) forPath(path string) *zkwire.SetWatches {
	size := len(path) + stringHeaderBytes
	b.bytes += size
	if b.bytes > maxSetWatchesBytes {
		b.full = append(b.full, Request{Op: b.op, Watches: b.current})
		b.current = &zkwire.SetWatches{Zxid: b.zxid}
		b.bytes = size
	}
	return b.current
}

func (b *watchBatches) requests() []Request {
	return append(b.full, Request{Op: b.op, Watches: b.current})
}

// readAll queues reads of everything, starting with the root.
func (f *Follower) readAll() {
	f.rootMissing = false
	if !f.oneShot {
		f.queue = append(f.queue, Request{Op: zkwire.OpAddWatch, Path: f.cfg.Root})
	}
	f.queueRead(f.cfg.Root)
}

// restart starts reading everything again on the same connection.
func (f *Follower) restart() {
	f.queue = nil
	f.existsPending = false
	for _, all := range []map[string]*tracked{f.dirs, f.nodes} {
		for _, t := range all {
			t.unwatched = true
			t.readAgain = t.inFlight
			t.readPending = t.readPending && t.inFlight
		}
	}
	f.readAll()
}
