package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/admin"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/upgrade"
	"ringtrack.example/ringtrack/policy"
)

const (
	// loopTimeout bounds how long a ban waits for the loop: an answer is owed within a second. Nothing else does.
	loopTimeout = 600 * time.Millisecond
	// readyTimeout is how long a process that follows another one waits until it has a backend before it takes
	// requests all the same: its yes is owed within 6 s.
	readyTimeout = 4 * time.Second
	// saveInterval bounds how often the list is kept for a process that follows.
	saveInterval = 100 * time.Millisecond
)

// sharedState is the agent as operators and another process of it meet it: behind the door, and in the folder that
// both share.
type sharedState struct {
	dir              *upgrade.Dir // nil: there is only this process
	loop             *core.EventLoop
	endpointsChanged chan struct{} // a value: the list has changed since it was last kept
	stale            atomic.Bool   // as core.Config.Stale has it
	staleChanged     chan struct{} // a value: stale has changed since it was last kept
	serving          atomic.Bool
	useLimits        func(processes int) // makes its part of the limits this process's bound

	renewer *client.Renewer // to the keepers; nil: there are none

	cordonLock sync.Mutex // orders what is kept of bans and what the loop is told of them
}

// newSharedState also tells the loop's configuration what another process has left.
func newSharedState(cfg *Config, loop *core.Config) (*sharedState, error) {
	p := &sharedState{dir: cfg.UpgradeDir, endpointsChanged: make(chan struct{}, 1), staleChanged: make(chan struct{}, 1)}
	if p.dir == nil {
		return p, nil
	}
	var err error
	if loop.Cordoned, err = p.dir.Cordoned(); err != nil {
		return nil, err // to go on would be to send to backends that were banned
	}
	if ids, err := p.dir.IDs(); err != nil {
		slog.Warn("an id that comes to two processes of this agent is not noticed", "err", err)
	} else {
		loop.SharedIDs = ids
	}
	switch stale, found, err := p.dir.DiscoveryStale(); {
	case err != nil:
		slog.Warn("not known whether the last process had an answer of discovery's", "err", err)
		loop.Settings.LastPoll = policy.PollUnanswered // to ask sooner harms least
	case stale:
		loop.Settings.LastPoll = policy.PollUnanswered
	case found:
		loop.Settings.LastPoll = policy.PollAnswered
	}
	loop.DiscoveryStale = func(stale bool) {
		p.stale.Store(stale)
		select {
		case p.staleChanged <- struct{}{}:
		default:
		}
	}
	if loop.WatchNodes != nil {
		return p, nil // what the roster says is not all; each process reads it anew
	}
	loop.EndpointsChanged = func() {
		select {
		case p.endpointsChanged <- struct{}{}:
		default:
		}
	}
	if p.dir.First() {
		return p, nil // what lies there is as old as the process that was killed
	}
	saved, err := p.dir.SavedEndpoints()
	if err != nil {
		slog.Warn("list of the other process not used", "err", err)
	} else if saved != nil {
		loop.CachedEndpoints, loop.SeenIDs = saved.List, saved.Seen
	}
	return p, nil
}

// serveAdmin opens the door, if there is to be one.
func (p *sharedState) serveAdmin(addr string, callers int) (closeDoor func(), err error) {
	if addr == "" {
		return func() {}, nil
	}
	ln, err := p.dir.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	slog.Info("listening for operators", "admin", ln.TCPListener.Addr().String())
	door := admin.New(p, callers)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := door.Serve(ln); err != nil {
			slog.Error("the door has ended", "err", err)
		}
	}()
	return func() { door.Close(); <-ended }, nil
}

// run follows and keeps what both processes share, until ctx ends.
func (p *sharedState) run(ctx context.Context) {
	if p.dir == nil {
		return
	}
	go p.dir.Follow(ctx, func() {
		p.cordonLock.Lock()
		defer p.cordonLock.Unlock()
		ids, err := p.dir.Cordoned()
		if err != nil {
			slog.Warn("bans can't be read, the old ones hold", "err", err)
			return
		}
		p.loop.Post(func() { p.loop.SetCordoned(ids) })
	}, p.shareLimits)
	go p.saveEndpoints(ctx)
	go p.saveDiscoveryStale(ctx)
}

// shareLimits gives each of two processes half of what the agent may use, for as long as both live: of the memory, and of
// the connections to backends. Clients are not sent away for it: their room in both is under the descriptors left.
func (p *sharedState) shareLimits(processes int) {
	slog.Info("processes of this agent", "number", processes)
	p.useLimits(processes)
}

// saveDiscoveryStale keeps whether the last call to discovery had no answer: a process that is killed then leaves a list
// that others know to be old, and the one started after it must not wait for the turn of one that begins.
func (p *sharedState) saveDiscoveryStale(ctx context.Context) {
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-p.staleChanged:
		}
		if err := p.dir.SetDiscoveryStale(p.stale.Load()); err != nil && !failed {
			failed = true
			slog.Warn("a missing answer of discovery's is not kept", "err", err)
		}
	}
}

// saveEndpoints keeps the list for a process that follows.
func (p *sharedState) saveEndpoints(ctx context.Context) {
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-p.endpointsChanged:
		}
		got := make(chan upgrade.SavedEndpoints, 1)
		p.loop.Post(func() {
			var s upgrade.SavedEndpoints
			s.List, s.Seen = p.loop.Endpoints()
			got <- s
		})
		select {
		case <-ctx.Done():
			return
		case s := <-got:
			if err := p.dir.SaveEndpoints(&s); err != nil && !failed {
				failed = true
				slog.Warn("the list is not kept for a process that follows", "err", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(saveInterval):
		}
	}
}

// listenBesidePredecessor waits until this process can serve, and then listens beside the other.
func (p *sharedState) listenBesidePredecessor(stop context.Context, addr string, up <-chan struct{}) (net.Listener, error) {
	select {
	case <-up:
	case <-time.After(readyTimeout):
		slog.Warn("no backend is known yet, serving all the same")
	case <-stop.Done():
	}
	ln, err := p.dir.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen beside the other process: %w", err)
	}
	slog.Info("listening beside the other process", "addr", addr)
	return ln, nil
}

// markServing notes that the address is listened on; the others are told once requests can be served.
func (p *sharedState) markServing(up <-chan struct{}) {
	go func() {
		<-up
		if p.dir != nil {
			if err := p.dir.MarkServing(); err != nil {
				slog.Warn("the other process does not know of this one", "err", err)
			}
		}
		p.serving.Store(true)
	}()
}

// hasSuccessor tells whether another process takes the requests from now on.
func (p *sharedState) hasSuccessor() bool { return p.dir != nil && p.dir.HasSuccessor() }

// Serving tells whether this process can serve.
func (p *sharedState) Serving() bool { return p.serving.Load() }

// Stats are the agent's.
func (p *sharedState) Stats() admin.Stats {
	now := p.loop.Rotation()
	t := p.loop.Counters()
	f := admin.Stats{Written: t.Written.Load(), Open: t.Open.Load(), Listed: now.Listed, Unavailable: now.Unavailable}
	for i := range t.Classes {
		c := &t.Classes[i]
		f.Classes = append(f.Classes, admin.Class{Name: c.Name, Served: c.Served.Load(), Rejected: c.Rejected.Load(), Failed: c.Failed.Load()})
	}
	f.SharedConfig = p.sharedConfigStats()
	return f
}

// Cordon keeps and carries out what an operator says of a backend.
func (p *sharedState) Cordon(id string, on bool) error {
	p.cordonLock.Lock()
	defer p.cordonLock.Unlock()
	known := make(chan bool, 1)
	if !p.loop.Call(loopTimeout/2, func() { known <- p.loop.Known(id) }) {
		return fmt.Errorf("the agent is too busy")
	}
	if !<-known {
		return admin.ErrBackendNotFound
	}
	if p.renewer != nil {
		return p.publishCordon(id, on)
	}
	return p.cordonLocally(id, on)
}

// cordonLocally keeps and carries out a ban of this agent alone.
func (p *sharedState) cordonLocally(id string, on bool) error {
	if p.dir != nil {
		if err := p.dir.Cordon(id, on); err != nil {
			return err
		}
	}
	if !p.loop.Call(loopTimeout/2, func() { p.loop.Cordon(id, on) }) && on {
		return fmt.Errorf("the agent is too busy, the ban holds in a moment")
	}
	return nil
}
