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
	// discoveryPushed is the DiscoveryMode in which the balancer expects updates without requesting them.
	discoveryPushed = "pushed"
	// pushedMinBackoff and pushedMaxBackoff bound the backoff after a failed call if updates are pushed. In
	// this mode the discovery server runs on the same machine, so calls are cheap.
	pushedMinBackoff = 100 * time.Millisecond
	pushedMaxBackoff = time.Second
)

// useDiscovery makes addr the current discovery server. Callbacks of the previous client are ignored:
// revisions of different servers are not comparable.
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

// SwitchDiscovery switches to another discovery server and requests its complete list. The current
// endpoints stay in use until that list arrives. It must be called in the loop.
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

// Discovery returns the current discovery client. It must be called in the loop, or before Run.
func (l *EventLoop) Discovery() *discovery.Client { return l.discoveryClient }

// updatesPushed reports whether the balancer expects updates without requesting them. The loop then keeps a
// watch open, as the balancer never requests one.
func (l *EventLoop) updatesPushed() bool { return l.cfg.Settings.DiscoveryMode == discoveryPushed }

// startWatch opens a watch. If updates are pushed, the watch is reopened until the loop ends; otherwise its
// failure is reported to the balancer, which decides when to open another.
func (l *EventLoop) startWatch() {
	l.watching = true
	if !l.discoveryContacted && !l.endpoints.usable() {
		go l.discoveryClient.FetchInitial()
	}
	l.discoveryContacted = true
	if l.updatesPushed() {
		go l.discoveryClient.Follow(pushedMinBackoff, pushedMaxBackoff)
		return
	}
	l.setDiscoveryStale(true)
	go l.discoveryClient.Watch(l.revision, l.awaitingCompleteList)
}

// fetchEndpoints requests the endpoint list once, unless a fetch is already in progress.
func (l *EventLoop) fetchEndpoints() {
	if l.fetching {
		return
	}
	l.fetching = true
	go l.discoveryClient.Fetch()
}

// setDiscoveryStale calls Config.DiscoveryStale on a change. The endpoint list is stale if it may be older
// than the one that the discovery server has sent to other agents.
func (l *EventLoop) setDiscoveryStale(stale bool) {
	if l.cfg.DiscoveryStale == nil || l.updatesPushed() || l.discoveryStale == stale {
		return
	}
	l.discoveryStale = stale
	l.cfg.DiscoveryStale(stale)
}

// discoveryAnswered handles the result of a fetch, and each event and the end of a watch.
func (l *EventLoop) discoveryAnswered(list *membership.List, watch bool, err error) {
	if watch && err != nil {
		l.watching = l.updatesPushed() // Follow reopens the watch
	} else if !watch {
		l.fetching = false
	}
	if watch {
		l.setDiscoveryStale(err != nil)
	}
	if err != nil {
		l.discoveryFailed(err)
		if !watch || !l.updatesPushed() { // the balancer needs the end of each call that it requested
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

// serverRestarted reports whether a list with a lower revision comes from a server that has restarted
// without its state: it sends a complete list on a watch. The call must have been made after the current
// list was received, as a late answer to an earlier call would undo a drain.
func (l *EventLoop) serverRestarted(list *membership.List, watch bool) bool {
	return watch && list.Full &&
		(list.RequestedAt.IsZero() || !list.RequestedAt.Before(l.revisionReceivedAt))
}

// discoveryFailed records that a discovery call has failed.
func (l *EventLoop) discoveryFailed(err error) {
	if l.merge != nil {
		l.merge.DiscoveryLost(err)
	}
	l.log(slog.LevelWarn, "discovery call failed", "err", err)
}

// watchNodes applies registry changes to the merge until the loop's context ends.
func (l *EventLoop) watchNodes() {
	l.cfg.WatchNodes(l.ctx, func(apply func(*membership.Merge, float64)) {
		l.Post(func() {
			apply(l.merge, l.now())
			l.applyMergeChanges(policy.UpdateOtherSource)
		})
	})
}

// updateEndpoints applies an endpoint list, complete or a delta, and records its revision.
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

// applyMergeChanges applies the changes of the merge that are due, and sets a timer for the next change
// that depends on time alone.
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

// applyEndpoints applies a list to the endpoint table and passes the changes to the balancer.
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

// Endpoints returns the current endpoint list, in no particular order, and the ids that were listed before
// and are not now. It must be called in the loop.
func (l *EventLoop) Endpoints() (list membership.List, seen []string) {
	return l.endpoints.list(l.revision)
}

// IsListed reports whether a backend with this id is listed. It must be called in the loop.
func (l *EventLoop) IsListed(id string) bool { return l.endpoints.byID[id] != nil }

// Known reports whether a backend with this id is, or ever was, listed. It must be called in the loop.
func (l *EventLoop) Known(id string) bool { return l.endpoints.known(id) }
