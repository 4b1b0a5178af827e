package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/upgrade"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/policy"
)

const (
	// readyTimeout is how long a process that starts beside another one waits until it knows a backend. Then
	// it takes requests anyway, since it has to be ready within 6 s.
	readyTimeout = 4 * time.Second
	// saveInterval is the minimum time between two saves of the endpoint list.
	saveInterval = 100 * time.Millisecond
)

// sharedState is the state that this process shares with operators, with another process of the agent, and
// with the configuration store.
type sharedState struct {
	dir  *upgrade.Dir // nil: there is only this process
	loop *core.EventLoop
	pool *conns.Pool
	// framingDisagreements returns how many requests were rejected as two readers of their head disagree.
	framingDisagreements func() int64
	renewer              *client.Renewer // renews the lease on the shared configuration; nil: there is none
	serving              atomic.Bool

	endpointsChanged chan struct{} // capacity 1; a value: the endpoint list has changed since it was saved
	stale            atomic.Bool   // the last value passed to core.Config.DiscoveryStale
	staleChanged     chan struct{} // capacity 1; a value: stale has changed since it was saved

	useLimits  func(processes int) // divides the agent's limits among its processes
	cordonLock sync.Mutex          // keeps the saved cordons and those of the loop in the same order
}

// newSharedState returns the state of this process. It adds the state that another process has saved to the
// loop's configuration.
func newSharedState(cfg *Config, loopConfig *core.Config) (*sharedState, error) {
	s := &sharedState{
		dir:              cfg.UpgradeDir,
		endpointsChanged: make(chan struct{}, 1),
		staleChanged:     make(chan struct{}, 1),
	}
	if s.dir == nil {
		return s, nil
	}
	var err error
	if loopConfig.Cordoned, err = s.dir.Cordoned(); err != nil {
		return nil, err // without the saved cordons requests would go to cordoned backends
	}
	if ids, err := s.dir.IDs(); err != nil {
		slog.Warn("an id that comes to two processes of this agent is not noticed", "err", err)
	} else {
		loopConfig.SharedIDs = ids
	}
	s.loadDiscoveryStale(loopConfig)
	loopConfig.DiscoveryStale = func(stale bool) {
		s.stale.Store(stale)
		notify(s.staleChanged)
	}
	if loopConfig.WatchNodes != nil {
		return s, nil // a saved list would lack the registry, which each process reads itself
	}
	loopConfig.OnEndpointUpdate = func() { notify(s.endpointsChanged) }
	if s.dir.First() {
		return s, nil // a saved list is from a process that was killed
	}
	saved, err := s.dir.SavedEndpoints()
	if err != nil {
		slog.Warn("saved endpoint list not used", "err", err)
	} else if saved != nil {
		loopConfig.CachedEndpoints = saved.List
		loopConfig.SeenIDs = saved.Seen
	}
	return s, nil
}

// loadDiscoveryStale passes to the balancer whether the last poll of the previous process had an answer.
func (s *sharedState) loadDiscoveryStale(loopConfig *core.Config) {
	stale, found, err := s.dir.DiscoveryStale()
	switch {
	case err != nil:
		slog.Warn("saved discovery state not used", "err", err)
		loopConfig.Settings.LastPoll = policy.PollUnanswered // the least harmful choice is an early poll
	case stale:
		loopConfig.Settings.LastPoll = policy.PollUnanswered
	case found:
		loopConfig.Settings.LastPoll = policy.PollAnswered
	}
}

// notify sends on a channel of capacity 1, unless it already holds a value.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run follows and saves the state that the agent's processes share, until ctx ends.
func (s *sharedState) run(ctx context.Context) {
	if s.dir == nil {
		return
	}
	go s.dir.Follow(ctx, s.applySavedCordons, s.shareLimits)
	go s.saveEndpoints(ctx)
	go s.saveDiscoveryStale(ctx)
}

// applySavedCordons applies the saved cordons, which another process may have changed, to the loop.
func (s *sharedState) applySavedCordons() {
	s.cordonLock.Lock()
	defer s.cordonLock.Unlock()
	ids, err := s.dir.Cordoned()
	if err != nil {
		slog.Warn("bans can't be read, the old ones hold", "err", err)
		return
	}
	s.loop.Post(func() { s.loop.SetCordoned(ids) })
}

// shareLimits divides the agent's limits for memory and for connections to backends among its processes. The
// limit for connections of clients is not divided, since the descriptors suffice for those of both processes.
func (s *sharedState) shareLimits(processes int) {
	slog.Info("processes of this agent", "number", processes)
	s.useLimits(processes)
}

// saveDiscoveryStale saves, at each change, whether the last call to discovery had an answer. If it had none,
// a process that starts after this one was killed polls at once.
func (s *sharedState) saveDiscoveryStale(ctx context.Context) {
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.staleChanged:
		}
		if err := s.dir.SetDiscoveryStale(s.stale.Load()); err != nil && !failed {
			failed = true
			slog.Warn("discovery state not saved", "err", err)
		}
	}
}

// saveEndpoints saves the endpoint list after each change, at most once per saveInterval.
func (s *sharedState) saveEndpoints(ctx context.Context) {
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.endpointsChanged:
		}
		current := make(chan upgrade.SavedEndpoints, 1)
		s.loop.Post(func() {
			list, seen := s.loop.Endpoints()
			current <- upgrade.SavedEndpoints{List: list, Seen: seen}
		})
		select {
		case <-ctx.Done():
			return
		case endpoints := <-current:
			if err := s.dir.SaveEndpoints(&endpoints); err != nil && !failed {
				failed = true
				slog.Warn("endpoint list not saved", "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveInterval):
		}
	}
}

// awaitReady waits until this process can serve, but at most for readyTimeout.
func awaitReady(stop context.Context, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-time.After(readyTimeout):
		slog.Warn("no backend is known yet; serving anyway")
	case <-stop.Done():
	}
}

// listenBesidePredecessor listens on the address that the other process listens on.
func (s *sharedState) listenBesidePredecessor(addr string) (net.Listener, error) {
	ln, err := s.dir.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen beside the other process: %w", err)
	}
	slog.Info("listening beside the other process", "addr", addr)
	return ln, nil
}

// markServing shows operators and the other process that this one serves, as soon as it is ready.
func (s *sharedState) markServing(ready <-chan struct{}) {
	go func() {
		<-ready
		if s.dir != nil {
			if err := s.dir.MarkServing(); err != nil {
				slog.Warn("cannot notify the other process that this one serves", "err", err)
			}
		}
		s.serving.Store(true)
	}()
}

// hasSuccessor reports whether a newer process takes over the requests.
func (s *sharedState) hasSuccessor() bool { return s.dir != nil && s.dir.HasSuccessor() }
