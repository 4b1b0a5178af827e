package follow

import "maps"

// maxDoubtedConnections bounds the connections in a row that are closed because their server shows nodes that
// have expired: a registry that was restored to an earlier state is accepted in the end.
const maxDoubtedConnections = 16

// lagDetector recognises a server that is behind what was seen before. Replies carry the transaction id up to
// which the server has seen, which the session checks. Events carry none: until the next reply, what an event
// said may be newer than the last known id. A node that such an event ended, on a connection that was lost
// before a reply, must not come back from a server that has not seen its end.
type lagDetector struct {
	unconfirmed bool             // an event arrived, and no reply since
	expired     map[string]int64 // czxid, by path, of the nodes that unconfirmed events ended
	doubted     map[string]int64 // the same, of the connections before
	connections int              // that were closed in a row
	behind      bool             // the server of this connection is behind
}

func newLagDetector() lagDetector {
	return lagDetector{expired: map[string]int64{}, doubted: map[string]int64{}}
}

// connected starts a connection. renewed says that it continues the session of the last one. It returns whether
// watches may be set from the last known transaction id on; if not, everything has to be read again.
func (d *lagDetector) connected(renewed bool) (resume bool) {
	if renewed {
		maps.Copy(d.doubted, d.expired)
		// What the server may not have seen yet it can't report again.
		resume = !d.unconfirmed && len(d.doubted) == 0
	} else {
		clear(d.doubted)
	}
	d.unconfirmed = false
	d.behind = false
	clear(d.expired)
	return resume
}

// event notes that an event arrived.
func (d *lagDetector) event() { d.unconfirmed = true }

// confirm notes that a reply arrived.
func (d *lagDetector) confirm() {
	d.unconfirmed = false
	clear(d.expired)
}

// nodeExpired notes that a node with this czxid expired.
func (d *lagDetector) nodeExpired(path string, czxid int64) {
	if d.unconfirmed {
		d.expired[path] = czxid
	}
}

// check returns whether a server that shows a node with this czxid is behind.
func (d *lagDetector) check(path string, czxid int64) bool {
	expired, doubted := d.doubted[path]
	if !doubted || czxid > expired || d.connections >= maxDoubtedConnections {
		return false
	}
	d.connections++
	d.behind = true
	return true
}

// synced notes that everything has been read from a server that is not behind.
func (d *lagDetector) synced() {
	d.connections = 0
	clear(d.doubted)
}
