package core

import (
	"context"
	"testing"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// A ban holds from its return on, whatever the list says meanwhile, also of a backend that left the list and
// came back; one call ends it. An id that was never listed is not known.
func TestBan(t *testing.T) {
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
	step := func(what string, closed0 bool, out int) {
		t.Helper()
		r := l.Rotation()
		if got := l.endpoints.getOrCreate(ids[0]).Unavailable(); got != closed0 || r.Unavailable != out {
			t.Errorf("%s: closed %v, %+v", what, got, r)
		}
	}
	step("at first", false, 0)
	if l.Known("s-9") || !l.Known("s-1") {
		t.Error("ids are mixed up")
	}
	l.Cordon("s-1", true)
	l.Cordon("s-1", true)
	step("banned twice", true, 1)
	list(false, listedBackend("s-1"))
	step("listed as up meanwhile", true, 1)
	gone := listedBackend("s-1")
	gone.State = membership.Removed
	list(false, gone)
	if r := l.Rotation(); r != (Rotation{Listed: 1}) || !l.Known("s-1") {
		t.Errorf("gone: %+v", r)
	}
	back := listedBackend("s-1")
	back.StartedMs = l.now() - 100
	list(false, back)
	step("back and still banned", true, 1)
	for _, v := range l.balancer.View(l.now(), nil) {
		if v.Usable != (v.Server != l.endpoints.byID["s-1"].name) {
			t.Errorf("the module has %+v", v)
		}
	}
	l.SetCordoned(nil) // the other process was told
	step("no longer", false, 0)
	l.SetCordoned([]string{"s-2"})
	if !l.endpoints.getOrCreate("s-2").Unavailable() {
		t.Error("the other process's ban does not hold here")
	}
	l.Cordon("s-2", false)
	if r := l.Rotation(); r != (Rotation{Listed: 2}) {
		t.Errorf("in the end %+v", r)
	}
}

// What the tally tells is what the clients were told.
func TestTally(t *testing.T) {
	status := map[string]policy.Status{"a": policy.OK, "b": policy.Error, "c": policy.Rejected}
	u := stub{do: func(_ context.Context, _ *Backend, c *Call) Result { return Result{Status: status[c.ID]} }}
	l := running(t, u)
	want := map[string]Outcome{"a": Served, "b": Failed, "c": Rejected}
	for _, id := range []string{"a", "b", "c"} {
		if a := l.roundTrip(t, newCall(u, id, 2)); a.Outcome != want[id] {
			t.Errorf("%s: %+v", id, a)
		}
	}
	c := &l.Counters().Classes[2]
	if c.Name != "order" || c.Served.Load() != 1 || c.Failed.Load() != 1 || c.Rejected.Load() != 1 || l.Counters().Open.Load() != 0 {
		t.Errorf("%s: served %d, refused %d, failed %d, open %d", c.Name, c.Served.Load(), c.Rejected.Load(), c.Failed.Load(), l.Counters().Open.Load())
	}
}
