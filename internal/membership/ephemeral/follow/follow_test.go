package follow

import (
	"fmt"
	"testing"

	"ringtrack.example/ringtrack/internal/zkwire"
)

// takeRequests returns all requests that may be sent now.
func takeRequests(f *Follower) (out []Request) {
	for {
		r, ok := f.NextRequest()
		if !ok {
			return out
		}
		out = append(out, r)
	}
}

// reply answers requests like a server with these nodes until there are no more, and returns their number.
func reply(f *Follower, nodes map[string]int64) (n int) {
	for {
		q := takeRequests(f)
		if len(q) == 0 {
			return n
		}
		for _, r := range q {
			n++
			answer := Reply{Request: r}
			switch r.Op {
			case zkwire.OpGetChildren2:
				for path := range nodes {
					answer.Children = append(answer.Children, path[len("/fleet/"):])
				}
			case zkwire.OpGetData:
				if answer.Stat.Czxid = nodes[r.Path]; answer.Stat.Czxid == 0 {
					answer.Code = zkwire.NoNode
				}
			}
			f.HandleReply(answer)
		}
	}
}

// A connection starts with a sync and never has more than MaxOutstanding requests in flight.
func TestConnectionStartsWithSync(t *testing.T) {
	f := New(Config{Root: "/fleet"})
	nodes := map[string]int64{}
	for i := range 1000 {
		nodes[fmt.Sprintf("/fleet/s-%d", i)] = int64(i + 1)
	}
	for _, renewed := range []bool{false, true} {
		f.Connected(renewed, 7)
		q := takeRequests(f)
		if q[0].Op != zkwire.OpSync {
			t.Errorf("the first request is %+v, want a sync", q[0])
		}
		for _, r := range q {
			f.HandleReply(Reply{Request: r, Children: map[bool][]string{true: names(nodes)}[r.Op == zkwire.OpGetChildren2]})
		}
		if n := len(takeRequests(f)); n > MaxOutstanding {
			t.Errorf("%d requests in flight", n)
		}
		f.Connected(false, 7)
		reply(f, nodes)
		if !f.Synced() || f.Size() != 1000 {
			t.Errorf("synced %v, %d nodes, want 1000", f.Synced(), f.Size())
		}
	}
}

func names(nodes map[string]int64) (out []string) {
	for path := range nodes {
		out = append(out, path[len("/fleet/"):])
	}
	return out
}

// A renewed session restores its watches, in batches of limited size, and reads only what changed; a read
// that was in flight when the connection was lost is repeated.
func TestRenewedSessionRestoresWatches(t *testing.T) {
	for _, oneShot := range []bool{false, true} {
		f := New(Config{Root: "/fleet", OneShot: oneShot})
		nodes := map[string]int64{}
		for i := range 10_000 {
			nodes[fmt.Sprintf("/fleet/member_%010d", i)] = int64(i + 1)
		}
		f.Connected(false, 0)
		reply(f, nodes)
		f.Changes()
		f.HandleEvent(zkwire.WatchEvent{Type: zkwire.NodeDataChanged, Path: "/fleet/member_0000000007"})
		takeRequests(f)   // its read is in flight, and is lost
		f.ReplyReceived() // by the reply to a ping
		f.Connected(true, 20_000)
		watched := map[string]bool{}
		batches := 0
		reads := 0
		for _, r := range takeRequests(f) {
			switch r.Op {
			case zkwire.OpSetWatches, zkwire.OpSetWatches2:
				batches++
				size := 0
				for _, p := range r.Watches.Data {
					watched[p] = true
					size += len(p) + 4
				}
				if size > maxSetWatchesBytes || r.Watches.Zxid != 20_000 {
					t.Errorf("a batch of watches has %d bytes and restores from zxid %d", size, r.Watches.Zxid)
				}
				if len(r.Watches.Child) > 0 {
					watched[r.Watches.Child[0]] = true
				}
			case zkwire.OpGetData:
				reads++
				if r.Path != "/fleet/member_0000000007" {
					t.Errorf("unexpected read of %s", r.Path)
				}
			}
			f.HandleReply(Reply{Request: r, Stat: zkwire.Stat{Czxid: 8, Mzxid: 20_001}})
		}
		if len(watched) != 10_000 || batches < 2 || reads != 1 {
			t.Errorf("one-shot %v: %d watched, %d batches, %d reads", oneShot, len(watched), batches, reads)
		}
		if c := f.Changes(); len(c) != 1 || c[0].Stat.Mzxid != 20_001 || !f.Synced() {
			t.Errorf("%d changes, want that of one node, or it is not synced", len(c))
		}
	}
}

// An event during a read causes another read, as the reply may be older than the event. Two events for one
// expiry are reported as one.
func TestEventsDuringReads(t *testing.T) {
	f := New(Config{Root: "/fleet", OneShot: true})
	f.Connected(false, 0)
	reply(f, map[string]int64{"/fleet/a": 1})
	f.Changes()
	changed := zkwire.WatchEvent{Type: zkwire.NodeDataChanged, Path: "/fleet/a"}
	f.HandleEvent(changed)
	q := takeRequests(f)
	f.HandleEvent(changed)
	f.HandleEvent(changed)
	if len(q) != 1 || len(takeRequests(f)) != 0 {
		t.Errorf("%d reads in flight, want one", len(q))
	}
	f.HandleReply(Reply{Request: q[0], Stat: zkwire.Stat{Czxid: 1}})
	if q = takeRequests(f); len(q) != 1 {
		t.Errorf("%d reads after the reply, want one", len(q))
	}
	f.HandleReply(Reply{Request: q[0], Stat: zkwire.Stat{Czxid: 1, Mzxid: 5}})
	deleted := zkwire.WatchEvent{Type: zkwire.NodeDeleted, Path: "/fleet/a"}
	f.HandleEvent(deleted)
	f.HandleEvent(deleted)
	var expired []bool
	for _, c := range f.Changes() {
		expired = append(expired, c.Expired)
	}
	if fmt.Sprint(expired) != "[false true]" {
		t.Errorf("Expired of the changes: %v", expired)
	}
}

// A child that is deleted before its data is read is not reported; one that expires and is created again
// between the event and the read is reported as a new node.
func TestNodeChangesBetweenEventAndRead(t *testing.T) {
	f := New(Config{Root: "/fleet", OneShot: true})
	f.Connected(false, 0)
	q := takeRequests(f)
	f.HandleReply(Reply{Request: q[0]})
	f.HandleReply(Reply{Request: q[1], Children: []string{"a", "b"}})
	for _, r := range takeRequests(f) {
		if r.Path == "/fleet/b" {
			f.HandleReply(Reply{Request: r, Code: zkwire.NoNode})
		} else {
			f.HandleReply(Reply{Request: r, Stat: zkwire.Stat{Czxid: 1}})
		}
	}
	if c := f.Changes(); len(c) != 1 || c[0].Name != "a" || c[0].Expired || !f.Synced() {
		t.Fatalf("changes %+v, want only node a", c)
	}
	for _, childrenEventOnly := range []bool{true, false} { // whether there is no event for the node itself
		f.HandleEvent(zkwire.WatchEvent{Type: zkwire.NodeDeleted, Path: "/fleet/a"})
		if c := f.Changes(); len(c) != 1 || !c[0].Expired {
			t.Fatalf("the expiry is reported as %+v", c)
		}
		f.HandleEvent(zkwire.WatchEvent{Type: zkwire.NodeChildrenChanged, Path: "/fleet"})
		if !childrenEventOnly {
			f.HandleEvent(zkwire.WatchEvent{Type: zkwire.NodeCreated, Path: "/fleet/a"})
		}
		for q := takeRequests(f); len(q) > 0; q = takeRequests(f) {
			for _, r := range q {
				f.HandleReply(Reply{Request: r, Children: []string{"a"}, Stat: zkwire.Stat{Czxid: 7}})
			}
		}
		if c := f.Changes(); len(c) != 1 || c[0].Expired || c[0].Stat.Czxid != 7 {
			t.Fatalf("the new node is reported as %+v", c)
		}
	}
}

// For any replies and events in any order, the Follower neither panics nor queues requests without bound.
func FuzzFollower(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
	f.Fuzz(func(t *testing.T, in []byte) {
		in = in[:min(len(in), 2000)]
		for _, oneShot := range []bool{false, true} {
			x := New(Config{Root: "/fleet", Depth: 1 + len(in)%2, OneShot: oneShot, MaxNodes: 5})
			x.Connected(false, 0)
			var inFlight []Request
			paths := []string{"/fleet", "/fleet/a", "/fleet/b", "/fleet/a/x", "/other", "/", ""}
			for _, b := range in {
				path := paths[int(b>>4)%len(paths)]
				switch b % 8 {
				case 0, 1:
					inFlight = append(inFlight, takeRequests(x)...)
				case 2, 3:
					if len(inFlight) > 0 {
						x.HandleReply(Reply{Request: inFlight[0], Code: []zkwire.Code{0, zkwire.NoNode, zkwire.NoAuth, zkwire.Unimplemented}[b>>4%4&3],
							Children: []string{"a", "b", "c", "d", "e", "f", "g"}[:b>>5], Stat: zkwire.Stat{Czxid: int64(b)}})
						inFlight = inFlight[1:]
					}
				case 4:
					x.Connected(b&16 > 0, int64(b))
					inFlight = nil
				case 5:
					x.Retry()
				default:
					x.HandleEvent(zkwire.WatchEvent{Type: zkwire.Event(b >> 4 & 7), Path: path})
				}
				if len(x.nodes) > 5+1 || len(x.queue) > 100 {
					t.Fatalf("%d nodes, %d queued requests", len(x.nodes), len(x.queue))
				}
			}
			exists := map[string]bool{}
			for _, c := range x.Changes() {
				if c.Expired && !exists[c.Name] {
					t.Fatalf("%s expired and did not exist", c.Name)
				}
				exists[c.Name] = !c.Expired
			}
		}
	})
}

// An event has no transaction id. If one reports the expiry of a node and the connection is lost before the
// next reply, a server that is behind must not bring the node back. A node that was created since is
// accepted, and so is, after maxRejectedConnections, a registry that was restored to an earlier state.
func TestServerBehindRestoresNoExpiredNode(t *testing.T) {
	before, recreated := map[string]int64{"/fleet/s-1": 5, "/fleet/s-2": 6}, map[string]int64{"/fleet/s-1": 9, "/fleet/s-2": 6}
	afterExpiry := func(confirmed bool) *Follower {
		f := New(Config{Root: "/fleet"})
		f.Connected(false, 0)
		reply(f, before)
		f.HandleEvent(zkwire.WatchEvent{Type: zkwire.NodeDeleted, Path: "/fleet/s-1"})
		if confirmed {
			f.ReplyReceived()
		}
		if c := f.Changes(); len(c) != 3 || !c[2].Expired {
			t.Fatalf("changes %+v, want three with an expiry at the end", c)
		}
		f.Connected(true, 7)
		return f
	}
	f := afterExpiry(false)
	if reply(f, before); !f.ServerBehind() || len(f.Changes()) > 0 {
		t.Error("a server that is behind brings back an expired node")
	}
	f.Connected(true, 7)
	if reply(f, map[string]int64{"/fleet/s-2": 6}); f.ServerBehind() || !f.Synced() || !f.Consistent() || len(f.Changes()) > 0 {
		t.Error("a server that has seen the expiry is not accepted")
	}
	f = afterExpiry(false)
	if reply(f, recreated); f.ServerBehind() {
		t.Error("a new node of that name is treated as the expired one")
	}
	if c := f.Changes(); len(c) != 1 || c[0].Expired || c[0].Stat.Czxid != 9 {
		t.Errorf("a new node of that name: %+v", c)
	}
	f = afterExpiry(false)
	for n := 0; ; n++ {
		if reply(f, before); !f.ServerBehind() {
			if c := f.Changes(); n != maxRejectedConnections || len(c) != 1 || c[0].Expired {
				t.Errorf("the server was accepted after %d rejected connections: changes %+v", n, c)
			}
			break
		}
		f.Connected(true, 7)
	}
	// Once a reply has confirmed the expiry nothing is read again.
	f = afterExpiry(true)
	for _, r := range takeRequests(f) {
		if r.Op == zkwire.OpGetData || r.Op == zkwire.OpGetChildren2 {
			t.Errorf("unexpected read %+v", r)
		}
	}
}
