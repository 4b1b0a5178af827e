package core

import (
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// An endpoint list that is older than the current one is dropped, unless the discovery server has restarted.
func TestOlderEndpointListIsDropped(t *testing.T) {
	l := running(t, stub{})
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
		// So does a late answer on the watch to a call before the drain. A restarted server answers a later call.
		requestedAt := l.revisionReceivedAt.Add(-time.Millisecond)
		old := membership.List{Revision: 8, Full: true, Entries: []membership.Entry{listedBackend("s-1"), listedBackend("s-2")}, RequestedAt: requestedAt}
		l.discoveryAnswered(&old, true, nil)
		if !l.endpoints.byID["s-1"].Unavailable() {
			t.Error("the answer to an older call undid a drain")
		}
		old.RequestedAt = l.revisionReceivedAt.Add(time.Millisecond)
		if l.discoveryAnswered(&old, true, nil); l.revision != 8 || l.endpoints.byID["s-1"].Unavailable() || l.endpoints.byID["s-2"] == nil {
			t.Error("the list of a restarted server was dropped")
		}
		l.discoveryAnswered(&membership.List{Revision: 10, Full: true}, true, nil)
		if len(l.endpoints.byID) != 0 || len(l.endpoints.byAddr) != 0 {
			t.Error("a removed backend was not forgotten")
		}
	})
	<-done
}

// All agents give an id the same address, and two ids never share one.
func TestServerAddressesAreStableAndUnique(t *testing.T) {
	x, y := newEndpointTable(nil, nil), newEndpointTable(nil, nil)
	a, b := x.getOrCreate("s-1"), y.getOrCreate("s-1")
	if a.name != b.name {
		t.Error("two agents give one backend different addresses")
	}
	delete(y.byID, "s-1") // now another id has its address
	if c := y.getOrCreate("s-1"); c.name == b.name {
		t.Error("two backends have one address")
	}
}
