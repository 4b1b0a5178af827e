package core

import (
	"context"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// A cordon persists across endpoint updates, also for a backend that is removed and listed again, until it
// is ended explicitly. An id that was never listed is not known.
func TestCordonPersistsAcrossEndpointUpdates(t *testing.T) {
	var l *EventLoop
	u := stub{do: func(_ context.Context, b *Backend, _ *Call) Result {
		return Result{Status: policy.OK, Reply: b.id}
	}}
	l = newTestLoop(t, u)
	ids := []string{"s-1", "s-2"}
	list := func(full bool, entries ...membership.Entry) {
		l.updateEndpoints(&membership.List{Revision: l.revision + 1, Full: full, Entries: entries}, policy.UpdateDelta, full)
	}
	list(true, listedBackend(ids[0]), listedBackend(ids[1]))
	check := func(what string, unavailable bool, wantUnavailable int) {
		t.Helper()
		r := l.Rotation()
		if got := l.endpoints.getOrCreate(ids[0]).Unavailable(); got != unavailable || r.Unavailable != wantUnavailable {
			t.Errorf("%s: Unavailable is %v, the rotation %+v", what, got, r)
		}
	}
	check("before the cordon", false, 0)
	if l.Known("s-9") || !l.Known("s-1") {
		t.Error("Known(s-9) is true, or Known(s-1) is false")
	}
	l.Cordon("s-1", true)
	l.Cordon("s-1", true)
	check("cordoned twice", true, 1)
	list(false, listedBackend("s-1"))
	check("listed as up", true, 1)
	removed := listedBackend("s-1")
	removed.State = membership.Removed
	list(false, removed)
	if r := l.Rotation(); r != (Rotation{Listed: 1}) || !l.Known("s-1") {
		t.Errorf("after the removal of s-1: rotation %+v, or s-1 is unknown", r)
	}
	back := listedBackend("s-1")
	back.StartedMs = l.now() - 100
	list(false, back)
	check("listed again", true, 1)
	for _, v := range l.balancer.View(l.now(), nil) {
		if v.Usable != (v.Server != l.endpoints.byID["s-1"].policyAddr) {
			t.Errorf("the balancer's view is %+v", v)
		}
	}
	l.SetCordoned(nil) // the other process has no cordons
	check("cordon ended", false, 0)
	l.SetCordoned([]string{"s-2"})
	if !l.endpoints.getOrCreate("s-2").Unavailable() {
		t.Error("the cordon of another process was not applied")
	}
	l.Cordon("s-2", false)
	if r := l.Rotation(); r != (Rotation{Listed: 2}) {
		t.Errorf("after the last cordon has ended: rotation %+v", r)
	}
}
