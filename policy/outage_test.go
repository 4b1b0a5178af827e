package policy

import (
	"slices"
	"testing"
)

// outage has agents lose their watches at once to a roster that is down for so long and fails each call after 1 s, and
// runs them for 60 s. It returns for how long behind its return the last had no list, the most calls in a second before
// and after it, and the longest queue, in ms of work.
func outage(t *testing.T, agents int, down float64, roster *line) (last float64, before, after int, queue float64) {
	t.Helper()
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	f := newFleet(t, set, agents)
	following := slices.Repeat([]float64{-1}, agents)
	outside := &line{}
	f.did = func(i int, a *Action) {
		switch {
		case a.Kind != ActionWatchEndpoints || following[i] >= 0:
		case f.now < down:
			outside.asked = append(outside.asked, f.now)
			f.later(1000, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
		default:
			at, ok := roster.call(f.now, roster.callMs)
			if queue = max(queue, roster.freeAt-f.now); !ok {
				f.later(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			following[i] = at
		}
	}
	for i := range agents {
		f.start(i, ready(60))
	}
	f.until(60_000)
	if slices.Contains(following, -1) {
		t.Errorf("%d agents: some never got a list again", agents)
	}
	return slices.Max(following) - down, outside.peak(), roster.peak(), queue
}

// Behind an outage all agents come to a roster that works through calls in turn. The pauses keep the calls of a second
// below one of every other agent. A roster that can take a call of each within updateTold less a queue serves all before
// what it had counts as told; the slowest (8 s, more than there is time) all within a round more, or two where it works
// off calls that were given up, too.
func TestQueueBehindAnOutage(t *testing.T) {
	for _, c := range []struct {
		agents  int
		all     float64 // ms for one call of each agent
		longest float64 // of the queue, in ms
		within  float64
	}{
		{6, 2000, 2000, 6000}, {30, 4000, 2000, 6000}, {300, 2000, 2000, 6000}, {300, 4000, 2000, 6000}, {470, 4000, 4700, 6000},
		{300, 8000, 2000, 12_000}, {470, 8000, 2000, 12_000}, {300, 8000, 4700, 18_000},
	} {
		r := &line{callMs: c.all / float64(c.agents), patience: 2000, longest: c.longest}
		last, before, after, queue := outage(t, c.agents, 8000, r)
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
func TestARestartTakesBackNoFailedCall(t *testing.T) {
	set := testSettings()
	set.DiscoveryMode, set.Contract.PollIntervalMs = "on_request", 10_000
	for _, c := range []struct {
		agents, restarted, stale int     // of each hundred
		all                      float64 // ms for one call of each agent
	}{{318, 70, 42, 5000}, {318, 70, 42, 8000}, {318, 70, 70, 5000}, {30, 100, 100, 3000}, {6, 100, 50, 2000}} {
		f := newFleet(t, set, c.agents)
		r := &line{callMs: c.all / float64(c.agents), patience: 2000, longest: 4700}
		last := map[bool]float64{}
		left := slices.Repeat([]bool{true}, c.agents)
		for i := range c.agents {
			f.agents[i].settings.LastPoll = PollAnswered
			if i*37%100 < c.stale {
				f.agents[i].settings.LastPoll = PollUnanswered
			}
		}
		f.did = func(i int, a *Action) {
			if a.Kind != ActionWatchEndpoints || !left[i] {
				return
			}
			at, ok := r.call(f.now, r.callMs)
			if !ok {
				f.later(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			left[i] = false
			stale := f.agents[i].settings.LastPoll == PollUnanswered
			last[stale] = max(last[stale], at)
		}
		for i := range c.agents {
			if i*37%100 < c.restarted {
				f.start(i, ready(60))
			}
		}
		f.until(60_000)
		t.Logf("%d agents, %d%% restarted, %d%% with no answer before, %v ms for all: these have the list after %.1f s, the others after %.1f s; %d calls a second, %d failed",
			c.agents, c.restarted, c.stale, c.all, last[true]/1000, last[false]/1000, r.peak(), r.failed)
		if last[true] == 0 || last[true] > updateDeadlineMs-minRestartMs {
			t.Errorf("%d agents, %d%% restarted: the last has the list after %.1f s", c.agents, c.restarted, last[true]/1000)
		}
		if bound := max(c.agents/2, 24); r.peak() > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", c.agents, r.peak(), bound)
		}
	}
}

// Who is killed with the folder that its word was in starts with nothing known of the last call, which may have had no
// answer. What discovery had while its agent was away counts as told updateTold behind that: a process that knows
// nothing asks so soon that it is in time where it was killed and started again within restartMs of the return, if
// discovery can take a call of each of them meanwhile; where it can't, all have the list once it has taken those.
func TestARestartThatKnowsNothingIsInTime(t *testing.T) {
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
		r := &line{callMs: c.all / float64(c.agents), patience: 2000, longest: 4700}
		has := slices.Repeat([]bool{true}, c.agents)
		last := 0.0
		f.did = func(i int, a *Action) {
			if a.Kind != ActionWatchEndpoints || has[i] {
				return
			}
			at, ok := r.call(f.now, r.callMs)
			if !ok {
				f.later(at-f.now, i, Event{Kind: EventEndpointUpdate, Update: UpdateFailed})
				return
			}
			has[i], last = true, max(last, at)
		}
		for i := range c.agents {
			if i*37%100 < c.restarted {
				has[i] = false
				f.start(i, ready(60))
			}
		}
		f.until(60_000)
		t.Logf("%d agents, %d%% restarted, %v ms for all: the last has the list after %.1f s; %d calls a second, %d failed",
			c.agents, c.restarted, c.all, last/1000, r.peak(), r.failed)
		if slices.Contains(has, false) || last > c.within {
			t.Errorf("%d agents, %d%% restarted, %v ms for all: the last has the list after %.1f s", c.agents, c.restarted, c.all, last/1000)
		}
		if bound := max(c.agents/2, 24); r.peak() > bound {
			t.Errorf("%d agents: %d calls in a second, over %d", c.agents, r.peak(), bound)
		}
	}
}
