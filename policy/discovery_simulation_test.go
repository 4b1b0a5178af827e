package policy

import (
	"slices"
	"testing"
)

// discoveryServer is a roster that works through calls in turn, as one does that everybody asks: who stands in line
// for too long gets a failure but has its work done all the same, and who comes when the line is very long
// fails at once. Times are ms.
type discoveryServer struct {
	callMs                      float64 // the work of a call for changes; a whole list is twice that
	freeAt                      float64 // when the work at hand is done
	clientTimeoutMs, maxQueueMs float64
	callTimes                   []float64 // when calls came
	failed                      int
}

// call takes a call that costs so much time, and tells when and how it ends.
func (l *discoveryServer) call(now, cost float64) (at float64, ok bool) {
	l.callTimes = append(l.callTimes, now)
	if l.freeAt = max(l.freeAt, now); l.freeAt-now > l.maxQueueMs {
		l.failed++
		return now + 25, false
	}
	l.freeAt += cost
	if l.freeAt-now > l.clientTimeoutMs {
		l.failed++
		return now + l.clientTimeoutMs, false
	}
	return l.freeAt, true
}

// maxCallsPerSecond is the most calls in any second.
func (l *discoveryServer) maxCallsPerSecond() int {
	most, from := 0, 0
	for i, t := range l.callTimes {
		for l.callTimes[from] <= t-1000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// simulateStart starts agents, all of which know as much of their last calls, within start ms at one roster, lets each see the
// failures of three servers in its first second, and runs them for 60 s. It returns when each got through for changes;
// -1: never.
func simulateStart(t *testing.T, agents int, last LastPoll, roster *discoveryServer, start float64) []float64 {
	t.Helper()
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs, set.LastPoll = "on_request", 10_000, last
	f := newFleet(t, set, agents)
	following := slices.Repeat([]float64{-1}, agents)
	f.onAction = func(i int, a *Action) {
		switch a.Kind {
		case ActionWatchEndpoints, ActionFetchEndpoints:
			if a.Kind == ActionWatchEndpoints && following[i] >= 0 {
				return
			}
			cost := roster.callMs
			if a.Kind == ActionFetchEndpoints {
				cost *= 2
			}
			if at, ok := roster.call(f.now, cost); !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
			} else if a.Kind == ActionWatchEndpoints {
				following[i] = at
			}
		case ActionForward:
			f.schedule(30, i, Event{Kind: EventAttemptEnded, Request: a.Request, Server: a.Server, Status: Error, LatencyMs: 30})
		}
	}
	for i := range agents {
		f.runUntil(start * float64(i) / float64(agents))
		f.start(i, readyEndpoints(60))
		for k := range 3 {
			f.schedule(300*float64(k+1), i, Event{Kind: EventRequest, Request: RequestID(k + 1), Class: 1, Key: uint64(k*977 + i + 1), RemainingMs: 600})
		}
	}
	f.runUntil(60_000)
	return following
}

// A release that kills all agents at once must not bring the roster down: what it works off for callers who
// have left is lost to those who come after (herd+vast: after the first second no call was answered for
// ten). What a second brings stays under a bound that the contract gives, whatever the number of agents. Agents that
// may have had no answer before have less time to ask in, so that more of them come in a second; no call may fail
// for it.
func TestFleetStartAtOverloadedDiscovery(t *testing.T) {
	for _, c := range []struct {
		agents int
		last   LastPoll
		within float64 // s in which each must ask
	}{
		{1, PollAnswered, maxFirstPollSpread * 10}, {8, PollAnswered, maxFirstPollSpread * 10}, {80, PollAnswered, maxFirstPollSpread * 10}, {800, PollAnswered, maxFirstPollSpread * 10},
		{1, PollUnknown, 4}, {8, PollUnknown, 4}, {80, PollUnknown, 4}, {800, PollUnknown, 4},
	} {
		agents := c.agents
		// 15 calls a second, as seen for 80 agents; in proportion for more.
		r := &discoveryServer{callMs: min(65, 65*80/float64(agents)), clientTimeoutMs: 2000, maxQueueMs: 4700}
		following := simulateStart(t, agents, c.last, r, 200)
		last := slices.Max(following)
		if slices.Contains(following, -1) {
			t.Errorf("%d agents: some never got to follow the list", agents)
		}
		// Each must ask within its time; what comes in a second may be little more than that.
		least := float64(agents) / c.within
		bound := int(max(least*1.6, 24))
		t.Logf("%d agents, last call %d: peak %d calls a second, %d calls, %d failed, the last followed after %.1f s",
			agents, c.last, r.maxCallsPerSecond(), len(r.callTimes), r.failed, last/1000)
		if r.failed > 0 {
			t.Errorf("%d agents: %d calls failed in discovery's queue", agents, r.failed)
		}
		if r.maxCallsPerSecond() > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", agents, r.maxCallsPerSecond(), bound)
		}
		if last > 10_000 {
			t.Errorf("%d agents: the last followed after %.1f s", agents, last/1000)
		}
		each := 2 // one for changes, and one for the whole list, which many must do without
		if agents > fetchingReplicas {
			each = 1
		}
		if n := len(r.callTimes); n > each*agents {
			t.Errorf("%d agents made %d calls", agents, n)
		}
	}
}

// simulateOutage has agents lose their watches at once to a roster that is down for so long and fails each call after 1 s, and
// runs them for 60 s. It returns for how long behind its return the last had no list, the most calls in a second before
// and after it, and the longest queue, in ms of work.
func simulateOutage(t *testing.T, agents int, down float64, roster *discoveryServer) (last float64, before, after int, queue float64) {
	t.Helper()
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	f := newFleet(t, set, agents)
	following := slices.Repeat([]float64{-1}, agents)
	outside := &discoveryServer{}
	f.onAction = func(i int, a *Action) {
		switch {
		case a.Kind != ActionWatchEndpoints || following[i] >= 0:
		case f.now < down:
			outside.callTimes = append(outside.callTimes, f.now)
			f.schedule(1000, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
		default:
			at, ok := roster.call(f.now, roster.callMs)
			if queue = max(queue, roster.freeAt-f.now); !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			following[i] = at
		}
	}
	for i := range agents {
		f.start(i, readyEndpoints(60))
	}
	f.runUntil(60_000)
	if slices.Contains(following, -1) {
		t.Errorf("%d agents: some never got a list again", agents)
	}
	return slices.Max(following) - down, outside.maxCallsPerSecond(), roster.maxCallsPerSecond(), queue
}

// Behind an outage all agents come to a roster that works through calls in turn. The pauses keep the calls of a second
// below one of every other agent. A roster that can take a call of each within updateTold less a queue serves all before
// what it had counts as told; the slowest (8 s, more than there is time) all within a round more, or two where it works
// off calls that were given up, too.
func TestDiscoveryQueueAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		agents  int
		all     float64 // ms for one call of each agent
		longest float64 // of the queue, in ms
		within  float64
	}{
		{6, 2000, 2000, 6000}, {30, 4000, 2000, 6000}, {300, 2000, 2000, 6000}, {300, 4000, 2000, 6000}, {470, 4000, 4700, 6000},
		{300, 8000, 2000, 12_000}, {470, 8000, 2000, 12_000}, {300, 8000, 4700, 18_000},
	} {
		r := &discoveryServer{callMs: c.all / float64(c.agents), clientTimeoutMs: 2000, maxQueueMs: c.longest}
		last, before, after, queue := simulateOutage(t, c.agents, 8000, r)
		t.Logf("%d agents, %v ms for all, queue of %v at the most: %d calls a second while it is down, %d behind; all have the list %.1f s after its return; queue %.0f ms, %d calls failed",
			c.agents, c.all, c.longest, before, after, last/1000, queue, r.failed)
		if last > c.within {
			t.Errorf("%d agents, %v ms for all: the last had no list for %.1f s", c.agents, c.all, last/1000)
		}
		if bound := max(c.agents/2, 24); max(before, after) > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", c.agents, max(before, after), bound)
		}
	}
}

// A process that is killed while it has no answer, as all do that an outage and a release hit together, leaves an agent
// that others know to hold an old list. The one that is started in its place asks within what a failed call would have
// left it, and not in the turn of a whole fleet, which is longer; agents whose last call was answered keep that turn.
func TestRestartAfterAFailedPollPollsInTime(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	for _, c := range []struct {
		agents, restarted, stale int     // of each hundred
		all                      float64 // ms for one call of each agent
	}{{318, 70, 42, 5000}, {318, 70, 42, 8000}, {318, 70, 70, 5000}, {30, 100, 100, 3000}, {6, 100, 50, 2000}} {
		f := newFleet(t, set, c.agents)
		r := &discoveryServer{callMs: c.all / float64(c.agents), clientTimeoutMs: 2000, maxQueueMs: 4700}
		last := map[bool]float64{}
		left := slices.Repeat([]bool{true}, c.agents)
		for i := range c.agents {
			f.agents[i].settings.LastPoll = PollAnswered
			if i*37%100 < c.stale {
				f.agents[i].settings.LastPoll = PollUnanswered
			}
		}
		f.onAction = func(i int, a *Action) {
			if a.Kind != ActionWatchEndpoints || !left[i] {
				return
			}
			at, ok := r.call(f.now, r.callMs)
			if !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			left[i] = false
			stale := f.agents[i].settings.LastPoll == PollUnanswered
			last[stale] = max(last[stale], at)
		}
		for i := range c.agents {
			if i*37%100 < c.restarted {
				f.start(i, readyEndpoints(60))
			}
		}
		f.runUntil(60_000)
		t.Logf("%d agents, %d%% restarted, %d%% with no answer before, %v ms for all: these have the list after %.1f s, the others after %.1f s; %d calls a second, %d failed",
			c.agents, c.restarted, c.stale, c.all, last[true]/1000, last[false]/1000, r.maxCallsPerSecond(), r.failed)
		if last[true] == 0 || last[true] > updateDeadlineMs-minRestartMs {
			t.Errorf("%d agents, %d%% restarted: the last has the list after %.1f s", c.agents, c.restarted, last[true]/1000)
		}
		if bound := max(c.agents/2, 24); r.maxCallsPerSecond() > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", c.agents, r.maxCallsPerSecond(), bound)
		}
	}
}

// Who is killed with the folder that its word was in starts with nothing known of the last call, which may have had no
// answer. What discovery had while its agent was away counts as told updateTold behind that: a process that knows
// nothing asks so soon that it is in time where it was killed and started again within restartMs of the return, if
// discovery can take a call of each of them meanwhile; where it can't, all have the list once it has taken those.
func TestRestartWithUnknownLastPollPollsInTime(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	for _, c := range []struct {
		agents, restarted int     // of each hundred
		all, within       float64 // ms: for one call of each agent; until the last has the list
	}{
		{318, 70, 2000, updateDeadlineMs - minRestartMs}, {318, 70, 5000, updateDeadlineMs - minRestartMs}, {318, 100, 4000, updateDeadlineMs - minRestartMs},
		{30, 100, 3000, updateDeadlineMs - minRestartMs}, {6, 100, 2000, updateDeadlineMs - minRestartMs}, {318, 70, 8000, 6000}, {800, 70, 8000, 6000}, {318, 100, 8000, 18_000},
	} {
		f := newFleet(t, set, c.agents)
		r := &discoveryServer{callMs: c.all / float64(c.agents), clientTimeoutMs: 2000, maxQueueMs: 4700}
		has := slices.Repeat([]bool{true}, c.agents)
		last := 0.0
		f.onAction = func(i int, a *Action) {
			if a.Kind != ActionWatchEndpoints || has[i] {
				return
			}
			at, ok := r.call(f.now, r.callMs)
			if !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			has[i], last = true, max(last, at)
		}
		for i := range c.agents {
			if i*37%100 < c.restarted {
				has[i] = false
				f.start(i, readyEndpoints(60))
			}
		}
		f.runUntil(60_000)
		t.Logf("%d agents, %d%% restarted, %v ms for all: the last has the list after %.1f s; %d calls a second, %d failed",
			c.agents, c.restarted, c.all, last/1000, r.maxCallsPerSecond(), r.failed)
		if slices.Contains(has, false) || last > c.within {
			t.Errorf("%d agents, %d%% restarted, %v ms for all: the last has the list after %.1f s", c.agents, c.restarted, c.all, last/1000)
		}
		if bound := max(c.agents/2, 24); r.maxCallsPerSecond() > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", c.agents, r.maxCallsPerSecond(), bound)
		}
	}
}
