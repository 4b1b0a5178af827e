package policy

import (
	"slices"
	"testing"
)

// discoveryServer simulates a discovery service that works through polls in order. A poll that waits too long
// times out, but causes the same work; one that finds the queue too long fails at once. Times are in
// ms.
type discoveryServer struct {
	callMs                      float64 // cost of a poll for changes; the complete list costs twice as much
	freeAt                      float64 // when the accepted work is done
	clientTimeoutMs, maxQueueMs float64
	callTimes                   []float64 // when polls arrived
	failed                      int
}

// call accepts a poll with the given cost, and returns when it ends and whether it succeeds.
func (d *discoveryServer) call(now, cost float64) (at float64, ok bool) {
	d.callTimes = append(d.callTimes, now)
	if d.freeAt = max(d.freeAt, now); d.freeAt-now > d.maxQueueMs {
		d.failed++
		return now + 25, false
	}
	d.freeAt += cost
	if d.freeAt-now > d.clientTimeoutMs {
		d.failed++
		return now + d.clientTimeoutMs, false
	}
	return d.freeAt, true
}

// maxCallsPerSecond returns the largest number of polls in any second.
func (d *discoveryServer) maxCallsPerSecond() int {
	most, from := 0, 0
	for i, t := range d.callTimes {
		for d.callTimes[from] <= t-1000 {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// simulateStart starts agents with the given last poll within startMs, has each see three failed attempts in
// its first second, and runs them for 60 s. It returns when the first poll of each succeeded; -1: never.
func simulateStart(t *testing.T, agents int, last LastPoll, discovery *discoveryServer, start float64) []float64 {
	t.Helper()
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs, set.LastPoll = "on_request", 10_000, last
	f := newFleet(t, set, agents)
	listedAt := slices.Repeat([]float64{-1}, agents)
	f.onAction = func(i int, a *Action) {
		switch a.Kind {
		case ActionWatchEndpoints, ActionFetchEndpoints:
			if a.Kind == ActionWatchEndpoints && listedAt[i] >= 0 {
				return
			}
			cost := discovery.callMs
			if a.Kind == ActionFetchEndpoints {
				cost *= 2
			}
			if at, ok := discovery.call(f.now, cost); !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
			} else if a.Kind == ActionWatchEndpoints {
				listedAt[i] = at
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
	return listedAt
}

// A release that restarts all agents at once must not overload discovery: the work it does for polls that
// have timed out delays all later ones. The number of polls per second stays below a bound given by the
// contract, whatever the number of agents. Agents whose last poll may have failed have less time, so more of
// them poll per second; no poll may fail because of that.
func TestFleetStartAtOverloadedDiscovery(t *testing.T) {
	for _, c := range []struct {
		agents int
		last   LastPoll
		within float64 // s in which each must poll
	}{
		{1, PollAnswered, maxFirstPollSpread * 10}, {8, PollAnswered, maxFirstPollSpread * 10}, {80, PollAnswered, maxFirstPollSpread * 10}, {800, PollAnswered, maxFirstPollSpread * 10},
		{1, PollUnknown, 4}, {8, PollUnknown, 4}, {80, PollUnknown, 4}, {800, PollUnknown, 4},
	} {
		agents := c.agents
		// 15 polls a second for 80 agents; in proportion for more.
		r := &discoveryServer{callMs: min(65, 65*80/float64(agents)), clientTimeoutMs: 2000, maxQueueMs: 4700}
		listedAt := simulateStart(t, agents, c.last, r, 200)
		last := slices.Max(listedAt)
		if slices.Contains(listedAt, -1) {
			t.Errorf("%d agents: the polls of some never succeeded", agents)
		}
		// All must poll within the time; no second may have many more polls than an even spread.
		least := float64(agents) / c.within
		bound := int(max(least*1.6, 24))
		t.Logf("%d agents, last poll %d: at most %d polls a second, %d polls, %d failed, the last succeeded after %.1f s",
			agents, c.last, r.maxCallsPerSecond(), len(r.callTimes), r.failed, last/1000)
		if r.failed > 0 {
			t.Errorf("%d agents: %d polls failed in the queue of discovery", agents, r.failed)
		}
		if r.maxCallsPerSecond() > bound {
			t.Errorf("%d agents: %d polls in a second, over %d", agents, r.maxCallsPerSecond(), bound)
		}
		if last > 10_000 {
			t.Errorf("%d agents: the last poll succeeded after %.1f s", agents, last/1000)
		}
		each := 2 // one for changes and one for the complete list, which large fleets do not fetch
		if agents > fetchingReplicas {
			each = 1
		}
		if n := len(r.callTimes); n > each*agents {
			t.Errorf("%d agents made %d polls", agents, n)
		}
	}
}

// simulateOutage simulates agents that all start in an outage of discovery of the given length, in which each
// poll fails after 1 s, and runs them for 60 s. It returns how long after the outage the last agent had its
// endpoint list, the largest number of polls in a second during the outage and after it, and the longest
// queue, in ms of work.
func simulateOutage(t *testing.T, agents int, down float64, discovery *discoveryServer) (last float64, before, after int, queue float64) {
	t.Helper()
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	f := newFleet(t, set, agents)
	listedAt := slices.Repeat([]float64{-1}, agents)
	duringOutage := &discoveryServer{}
	f.onAction = func(i int, a *Action) {
		switch {
		case a.Kind != ActionWatchEndpoints || listedAt[i] >= 0:
		case f.now < down:
			duringOutage.callTimes = append(duringOutage.callTimes, f.now)
			f.schedule(1000, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
		default:
			at, ok := discovery.call(f.now, discovery.callMs)
			if queue = max(queue, discovery.freeAt-f.now); !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			listedAt[i] = at
		}
	}
	for i := range agents {
		f.start(i, readyEndpoints(60))
	}
	f.runUntil(60_000)
	if slices.Contains(listedAt, -1) {
		t.Errorf("%d agents: some never got an endpoint list again", agents)
	}
	return slices.Max(listedAt) - down, duringOutage.maxCallsPerSecond(), discovery.maxCallsPerSecond(), queue
}

// After an outage all agents poll a discovery service that works through polls in order. Backoff keeps the
// number of polls per second below half the number of agents. A service that can answer a poll of every agent
// within updateDeadlineMs less its queue does so before agents count as notified of a change. The slowest (8
// s for all, longer than the deadline) needs one more round of polls, or two if it also works through polls
// that have timed out.
func TestDiscoveryQueueAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		agents  int
		all     float64 // ms for one poll of each agent
		longest float64 // of the queue, in ms
		within  float64
	}{
		{6, 2000, 2000, 6000}, {30, 4000, 2000, 6000}, {300, 2000, 2000, 6000}, {300, 4000, 2000, 6000}, {470, 4000, 4700, 6000},
		{300, 8000, 2000, 12_000}, {470, 8000, 2000, 12_000}, {300, 8000, 4700, 18_000},
	} {
		r := &discoveryServer{callMs: c.all / float64(c.agents), clientTimeoutMs: 2000, maxQueueMs: c.longest}
		last, before, after, queue := simulateOutage(t, c.agents, 8000, r)
		t.Logf("%d agents, %v ms for all, queue of at most %v: %d polls a second in the outage, %d after; all have the list %.1f s after it; queue %.0f ms, %d polls failed",
			c.agents, c.all, c.longest, before, after, last/1000, queue, r.failed)
		if last > c.within {
			t.Errorf("%d agents, %v ms for all: the last had no list for %.1f s", c.agents, c.all, last/1000)
		}
		if bound := max(c.agents/2, 24); max(before, after) > bound {
			t.Errorf("%d agents: %d polls in a second, over %d", c.agents, max(before, after), bound)
		}
	}
}

// A process that is killed while its poll is unanswered leaves an agent with a stale endpoint list. Its
// successor polls within the time that a failed poll would have left, instead of in its slot of a complete
// fleet start, which is later. Agents whose last poll was answered keep that slot.
func TestRestartAfterAFailedPollPollsInTime(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	for _, c := range []struct {
		agents, restarted, stale int     // of each hundred
		all                      float64 // ms for one poll of each agent
	}{{318, 70, 42, 5000}, {318, 70, 42, 8000}, {318, 70, 70, 5000}, {30, 100, 100, 3000}, {6, 100, 50, 2000}} {
		f := newFleet(t, set, c.agents)
		r := &discoveryServer{callMs: c.all / float64(c.agents), clientTimeoutMs: 2000, maxQueueMs: 4700}
		last := map[bool]float64{}
		pending := slices.Repeat([]bool{true}, c.agents)
		for i := range c.agents {
			f.agents[i].settings.LastPoll = PollAnswered
			if i*37%100 < c.stale {
				f.agents[i].settings.LastPoll = PollUnanswered
			}
		}
		f.onAction = func(i int, a *Action) {
			if a.Kind != ActionWatchEndpoints || !pending[i] {
				return
			}
			at, ok := r.call(f.now, r.callMs)
			if !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			pending[i] = false
			stale := f.agents[i].settings.LastPoll == PollUnanswered
			last[stale] = max(last[stale], at)
		}
		for i := range c.agents {
			if i*37%100 < c.restarted {
				f.start(i, readyEndpoints(60))
			}
		}
		f.runUntil(60_000)
		t.Logf("%d agents, %d%% restarted, %d%% with no answer before, %v ms for all: these have the list after %.1f s, the others after %.1f s; %d polls a second, %d failed",
			c.agents, c.restarted, c.stale, c.all, last[true]/1000, last[false]/1000, r.maxCallsPerSecond(), r.failed)
		if last[true] == 0 || last[true] > updateDeadlineMs-minRestartMs {
			t.Errorf("%d agents, %d%% restarted: the last has the list after %.1f s",
				c.agents, c.restarted, last[true]/1000)
		}
		if bound := max(c.agents/2, 24); r.maxCallsPerSecond() > bound {
			t.Errorf("%d agents: %d polls in a second, over %d", c.agents, r.maxCallsPerSecond(), bound)
		}
	}
}

// A process whose state directory was lost does not know the outcome of its last poll, which may have failed.
// It polls early enough to be in time after a restart that took minRestartMs, if discovery can answer a poll
// of every agent in that time; otherwise all have the endpoint list once discovery has answered them.
func TestRestartWithUnknownLastPollPollsInTime(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	for _, c := range []struct {
		agents, restarted int     // of each hundred
		all, within       float64 // ms: for one poll of each agent; until the last has the list
	}{
		{318, 70, 2000, updateDeadlineMs - minRestartMs}, {318, 70, 5000, updateDeadlineMs - minRestartMs}, {318, 100, 4000, updateDeadlineMs - minRestartMs},
		{30, 100, 3000, updateDeadlineMs - minRestartMs}, {6, 100, 2000, updateDeadlineMs - minRestartMs}, {318, 70, 8000, 6000}, {800, 70, 8000, 6000}, {318, 100, 8000, 18_000},
	} {
		f := newFleet(t, set, c.agents)
		r := &discoveryServer{callMs: c.all / float64(c.agents), clientTimeoutMs: 2000, maxQueueMs: 4700}
		hasList := slices.Repeat([]bool{true}, c.agents)
		last := 0.0
		f.onAction = func(i int, a *Action) {
			if a.Kind != ActionWatchEndpoints || hasList[i] {
				return
			}
			at, ok := r.call(f.now, r.callMs)
			if !ok {
				f.schedule(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			hasList[i], last = true, max(last, at)
		}
		for i := range c.agents {
			if i*37%100 < c.restarted {
				hasList[i] = false
				f.start(i, readyEndpoints(60))
			}
		}
		f.runUntil(60_000)
		t.Logf("%d agents, %d%% restarted, %v ms for all: the last has the list after %.1f s; %d polls a second, %d failed",
			c.agents, c.restarted, c.all, last/1000, r.maxCallsPerSecond(), r.failed)
		if slices.Contains(hasList, false) || last > c.within {
			t.Errorf("%d agents, %d%% restarted, %v ms for all: the last has the list after %.1f s",
				c.agents, c.restarted, c.all, last/1000)
		}
		if bound := max(c.agents/2, 24); r.maxCallsPerSecond() > bound {
			t.Errorf("%d agents: %d polls in a second, over %d", c.agents, r.maxCallsPerSecond(), bound)
		}
	}
}
