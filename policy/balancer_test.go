package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
)

// simulateSilentServer sends requests to three servers, one of which stops answering at some time, and runs
// for a second after that. Timers fire as the Balancer sets them; from that time on ejectSilent also runs
// every extraMs, if that is not 0. It returns how long after that time the silent server was ejected, and how
// many timers were set in the second before, in which requests were always in flight.
func simulateSilentServer(t *testing.T, seed int, extraMs float64) (ejectedAt float64, ticks int) {
	r := newHarness(t, testSettings(), 3)
	type event struct {
		at float64
		ev Event
	}
	var pending []event
	schedule := func(at float64, ev Event) { pending = append(pending, event{at, ev}) }
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
				schedule(r.now+a.DurationMs, Event{Kind: EventTimer, Token: a.Token})
			case ActionForward:
				if a.Server == addr(0) && r.now-start >= silentFrom {
					continue
				}
				took := 40 + float64((int(a.Request)*31+seed)%20)
				schedule(r.now+took, Event{Kind: EventAttemptEnded, Request: a.Request, Attempt: a.Attempt, Server: a.Server, Status: OK, LatencyMs: took, Final: true})
			}
		}
	}
	for at := r.now; at < end; at += 20 {
		schedule(at, Event{Kind: EventRequest, Request: RequestID(at), Class: 0, Key: uint64(at)*2654435761 + 1, RemainingMs: 1000})
	}
	if extraMs > 0 {
		for at := r.now + silentFrom; at < end-400; at += extraMs {
			schedule(at, Event{Kind: EventTimer, Token: 99}) // handled below
		}
	}
	for len(pending) > 0 {
		first := 0
		for i := range pending {
			if pending[i].at < pending[first].at {
				first = i
			}
		}
		e := pending[first]
		pending = append(pending[:first], pending[first+1:]...)
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
		if ejectedAt == 0 && r.now-start > silentFrom && r.view(addr(0)).State == Unhealthy {
			ejectedAt = r.now - start - silentFrom
		}
	}
	return ejectedAt, ticks
}

// While no request is queued the tick timer is set for the time at which a server counts as silent, instead
// of every few ms. A silent server is ejected at most one tick (10 ms here) later than with a check every ms.
func TestTickTimerRunsOnlyWhenNeeded(t *testing.T) {
	for seed := range 40 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			ejectedAt, ticks := simulateSilentServer(t, seed, 0)
			want, _ := simulateSilentServer(t, seed, 1)
			if ejectedAt == 0 || ejectedAt > want+10 {
				t.Errorf("a silent server was ejected after %.1f ms, %.1f if checked every ms", ejectedAt, want)
			}
			if ticks > 60 {
				t.Errorf("%d timers in a second", ticks)
			}
		})
	}
}

// While nothing is queued and no server is silent, a tick changes no action, neither then nor later, so no
// timer needs to run.
func TestTickWithAnEmptyQueueChangesNothing(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plain, ticks := newRandomRun(t, seed), newRandomRun(t, seed)
			ticks.extraTicks = true
			var got [2][]Action
			for i, w := range []*randomRun{plain, ticks} {
				got[i] = slices.DeleteFunc(w.simulate(seed, 10+int(seed%4)*10), func(a Action) bool { return a.Kind == ActionTimer })
			}
			if ticks.ticks < 30 {
				t.Fatalf("ticked %d times only", ticks.ticks)
			}
			if !reflect.DeepEqual(got[0], got[1]) {
				t.Errorf("%d actions, %d with %d more ticks, or other actions",
					len(got[0]), len(got[1]), ticks.ticks)
			}
		})
	}
}
