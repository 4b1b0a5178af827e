package core

import (
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// An endpoint list that is older than the current one is ignored unless the discovery server has restarted:
// it would undo a drain.
func TestOlderEndpointListIsDropped(t *testing.T) {
	l := startTestLoop(t, stub{})
	done := make(chan bool)
	l.Post(func() {
		defer close(done)
		drains := listedBackend("s-1")
		drains.State = membership.Draining
		l.discoveryAnswered(&membership.List{Revision: 9, Entries: []membership.Entry{drains}}, true, nil)
		l.discoveryAnswered(&membership.List{Revision: 8, Full: true, Entries: []membership.Entry{listedBackend("s-1")}}, false, nil)
		if !l.endpoints.byID["s-1"].Unavailable() {
			t.Error("an older list undid a drain")
		}
		// The same applies to a late answer on the watch to a call made before the drain. A restarted server
		// answers a call made after it.
		requestedAt := l.revisionReceivedAt.Add(-time.Millisecond)
		old := membership.List{Revision: 8, Full: true, Entries: []membership.Entry{listedBackend("s-1"), listedBackend("s-2")}, RequestedAt: requestedAt}
		l.discoveryAnswered(&old, true, nil)
		if !l.endpoints.byID["s-1"].Unavailable() {
			t.Error("the answer to an older call undid a drain")
		}
		old.RequestedAt = l.revisionReceivedAt.Add(time.Millisecond)
		if l.discoveryAnswered(&old, true, nil); l.revision != 8 || l.endpoints.byID["s-1"].Unavailable() || l.endpoints.byID["s-2"] == nil {
			t.Error("the list of a restarted server was ignored")
		}
		l.discoveryAnswered(&membership.List{Revision: 10, Full: true}, true, nil)
		if len(l.endpoints.byID) != 0 || len(l.endpoints.byPolicyAddr) != 0 {
			t.Error("a removed backend was not deleted")
		}
	})
	<-done
}

// All agents map an id to the same address, and two ids never share one.
func TestServerAddressesAreStableAndUnique(t *testing.T) {
	x, y := newEndpointTable(nil, nil), newEndpointTable(nil, nil)
	a, b := x.getOrCreate("s-1"), y.getOrCreate("s-1")
	if a.policyAddr != b.policyAddr {
		t.Error("two agents map one backend to different addresses")
	}
	delete(y.byID, "s-1") // the address is now occupied, but not by s-1
	if c := y.getOrCreate("s-1"); c.policyAddr == b.policyAddr {
		t.Error("two backends have one address")
	}
}
