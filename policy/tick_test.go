package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
)

// silence sends requests to three servers, of which one answers nothing from some moment on, for a second behind
// that. It ticks as the module asks, and from then on each extraMs besides (0: not). It returns when the silent server was left
// alone, and how often the module asked to be woken in a second of calm before, with requests out all the time.
func silence(t *testing.T, seed int, extraMs float64) (leftAt float64, ticks int) {
	r := newRig(t, testSettings(), 3)
	type event struct {
		at float64
		ev Event
	}
	var todo []event
	later := func(at float64, ev Event) { todo = append(todo, event{at, ev}) }
	silentFrom := 2000 + float64(seed%97)
	end := r.now + silentFrom + 1000
	start := r.now
	act := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case ActionTimer:
				if r.now-start > 1000 && r.now-start < 2000 {
					ticks++
				}
				later(r.now+a.DurationMs, Event{Kind: EventTimer, Token: a.Token})
			case ActionForward:
				if a.Server == addr(0) && r.now-start >= silentFrom {
					continue
				}
				took := 40 + float64((int(a.Request)*31+seed)%20)
				later(r.now+took, Event{Kind: EventAttemptEnded, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Status: OK, LatencyMs: took, Final: true})
			}
		}
	}
	for at := r.now; at < end; at += 20 {
		later(at, Event{Kind: EventRequest, Request: RequestID(at), Class: 0, Key: uint64(at)*2654435761 + 1, RemainingMs: 1000})
	}
	if extraMs > 0 {
		for at := r.now + silentFrom; at < end-400; at += extraMs {
			later(at, Event{Kind: EventTimer, Token: 99}) // looked at below
		}
	}
	for len(todo) > 0 {
		first := 0
		for i := range todo {
			if todo[i].at < todo[first].at {
				first = i
			}
		}
		e := todo[first]
		todo = append(todo[:first], todo[first+1:]...)
		if r.now = e.at; e.at > end {
			break
		}
		if e.ev.Token == 99 {
			r.b.now, r.b.actions = r.now, nil
			r.b.ejectSilent()
			act(r.b.actions)
		} else {
			act(r.do(e.ev))
		}
		if leftAt == 0 && r.now-start > silentFrom && r.view(addr(0)).State == Unhealthy {
			leftAt = r.now - start - silentFrom
		}
	}
	return leftAt, ticks
}

// With all requests out the module asks to be woken when a server would count as silent, and not each few ms; and it
// leaves a silent server at the most one of these few ms (10 here) later than if it looked all the time.
func TestTheModuleRestsWhileAllIsOut(t *testing.T) {
	for seed := range 40 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			leftAt, ticks := silence(t, seed, 0)
			want, _ := silence(t, seed, 1)
			if leftAt == 0 || leftAt > want+10 {
				t.Errorf("a silent server was left after %.1f ms, %.1f if looked at each ms", leftAt, want)
			}
			if ticks > 60 {
				t.Errorf("woken %d times in a second of calm", ticks)
			}
		})
	}
}

// While nothing is held and no server is silent a tick changes nothing, neither at once nor for what comes later: that is
// why the module may rest then.
func TestATickWithNothingHeldChangesNothing(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rests, ticks := newWorld(t, seed), newWorld(t, seed)
			ticks.ticking = true
			var got [2][]Action
			for i, w := range []*world{rests, ticks} {
				got[i] = slices.DeleteFunc(w.play(seed, 10+int(seed%4)*10), func(a Action) bool { return a.Kind == ActionTimer })
			}
			if ticks.ticks < 30 {
				t.Fatalf("ticked %d times only", ticks.ticks)
			}
			if !reflect.DeepEqual(got[0], got[1]) {
				t.Errorf("%d actions, %d with %d ticks more, or others", len(got[0]), len(got[1]), ticks.ticks)
			}
		})
	}
}

// A queue that was empty while the module rested has not stood, also where what joins it is a request whose attempt was
// turned away: it waits as long as in a burst.
func TestAQueueIsEmptyWhileTheModuleRests(t *testing.T) {
	set := testSettings()
	set.Classes[1] = Class{Name: "slow", LatencyObjectiveMs: 1200, ClientTimeoutMs: 5000, Effect: Idempotent, PriorityWeight: 1}
	r := newRig(t, set, 2)
	const id = 1
	a := find(r.do(Event{Kind: EventRequest, Request: id, Class: 1, RemainingMs: 5000}), ActionForward)
	if a == nil {
		t.Fatal("not sent")
	}
	s, other := a.Server, addr(1)
	if s == other {
		other = addr(0)
	}
	r.list(UpdateDelta, Endpoint{Server: other, Health: Ready, Weight: 1, Cordoned: true}) // the attempt has nowhere else to go
	r.b.fleet.baselineLatency = 0.05
	for range 5000 {
		r.b.queueTimeout.RequestEnded(false) // nearly all is refused: a queue that stands has the short wait, 180 ms
	}
	r.now += 400 // over the least aim, by which a queue counts as standing
	if find(r.outcome(id, 0, s, Rejected, 400), ActionReject) != nil || len(r.b.queued) != 1 {
		t.Fatalf("%d held behind a turn-away", len(r.b.queued))
	}
	if find(r.tick(10), ActionReject) != nil {
		t.Error("given up after 410 ms, as if the queue had stood since the last event")
	}
	if find(r.tick(80), ActionReject) == nil {
		t.Error("still held after 490 ms, 480 at the most wanted")
	}
}
