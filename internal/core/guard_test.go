package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// A keyed request that may have run goes again only while its key is known, and only to the group that drops
// repeats, as both stood when it was first sent, whatever the module wants.
func TestKeyedRepeatsOutsideWindowAndGroupAreStopped(t *testing.T) {
	far := target("s-2")
	far.Zone, far.Cell = "west", 2
	moved := target("s-1") // the id of the first server, in another place
	moved.Zone, moved.Cell = "west", 2
	for name, c := range map[string]struct {
		group  policy.Group
		effect policy.Effect
		mayRun int
		to     membership.Entry
		ago    time.Duration // since the first send; the window is 1 s
		want   bool
	}{
		"within both":               {policy.GroupZone, policy.Guarded, 1, target("s-3"), 0, true},
		"another zone":              {policy.GroupZone, policy.Guarded, 1, far, 0, false},
		"another cell":              {policy.GroupCell, policy.Guarded, 1, far, 0, false},
		"every server drops":        {policy.GroupAll, policy.Guarded, 1, far, 0, true},
		"the id in another zone":    {policy.GroupZone, policy.Guarded, 1, moved, 0, false},
		"the id in another cell":    {policy.GroupCell, policy.Guarded, 1, moved, 0, false},
		"just within the window":    {policy.GroupAll, policy.Guarded, 1, target("s-3"), 900 * time.Millisecond, true},
		"the window is over":        {policy.GroupAll, policy.Guarded, 1, target("s-3"), time.Second, false},
		"nothing ran, long ago":     {policy.GroupZone, policy.Guarded, 0, far, time.Minute, true},
		"safe, anywhere, long ago":  {policy.GroupZone, policy.Free, 1, far, time.Minute, true},
		"unsafe, whatever is known": {policy.GroupAll, policy.SingleShot, 1, target("s-3"), 0, false},
	} {
		u := stub{func(context.Context, *Backend, *Call) Result { return Result{Status: policy.Cancelled} }}
		l := newTestLoop(t, u)
		l.table = newTable([]string{"", "west"}, nil)
		class := &l.cfg.Settings.Classes[1]
		class.Group, class.Effect, class.KeyTTLMs = c.group, c.effect, 1000
		first := target("s-1")
		l.table.apply(&membership.List{Entries: []membership.Entry{first}}, false)
		r := &Request{id: 1, call: newCall(u, "1", 1), attempts: []*attempt{{done: true}}, mayRun: c.mayRun}
		r.ran, r.ranOn = time.Now().Add(-c.ago), l.table.entry(l.table.byID["s-1"])
		l.requests[1] = r
		l.table.apply(&membership.List{Entries: []membership.Entry{c.to}}, false)
		l.send(&policy.Action{Kind: policy.ActSend, Request: 1, Server: l.table.byID[c.to.ID].name, Ms: 1000})
		if sent := r.out; (sent == 1) != c.want || (l.figures.Guarded == 0) != c.want {
			t.Errorf("%s: %d sent, %d stopped", name, sent, l.figures.Guarded)
		}
		if to := l.table.entry(l.table.byID[c.to.ID]); c.mayRun == 0 && (time.Since(r.ran) > patience || r.ranOn.Zone != to.Zone) {
			t.Errorf("%s: first sent %v ago, to %+v", name, time.Since(r.ran), r.ranOn)
		}
		if repeat := c.mayRun > 0 && c.effect == policy.Guarded; c.want && r.call.RepeatBy.IsZero() == repeat {
			t.Errorf("%s: its upstream is told %v", name, r.call.RepeatBy)
		}
	}
}
