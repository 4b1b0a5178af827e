package core

import (
	"context"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/rulebook"
	"ringtrack.example/ringtrack/policy"
)

// agreeing returns a loop that does not run and acts by a book, and what its upstream was asked.
func agreeing(t *testing.T, refuse bool) (*Loop, chan *Call) {
	t.Helper()
	sent := make(chan *Call, 100)
	u := stub{do: func(ctx context.Context, _ *Backend, c *Call) Result {
		sent <- c
		<-ctx.Done()
		return Result{Status: policy.Cancelled}
	}}
	l := newTestLoop(t, u)
	l.cfg.Agreed = &Agreed{Refuse: refuse}
	l.agree()
	l.list(&membership.List{Revision: 1, Full: true, Entries: []membership.Entry{target("s-1"), target("s-2")}}, policy.ListDelta, true)
	return l, sent
}

func (l *Loop) take(t *testing.T, id string, class int) (*Request, *Answer) {
	t.Helper()
	c := newCall(l.upstreams[0], id, class)
	r := l.Take(c)
	select {
	case a := <-c.Answer:
		return r, &a
	default:
		return r, nil
	}
}

// An agent that never had a lease refuses; one whose list is over refuses again, and one that is to serve does not.
func TestNothingKnownIsRefused(t *testing.T) {
	l, sent := agreeing(t, true)
	if _, a := l.take(t, "1", 0); a == nil || a.Verdict != Refused || a.AfterMs != 600 {
		t.Fatalf("before any lease: %+v", a)
	}
	now := time.Now()
	l.Adopt(2, &rulebook.Book{}, now.Add(time.Hour), now.Add(2*time.Hour))
	if _, a := l.take(t, "2", 0); a != nil {
		t.Fatalf("with a lease: %+v", a)
	}
	<-sent
	l.Renew(now.Add(-2*time.Second), now.Add(-time.Second))
	if _, a := l.take(t, "3", 0); a == nil || a.Verdict != Refused {
		t.Fatalf("the list is over: %+v", a)
	}
	l, sent = agreeing(t, false)
	if _, a := l.take(t, "1", 0); a != nil {
		t.Fatalf("one that is to serve: %+v", a)
	}
	<-sent
	if l.cfg.Settings.Limits.MaxAttempts != 1 || l.cfg.Settings.Classes[0].Effect != policy.SingleShot {
		t.Errorf("it serves by %+v", l.cfg.Settings)
	}
}

// Behind the end of the lease nothing is sent again, whatever the module says and before it knows; and with a new one
// it is as before.
func TestNoRepeatBehindTheLease(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		want int
	}{{time.Hour, 1}, {-time.Millisecond, 0}} {
		l, sent := agreeing(t, true)
		l.Adopt(2, &rulebook.Book{}, time.Now().Add(time.Hour), time.Now().Add(2*time.Hour))
		r, _ := l.take(t, "1", 0)
		<-sent
		r.attempts[0].done = true // it may have run, and its end is still to come
		r.out = 0
		l.Renew(time.Now().Add(c.left), time.Now().Add(time.Hour))
		l.send(&policy.Action{Kind: policy.ActSend, Request: r.id, Server: l.table.byID["s-1"].name, Ms: 1000})
		if r.out != c.want || l.figures.Guarded != 1-c.want {
			t.Errorf("%v left: %d sent again, %d stopped", c.left, r.out, l.figures.Guarded)
		}
		if c.want == 1 {
			if again := <-sent; again.RepeatBy.IsZero() {
				t.Error("its upstream does not know until when it may be begun")
			}
		}
	}
	l, _ := agreeing(t, true)
	l.Adopt(2, &rulebook.Book{}, time.Now().Add(-time.Millisecond), time.Now().Add(time.Hour))
	l.lapsed()
	if f, _ := l.AgreedFigures(); !f.Strict || f.Lapses != 1 || l.cfg.Settings.Limits.MaxAttempts != 1 {
		t.Errorf("lapsed: %+v", f)
	}
	l.Renew(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	if f, _ := l.AgreedFigures(); f.Strict || l.cfg.Settings.Limits.MaxAttempts != 3 || l.cfg.Settings.Classes[1].Effect != policy.Guarded {
		t.Errorf("a lease again: %+v, %+v", f, l.cfg.Settings)
	}
}

// A request that is open while the rules change keeps the narrowest; a repeat that is on its way out is not begun.
func TestOpenRequestsKeepTheNarrowestRules(t *testing.T) {
	l, sent := agreeing(t, true)
	far := time.Now().Add(time.Hour)
	l.Adopt(2, &rulebook.Book{}, far, far)
	first, _ := l.take(t, "1", 1)
	c := <-sent
	again, _ := l.take(t, "2", 1)
	d := <-sent
	again.attempts = append(again.attempts, again.attempts[0])
	l.Adopt(3, &rulebook.Book{Classes: map[string]rulebook.Class{"send": {Effect: policy.Guarded, Group: policy.GroupZone, KeyTTLMs: 500}}}, far, far)
	if k := l.class(first); k.Group != policy.GroupZone || k.KeyTTLMs != 500 || c.Outdated.Load() {
		t.Errorf("narrowed to %+v, outdated %v", k, c.Outdated.Load())
	}
	if !d.Outdated.Load() {
		t.Error("a repeat by the old rules may still be begun")
	}
	l.Adopt(4, &rulebook.Book{}, far, far)
	if k := l.class(first); k.Group != policy.GroupZone || k.KeyTTLMs != 500 {
		t.Errorf("widened to %+v", k)
	}
	if now, _ := l.take(t, "3", 1); l.class(now).KeyTTLMs != 8000 {
		t.Errorf("a new one has %+v", l.class(now))
	}
	l.Adopt(5, &rulebook.Book{Classes: map[string]rulebook.Class{"read": {Effect: policy.Free}, "order": {Effect: policy.Free}}}, far, far)
	if l.cfg.Settings.Classes[2].Effect != policy.SingleShot {
		t.Error("the book widened what the agent's file permits")
	}
}

// The book's word on servers: bans, servers that it does not list, weights; the roster's word holds beside it, and a ban
// that was told here ends with the book's.
func TestTheBooksWordOnServers(t *testing.T) {
	l, _ := agreeing(t, true)
	far := time.Now().Add(time.Hour)
	shut := func(what string, want ...string) {
		t.Helper()
		got := map[string]bool{}
		for id, b := range l.table.byID {
			if b.Closed() {
				got[id] = true
			}
		}
		for _, id := range want {
			if !got[id] {
				t.Errorf("%s: %s is open", what, id)
			}
		}
		if len(got) != len(want) {
			t.Errorf("%s: shut are %v, not %v", what, got, want)
		}
	}
	shut("at first")
	l.Adopt(2, &rulebook.Book{Bans: []string{"s-1"}}, far, far)
	shut("banned", "s-1")
	l.list(&membership.List{Revision: 2, Entries: []membership.Entry{target("s-1"), target("s-3")}}, policy.ListDelta, false)
	shut("listed as up", "s-1")
	l.Ban("s-1", true)
	l.Yield("s-1", 5)
	l.Adopt(3, &rulebook.Book{Listed: true, Servers: map[string]rulebook.Server{"s-1": {}, "s-2": {Weight: 3}, "s-9": {}}}, far, far)
	shut("not in the book, and banned here", "s-1", "s-3")
	if e := l.table.entry(l.table.byID["s-2"]); e.Weight != 3 {
		t.Errorf("weight %v", e.Weight)
	}
	l.Adopt(5, &rulebook.Book{}, far, far)
	shut("the book has the word")
	l.Ban("s-2", true)
	l.Yield("s-2", 4)
	shut("a ban that the book has ended by now")
	drains := target("s-2")
	drains.State = membership.Draining
	l.list(&membership.List{Revision: 3, Entries: []membership.Entry{drains}}, policy.ListDelta, false)
	l.Adopt(6, &rulebook.Book{Listed: true, Servers: map[string]rulebook.Server{"s-1": {}, "s-2": {}, "s-3": {}}}, far, far)
	shut("the roster says it drains", "s-2")
}
