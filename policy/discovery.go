package policy

import (
	"cmp"
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/concurrency"
)

const (
	// firstPollGapMs is the mean time between the first polls of all agents, as far as the poll interval
	// allows: all agents may start at once, and polls that arrive faster than they are served time out in
	// the queue.
	firstPollGapMs = 60.0
	// minFirstPollSpread and maxFirstPollSpread bound the time over which all first polls are spread, as
	// fractions of the poll interval.
	minFirstPollSpread = 1.0 / 8
	maxFirstPollSpread = 0.8
	// pollBackoffFraction is the base of the poll backoff, as a fraction of the time over which all first
	// polls are spread.
	pollBackoffFraction = 0.4
	// updateDeadlineMs is the time after which agents count as notified of a change, even if polls failed.
	updateDeadlineMs = 6000.0
	// discoveryQueueMs is the time that a poll may wait in the queue of the discovery service.
	discoveryQueueMs = 2000.0
	// minPollBackoffMs is the lower bound of the maximum backoff.
	minPollBackoffMs = 1000.0
	// minRestartMs is the minimum downtime of a killed process.
	minRestartMs = 1000.0
	// fetchingReplicas is the number of agents that may each fetch the complete endpoint list once per poll
	// interval.
	fetchingReplicas = 8.0
	// minFetchMs is the minimum time between two fetches of an agent.
	minFetchMs = 1000
)

// discoveryState is the state of the endpoint list polls.
type discoveryState struct {
	fetchedAt   float64 // last fetch of the complete list
	failedPolls int     // failed polls in a row
}

// startDiscovery sets the timer of the first poll if the endpoint list is polled. Agents that start together
// each get their own poll slot, by their index.
func (b *Balancer) startDiscovery() {
	if b.settings.DiscoveryMode == discoveryOnRequest {
		slot := (float64(b.replicaSlot()) + b.rng.Float64()) / float64(b.replicas())
		spread := b.firstPollSpreadMs()
		switch b.settings.LastPoll {
		case PollUnanswered:
			spread = min(spread, updateDeadlineMs-discoveryQueueMs-minRestartMs)
		case PollUnknown: // it may have been unanswered
			spread = min(spread, updateDeadlineMs-discoveryQueueMs)
		}
		b.emit(Action{Kind: ActionTimer, DurationMs: slot * spread, Token: pollTimerToken})
	}
	if float64(b.replicas()) > fetchingReplicas {
		b.discovery.fetchedAt = b.now // counts as a fetch, as the list is fresh at the start
	}
}

// firstPollSpreadMs returns the time over which the first polls of all agents are spread.
func (b *Balancer) firstPollSpreadMs() float64 {
	interval := b.settings.Contract.PollIntervalMs
	spread := max(firstPollGapMs*float64(b.replicas()), minFirstPollSpread*interval)
	return min(spread, maxFirstPollSpread*interval)
}

// maxPollBackoffMs bounds the backoff before the next poll: a change that was pending when a poll failed has
// to arrive within updateDeadlineMs, and the next poll may first wait in the queue of the discovery service.
// Few agents put less load on discovery, so they poll again sooner.
func (b *Balancer) maxPollBackoffMs() float64 {
	return min(max(firstPollGapMs*float64(b.replicas()), minPollBackoffMs), updateDeadlineMs-discoveryQueueMs)
}

// replicas returns the number of agents that share the load, at least 1.
func (b *Balancer) replicas() int { return max(b.settings.Replicas, 1) }

// replicaSlot returns the agent's index among the replicas.
func (b *Balancer) replicaSlot() int { return max(b.settings.ReplicaIndex, 0) % b.replicas() }

// fetchEndpoints fetches the complete endpoint list, at most once per poll interval, and less often the more
// agents there are: many agents see the same failure at once, and every fetch loads discovery.
func (b *Balancer) fetchEndpoints() {
	interval := max(b.settings.Contract.PollIntervalMs, minFetchMs)
	if b.now-b.discovery.fetchedAt >= interval*max(float64(b.replicas())/fetchingReplicas, 1) {
		b.discovery.fetchedAt = b.now
		b.emit(Action{Kind: ActionFetchEndpoints})
	}
}

// onEndpointUpdate applies an update of the endpoint list. A server that is no longer ready is removed once
// no attempt is in flight on it and no health check is running.
func (b *Balancer) onEndpointUpdate(ev *Event) {
	if ev.Update == UpdateFailed {
		b.onPollFailed()
		return
	}
	if ev.Update != UpdateOtherSource {
		b.discovery.failedPolls = 0
	}
	b.tierGeneration++
	listed := map[Addr]bool{}
	for i := range ev.Endpoints {
		listed[ev.Endpoints[i].Server] = true
		b.updateServer(&ev.Endpoints[i])
	}
	if ev.Update == UpdateComplete || ev.Update == UpdateCached {
		for _, s := range b.servers {
			if !listed[s.addr] {
				s.ready = false
				s.usable = false
			}
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		// A server that is only cordoned stays: the cordon may end before the next update.
		remove := !s.ready && len(s.inflight) == 0 && !s.checking
		if remove {
			delete(b.byAddr, s.addr)
		}
		return remove
	})
	b.setRingOffsets()
}

// onPollFailed sets the timer of the next poll, with exponential backoff and jitter.
func (b *Balancer) onPollFailed() {
	b.discovery.failedPolls++
	if b.settings.DiscoveryMode != discoveryOnRequest {
		return
	}
	wait := pollBackoffFraction * b.firstPollSpreadMs() * math.Pow(2, float64(b.discovery.failedPolls))
	wait = min(wait, b.settings.Contract.PollIntervalMs, b.maxPollBackoffMs())
	wait *= 0.5 + 0.5*b.rng.Float64()
	b.emit(Action{Kind: ActionTimer, DurationMs: wait, Token: pollTimerToken})
}

// updateServer applies one entry of the endpoint list. After a later start time or the end of a cordon the
// server counts as a new process: cordoned servers are restarted meanwhile, whatever start time the list has.
func (b *Balancer) updateServer(e *Endpoint) {
	s := b.byAddr[e.Server]
	started := min(nonNegative(e.StartedMs), b.now)
	if s == nil {
		s = b.addServer(e.Server, started)
	}
	if uncordoned := s.cordoned && !e.Cordoned; started > s.listedStart || uncordoned {
		s.listedStart = started
		s.startedAt = started
		if uncordoned {
			s.startedAt = b.now
		}
		b.resetServer(s)
	}
	s.zone = e.Zone
	s.cell = e.Cell
	s.ready = e.Health == Ready
	s.cordoned = e.Cordoned
	s.usable = s.ready && !s.cordoned
	s.weight = nonNegative(e.Weight)
	if s.weight <= 0 {
		s.weight = 1
	}
}

// addServer adds a server that has not been observed yet.
func (b *Balancer) addServer(addr Addr, started float64) *server {
	s := &server{
		addr:            addr,
		hash:            mix64(hashAddr(addr)),
		state:           Unknown,
		stateSince:      b.now,
		startedAt:       started,
		listedStart:     started,
		slowStartTokens: b.initialSlowStartTokens(),
	}
	s.limit.Reset(initialLimit)
	b.byAddr[addr] = s
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Compare(hashAddr(x.addr), hashAddr(y.addr))
	})
	b.servers = slices.Insert(b.servers, i, s)
	return s
}

// resetServer discards what was observed of the server's previous process.
func (b *Balancer) resetServer(s *server) {
	s.state = Unknown
	s.stateSince = b.now
	s.silent = false
	s.connectFailedSince = 0
	s.ejections = 0
	s.successes = 0
	s.latency = 0
	s.samples = 0
	s.loadReport = concurrency.LoadReport{}
	s.limit.Reset(1)
	s.slowStartTokens = b.initialSlowStartTokens()
}
