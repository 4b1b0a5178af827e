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
	"ringtrack.example/ringtrack/policy"
)

const (
	// readyTimeout is how long a process waits for a backend before it takes requests beside another process all the
	// same: it has to be ready within 6 s.
	readyTimeout = 4 * time.Second
	// saveInterval bounds how often the endpoint list is saved.
	saveInterval = 100 * time.Millisecond
)

// sharedState is what this process shares with operators, with another process of the agent, and with the
// configuration store.
type sharedState struct {
	dir     *upgrade.Dir // nil: there is only this process
	loop    *core.EventLoop
	renewer *client.Renewer // of the lease on the shared configuration; nil: there is none
	serving atomic.Bool

	endpointsChanged chan struct{} // capacity 1: the endpoint list has changed since it was saved
	stale            atomic.Bool   // the last value of core.Config.DiscoveryStale
	staleChanged     chan struct{} // capacity 1: stale has changed since it was saved

	useLimits  func(processes int) // divides the agent's limits among its processes
	cordonLock sync.Mutex          // orders the saved cordons and those of the loop
}

// newSharedState returns the state of this process. It adds to the loop's configuration what another process has
// saved.
func newSharedState(cfg *Config, loop *core.Config) (*sharedState, error) {
	s := &sharedState{
		dir:              cfg.UpgradeDir,
		endpointsChanged: make(chan struct{}, 1),
		staleChanged:     make(chan struct{}, 1),
	}
	if s.dir == nil {
		return s, nil
	}
	var err error
	if loop.Cordoned, err = s.dir.Cordoned(); err != nil {
		return nil, err // without it requests would go to cordoned backends
	}
	if ids, err := s.dir.IDs(); err != nil {
		slog.Warn("an id that comes to two processes of this agent is not noticed", "err", err)
	} else {
		loop.SharedIDs = ids
	}
	s.useSavedStaleness(loop)
	loop.DiscoveryStale = func(stale bool) {
		s.stale.Store(stale)
		notify(s.staleChanged)
	}
	if loop.WatchNodes != nil {
		return s, nil // the saved list lacks the registry, which each process reads itself
	}
	loop.OnEndpointUpdate = func() { notify(s.endpointsChanged) }
	if s.dir.First() {
		return s, nil // a saved list is of a process that was killed
	}
	saved, err := s.dir.SavedEndpoints()
	if err != nil {
		slog.Warn("saved endpoint list not used", "err", err)
	} else if saved != nil {
		loop.CachedEndpoints = saved.List
		loop.SeenIDs = saved.Seen
	}
	return s, nil
}

// useSavedStaleness has the balancer start with whether the last process had an answer of discovery.
func (s *sharedState) useSavedStaleness(loop *core.Config) {
	stale, found, err := s.dir.DiscoveryStale()
	switch {
	case err != nil:
		slog.Warn("saved discovery state not used", "err", err)
		loop.Settings.LastPoll = policy.PollUnanswered // to poll early does the least harm
	case stale:
		loop.Settings.LastPoll = policy.PollUnanswered
	case found:
		loop.Settings.LastPoll = policy.PollAnswered
	}
}

// notify sends on a channel of capacity 1, unless a value is there already.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run follows and saves what the agent's processes share, until ctx ends.
func (s *sharedState) run(ctx context.Context) {
	if s.dir == nil {
		return
	}
	go s.dir.Follow(ctx, s.applySavedCordons, s.shareLimits)
	go s.saveEndpoints(ctx)
	go s.saveDiscoveryStale(ctx)
}

// applySavedCordons has the loop use the saved cordons, which another process may have changed.
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

// shareLimits divides the agent's limits among its processes: memory and connections to backends. The connections of
// clients are not divided, since the descriptors suffice for those of both processes.
func (s *sharedState) shareLimits(processes int) {
	slog.Info("processes of this agent", "number", processes)
	s.useLimits(processes)
}

// saveDiscoveryStale saves each change of whether the last call to discovery had an answer. A process that starts
// after this one was killed polls at once if it had none.
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

// saveEndpoints saves the endpoint list after each change, at most once in saveInterval.
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

// listenBesidePredecessor waits until this process can serve, and then listens on the address of the other one.
func (s *sharedState) listenBesidePredecessor(stop context.Context, addr string, ready <-chan struct{}) (net.Listener, error) {
	select {
	case <-ready:
	case <-time.After(readyTimeout):
		slog.Warn("no backend is known yet, serving all the same")
	case <-stop.Done():
	}
	ln, err := s.dir.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen beside the other process: %w", err)
	}
	slog.Info("listening beside the other process", "addr", addr)
	return ln, nil
}

// markServing shows operators and the other process that this one serves, once it is ready.
func (s *sharedState) markServing(ready <-chan struct{}) {
	go func() {
		<-ready
		if s.dir != nil {
			if err := s.dir.MarkServing(); err != nil {
				slog.Warn("the other process is not notified of this one", "err", err)
			}
		}
		s.serving.Store(true)
	}()
}

// hasSuccessor reports whether another process takes the requests from now on.
func (s *sharedState) hasSuccessor() bool { return s.dir != nil && s.dir.HasSuccessor() }
