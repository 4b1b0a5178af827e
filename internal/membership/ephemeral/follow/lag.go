package follow

import "maps"

// maxRejectedConnections bounds the connections in a row that are closed because their server shows expired
// nodes: after that, the registry counts as restored to an earlier state, which is accepted.
const maxRejectedConnections = 16

// lagDetector detects a server whose state is older than what was seen before. Replies carry the id of the
// last transaction that the server has seen, which the session checks. Events carry none: until the next
// reply, an event may be newer than the last known id. If such an event reported the expiry of a node and the
// connection was lost before a reply, a server that has not seen the expiry must not bring the node back.
type lagDetector struct {
	unconfirmed     bool             // an event has arrived, and no reply since
	expired         map[string]int64 // czxid, by path, of the nodes whose expiry is unconfirmed
	earlierExpiries map[string]int64 // the same, from earlier connections of the session
	rejected        int              // connections closed in a row
	behind          bool             // the server of this connection is behind
}

func newLagDetector() lagDetector {
	return lagDetector{expired: map[string]int64{}, earlierExpiries: map[string]int64{}}
}

// connected starts a connection. renewed says that it continues the last session. It reports whether watches
// may be restored from the last known transaction id; if not, everything must be read again.
func (d *lagDetector) connected(renewed bool) (resume bool) {
	if renewed {
		maps.Copy(d.earlierExpiries, d.expired)
		// The server can't report again what it may not have seen yet.
		resume = !d.unconfirmed && len(d.earlierExpiries) == 0
	} else {
		clear(d.earlierExpiries)
	}
	d.unconfirmed = false
	d.behind = false
	clear(d.expired)
	return resume
}

// event records the arrival of an event.
func (d *lagDetector) event() { d.unconfirmed = true }

// confirm records the arrival of a reply.
func (d *lagDetector) confirm() {
	d.unconfirmed = false
	clear(d.expired)
}

// nodeExpired records that a node with this czxid expired.
func (d *lagDetector) nodeExpired(path string, czxid int64) {
	if d.unconfirmed {
		d.expired[path] = czxid
	}
}

// check reports whether the server, which shows a node with this czxid, is behind.
func (d *lagDetector) check(path string, czxid int64) bool {
	expired, found := d.earlierExpiries[path]
	if !found || czxid > expired || d.rejected >= maxRejectedConnections {
		return false
	}
	d.rejected++
	d.behind = true
	return true
}

// synced records that everything has been read from a server that is not behind.
func (d *lagDetector) synced() {
	d.rejected = 0
	clear(d.earlierExpiries)
}
