package core

import (
	"log/slog"
	"math"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/policy"
)

const (
	// discoveryPushed is the DiscoveryMode in which the balancer expects updates without a call of its own.
	discoveryPushed = "pushed"
	// pushedMinBackoff and pushedMaxBackoff bound the backoff after a failed call where updates are pushed. The
	// discovery server then runs on the agent's own machine, so that a call is cheap.
	pushedMinBackoff = 100 * time.Millisecond
	pushedMaxBackoff = time.Second
)

// useDiscovery makes addr the current discovery server. Callbacks of the previous client are dropped: their
// revisions do not compare with those of this server.
func (l *EventLoop) useDiscovery(addr string) {
	client := discovery.NewClient(l.ctx, addr)
	if l.updatesPushed() {
		client.PollFrequently()
	}
	client.SetPollSlot(l.cfg.Settings.ReplicaIndex, l.cfg.Settings.Replicas)
	postIfCurrent := func(f func()) {
		l.Post(func() {
			if l.discoveryClient == client {
				f()
			}
		})
	}
	client.OnSilent = func(err error) {
		postIfCurrent(func() {
			l.discoveryFailed(err)
			l.setDiscoveryStale(true)
		})
	}
	client.OnAlive = func() {
		postIfCurrent(func() { l.setDiscoveryStale(false) })
	}
	client.OnUpdate = func(list *membership.List, watch bool, err error) {
		postIfCurrent(func() { l.discoveryAnswered(list, watch, err) })
	}
	l.discoveryClient = client
}

// SwitchDiscovery moves to another discovery server and requests its complete list. The current endpoints stay in use
// until that arrives. It is called in the loop.
func (l *EventLoop) SwitchDiscovery(addr string) {
	if addr == l.discoveryClient.Addr {
		return
	}
	l.discoveryClient.Close()
	l.useDiscovery(addr)
	l.revision = 0
	l.awaitingCompleteList = true
	l.fetching = false
	l.startWatch()
}

// Discovery returns the current discovery client. It is called in the loop, or before Run.
func (l *EventLoop) Discovery() *discovery.Client { return l.discoveryClient }

// updatesPushed reports whether the balancer expects updates without a call of its own. The loop then keeps a watch
// open, since the balancer never requests one.
func (l *EventLoop) updatesPushed() bool { return l.cfg.Settings.DiscoveryMode == discoveryPushed }

// startWatch opens a watch. Where updates are pushed it is reopened until the loop ends; else its failure is reported
// to the balancer, which decides when to open another.
func (l *EventLoop) startWatch() {
	l.watching = true
	if !l.contacted && !l.endpoints.usable() {
		go l.discoveryClient.FetchInitial()
	}
	l.contacted = true
	if l.updatesPushed() {
		go l.discoveryClient.Follow(pushedMinBackoff, pushedMaxBackoff)
		return
	}
	l.setDiscoveryStale(true)
	go l.discoveryClient.Watch(l.revision, l.awaitingCompleteList)
}

// fetchEndpoints requests the endpoint list once, unless such a request is in progress.
func (l *EventLoop) fetchEndpoints() {
	if l.fetching {
		return
	}
	l.fetching = true
	go l.discoveryClient.Fetch()
}

// setDiscoveryStale reports a change of whether the endpoint list may be older than what the server has sent others.
func (l *EventLoop) setDiscoveryStale(stale bool) {
	if l.cfg.DiscoveryStale == nil || l.updatesPushed() || l.discoveryStale == stale {
		return
	}
	l.discoveryStale = stale
	l.cfg.DiscoveryStale(stale)
}

// discoveryAnswered takes the end of a fetch, or an event or the end of a watch.
func (l *EventLoop) discoveryAnswered(list *membership.List, watch bool, err error) {
	if watch && err != nil {
		l.watching = l.updatesPushed() // that watch is reopened
	} else if !watch {
		l.fetching = false
	}
	if watch {
		l.setDiscoveryStale(err != nil)
	}
	if err != nil {
		l.discoveryFailed(err)
		if !watch || !l.updatesPushed() { // the balancer gets the end of each call that it requested
			l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateFailed})
		}
		return
	}
	if list.Revision < l.revision && !l.serverRestarted(list, watch) {
		return
	}
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateComplete
	}
	l.updateEndpoints(list, kind, list.Full)
	l.notifyReady()
}

// serverRestarted reports whether a list with a lower revision comes from a server that has restarted without state:
// it sends a complete list on a watch. The call has to be younger than the current list, as a late answer to an
// earlier call would undo a drain.
func (l *EventLoop) serverRestarted(list *membership.List, watch bool) bool {
	return watch && list.Full &&
		(list.RequestedAt.IsZero() || !list.RequestedAt.Before(l.revisionReceivedAt))
}

// discoveryFailed notes that the discovery server has not answered.
func (l *EventLoop) discoveryFailed(err error) {
	if l.merge != nil {
		l.merge.DiscoveryLost(err)
	}
	l.log(slog.LevelWarn, "discovery call failed", "err", err)
}

// watchNodes applies changes of the registry to the merge until the loop's context ends.
func (l *EventLoop) watchNodes() {
	l.cfg.WatchNodes(l.ctx, func(apply func(*membership.Merge, float64)) {
		l.Post(func() {
			apply(l.merge, l.now())
			l.applyMergeChanges(policy.UpdateOtherSource)
		})
	})
}

// updateEndpoints takes an endpoint list, complete or a delta, at its revision.
func (l *EventLoop) updateEndpoints(list *membership.List, kind policy.UpdateKind, complete bool) {
	l.revision = list.Revision
	l.revisionReceivedAt = time.Now()
	l.awaitingCompleteList = l.awaitingCompleteList && !complete
	if l.merge != nil {
		l.merge.UpdateDiscovery(l.now(), list)
		l.applyMergeChanges(policy.UpdateDelta)
		return
	}
	l.applyEndpoints(list, kind, complete)
}

// applyMergeChanges applies what the merge has changed by now, and sets a timer for changes by time alone.
func (l *EventLoop) applyMergeChanges(kind policy.UpdateKind) {
	now := l.now()
	changes := membership.List{Entries: l.merge.Changes(now)}
	if len(changes.Entries) > 0 || kind != policy.UpdateOtherSource {
		l.applyEndpoints(&changes, kind, false)
	}
	if l.mergeTimer != nil {
		l.mergeTimer.Stop()
		l.mergeTimer = nil
	}
	if next := l.merge.NextDeadlineMs(); !math.IsInf(next, 1) {
		l.mergeTimer = time.AfterFunc(max(durationFromMs(next-now), time.Millisecond), func() {
			l.Post(func() { l.applyMergeChanges(policy.UpdateOtherSource) })
		})
	}
	l.notifyReady()
}

// applyEndpoints applies a list to the endpoint table and gives the balancer what has changed.
func (l *EventLoop) applyEndpoints(list *membership.List, kind policy.UpdateKind, complete bool) {
	changes := l.endpoints.apply(list, complete)
	for _, b := range changes.closeIdle {
		l.closeIdle(b)
	}
	l.handle(&policy.Event{Kind: policy.EventEndpointUpdate, Update: kind, Endpoints: changes.endpoints})
	for _, b := range changes.removed {
		l.endpoints.forget(b)
	}
	l.publishRotation()
	if l.cfg.OnEndpointUpdate != nil {
		l.cfg.OnEndpointUpdate()
	}
}

// Endpoints returns the current endpoint list, in no order, and the ids that were listed before. It is called in the
// loop.
func (l *EventLoop) Endpoints() (list membership.List, seen []string) {
	return l.endpoints.list(l.revision)
}

// IsListed reports whether a backend of this id is listed. It is called in the loop.
func (l *EventLoop) IsListed(id string) bool { return l.endpoints.byID[id] != nil }

// Known reports whether a backend of this id is, or ever was, listed. It is called in the loop.
func (l *EventLoop) Known(id string) bool { return l.endpoints.known(id) }
