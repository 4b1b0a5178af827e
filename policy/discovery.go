package policy

import (
	"cmp"
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/concurrency"
)

const (
	// askGapMs is the mean time between the first polls of all agents, as far as the poll interval allows:
	// all agents may start at once, and polls that come faster than they are served time out in the queue.
	askGapMs = 60.0
	// askLeast and askMost bound the time for all first polls, as parts of the poll interval.
	askLeast = 1.0 / 8
	askMost  = 0.8
	// askAgain is the part of that time after which a first failed poll is repeated, before backoff.
	askAgain = 0.4
	// updateTold is the time in milliseconds after which a change counts as notified, whatever polls
	// failed.
	updateTold = 6000.0
	// queueMs is the time that a poll may wait in the queue of discovery.
	queueMs = 2000.0
	// askAgainLeast is the lower bound of the longest backoff, in milliseconds.
	askAgainLeast = 1000.0
	// restartMs is the shortest time for which a killed process is away.
	restartMs = 1000.0
	// refetchAgents is the number of agents that may each fetch the complete endpoint list once in a poll
	// interval.
	refetchAgents = 8.0
	// minFetchMs is the shortest time between two fetches of an agent.
	minFetchMs = 1000
)

// askSpread is the time over which all agents make their first calls.
func (b *Balancer) askSpread() float64 {
	within := b.set.Contract.PollIntervalMs
	return min(max(askGapMs*float64(b.agents()), askLeast*within), askMost*within)
}

// askAgainMost bounds the pause before discovery is called again: what it had when a call failed counts as
// told updateTold later, and the next answer has to stand in its queue first. Fewer agents load it less,
// and come back sooner: behind a change of discovery there is less time.
func (b *Balancer) askAgainMost() float64 {
	return min(max(askGapMs*float64(b.agents()), askAgainLeast), updateTold-queueMs)
}

// agents is the number of agents, as far as told, and at least this one.
func (b *Balancer) agents() int { return max(b.set.Replicas, 1) }

// refetch asks for the whole list, seldom: the stream of changes is as fresh,
// and every call loads discovery, the more the more agents there are: failures that all
// see are no reason for all to ask (herd+vast: 100 lists kept the changes from coming).
func (b *Balancer) refetch() {
	least := max(b.set.Contract.PollIntervalMs, minFetchMs)
	if b.now-b.lookedAt >= least*max(float64(b.agents())/refetchAgents, 1) {
		b.lookedAt = b.now
		b.do(Action{Kind: ActionFetchEndpoints})
	}
}

func (b *Balancer) onList(ev *Event) {
	if ev.Update == UpdateFailed {
		b.follows++
		if b.set.DiscoveryMode == "on_request" {
			wait := askAgain * b.askSpread() * math.Pow(2, float64(b.follows))
			wait = min(wait, b.set.Contract.PollIntervalMs, b.askAgainMost())
			wait *= 0.5 + 0.5*b.rng.Float64()
			b.do(Action{Kind: ActionTimer, DurationMs: wait, Token: followToken})
		}
		return
	}
	if ev.Update != UpdateOtherSource {
		b.follows = 0
	}
	b.epoch++
	named := map[Addr]bool{}
	for i := range ev.Endpoints {
		named[ev.Endpoints[i].Server] = true
		b.update(&ev.Endpoints[i])
	}
	if ev.Update == UpdateComplete || ev.Update == UpdateCached {
		for _, s := range b.servers {
			if !named[s.id] {
				s.ready, s.usable = false, false
			}
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.ready && len(s.out) == 0 && !s.probing // a ban may end before the list tells more
		if forget {
			delete(b.byAddr, s.id)
		}
		return forget
	})
	b.placeServers()
}

func (b *Balancer) update(e *Endpoint) {
	s, since := b.byAddr[e.Server], min(finite(e.StartedMs), b.now)
	if s == nil {
		s = &server{id: e.Server, hash: mix(hashAddr(e.Server)), state: Unknown, since: b.now,
			startedAt: since, listedAt: since}
		s.window.Reset(firstWindow)
		b.byAddr[s.id] = s
		s.credit = b.rng.Float64()
		i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
			return cmp.Compare(hashAddr(x.id), hashAddr(y.id))
		})
		b.servers = slices.Insert(b.servers, i, s)
	}
	if lifted := s.banned && !e.Cordoned; since > s.listedAt || lifted {
		// A new process: nothing known of the old one holds, and it is cold. Banned ones are restarted
		// meanwhile; whatever the list has told by then, they count as just started.
		if s.startedAt = since; lifted {
			s.startedAt = b.now
		}
		s.listedAt = since
		s.state, s.since, s.silent, s.lostAt = Unknown, b.now, false, 0
		s.strikes, s.good, s.lat, s.samples, s.load = 0, 0, 0, 0, concurrency.LoadReport{}
		s.window.Reset(1)
		// A part of a request by chance: of many agents that never earn a whole one, as
		// many send one as together earned one (ia9314f: new servers were left idle).
		s.credit = b.rng.Float64()
	}
	s.zone, s.cell, s.ready, s.banned = e.Zone, e.Cell, e.Health == Ready, e.Cordoned
	s.usable = s.ready && !s.banned
	if s.weight = finite(e.Weight); s.weight <= 0 {
		s.weight = 1
	}
}
