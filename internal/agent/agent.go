package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	httpdown "ringtrack.example/ringtrack/internal/downstream/http"
	"ringtrack.example/ringtrack/internal/downstream/shutdown"
	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/stall"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	httpup "ringtrack.example/ringtrack/internal/upstream/http"
	thriftup "ringtrack.example/ringtrack/internal/upstream/thrift"
)

// Run serves until stop is done, and then shuts down gracefully. It returns nil once every request is
// answered. At each signal from reloadSignals it calls reread and applies those parts of the configuration
// that can change without a restart. A nil ln means that another process of this agent serves: Run then opens
// the listener itself, once it can serve.
func Run(stop context.Context, reloadSignals <-chan os.Signal, reread func() (*Config, error), cfg *Config, ln net.Listener) error {
	return run(stop, cfg, ln, func(loop *core.EventLoop, _ *semaphore.Weighted) {
		useDiscovery := func(addr string) { loop.Post(func() { loop.SwitchDiscovery(addr) }) }
		go reload(stop, reloadSignals, reread, cfg, useDiscovery)
	})
}

// run is Run without reloads. Before the loop starts, it calls created with the loop and the memory budget
// for bodies.
func run(stop context.Context, cfg *Config, ln net.Listener, created func(*core.EventLoop, *semaphore.Weighted)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // runs last: open requests need the loop until the downstreams have shut down
	p, err := newProcess(ctx, cfg)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	closeAdmin, err := p.state.serveAdmin(cfg.AdminAddr, cfg.maxAdminConnections())
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer closeAdmin()
	created(p.loop, p.bodyBudget)
	loopEnded := make(chan struct{})
	go func() {
		defer close(loopEnded)
		p.loop.Run()
	}()
	p.state.run(ctx)
	stopRenewer, err := p.state.holdLease(ctx, cfg)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer stopRenewer()
	if ln, err = p.listen(stop, ln); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	failed := p.serve(ln)
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	p.drain(ln, p.stalls.Earliest(time.Now()))
	cancel()
	<-loopEnded
	slog.Info("stopped", "figures", fmt.Sprintf("%+v", p.loop.Stats()))
	return nil
}

// process holds the components of an agent process.
type process struct {
	cfg        *Config
	bodyBudget *semaphore.Weighted // bytes
	pool       *conns.Pool
	loop       *core.EventLoop
	state      *sharedState
	ready      chan struct{} // closed once requests can be served

	http           *httpdown.Server
	thrift         *thrift.Server // nil: there is none
	thriftAddr     string
	thriftListener net.Listener // set by listen

	stalls   *stall.Watcher
	upstream *httpup.Upstream

	shutdownPlan shutdown.Plan
}

// newProcess creates the components of a process without starting them.
func newProcess(ctx context.Context, cfg *Config) (*process, error) {
	p := &process{cfg: cfg, bodyBudget: semaphore.NewWeighted(cfg.bodyBudget()), pool: newPool(cfg), ready: make(chan struct{})}
	p.stalls = stall.Watch(ctx)
	p.shutdownPlan = cfg.shutdownPlan()
	upstream := &httpup.Upstream{Pool: p.pool, Budget: p.bodyBudget, ReportFields: cfg.loadReportNames()}
	p.upstream = upstream
	p.http = httpdown.New(&cfg.Settings, p.bodyBudget, upstream, cfg.maxIdleClients(), cfg.maxClientConnections())
	p.http.SetConnMemory(cfg.clientConnMemory())
	p.http.Stalls = p.stalls
	p.http.BodyMemory = cfg.requestBudget()
	upstreams := []core.Upstream{upstream}
	if err := p.newThrift(); err != nil {
		return nil, err
	}
	if p.thrift != nil {
		upstreams = append(upstreams, p.thrift.Upstream)
	}
	loopConfig := cfg.eventLoopConfig()
	loopConfig.HealthCheck = upstream.HealthCheck
	var err error
	if p.state, err = newSharedState(cfg, &loopConfig); err != nil {
		return nil, err
	}
	var readyOnce sync.Once
	p.loop, err = core.New(ctx, loopConfig, p.bodyBudget, upstreams, func() {
		p.http.Ready()
		readyOnce.Do(func() { close(p.ready) })
	})
	if err != nil {
		return nil, err
	}
	p.http.EventLoop = p.loop
	p.pool.AttemptsWritten = &p.loop.Counters().Written
	p.state.loop = p.loop
	p.state.pool = p.pool
	p.state.framingDisagreements = p.http.FramingDisagreements
	p.state.useLimits = p.divideLimits
	return p, nil
}

// divideLimits gives each of the agent's processes an equal part of the memory, that of clients' connections included,
// and of the connections to backends.
func (p *process) divideLimits(processes int) {
	p.http.SetConnMemory(p.cfg.clientConnMemory() / processes)
	debug.SetMemoryLimit(p.cfg.MemoryLimit(processes))
	p.pool.SetMax(p.cfg.maxBackendConnections() / processes)
}

// listen opens the listeners that are not open yet, and returns the one for HTTP. A nil ln means that another process of this
// agent serves: until this one can serve, clients' connections must not go to it.
func (p *process) listen(stop context.Context, ln net.Listener) (net.Listener, error) {
	if ln == nil {
		awaitReady(stop, p.ready)
	}
	if err := p.listenThrift(); err != nil {
		return nil, err
	}
	if ln == nil {
		return p.state.listenBesidePredecessor(p.cfg.Listen)
	}
	return ln, nil
}

// listenThrift opens the listener of the Thrift downstream, if there is one.
func (p *process) listenThrift() (err error) {
	if p.thrift == nil {
		return nil
	}
	if p.thriftListener, err = p.cfg.UpgradeDir.Listen(p.thriftAddr); err != nil {
		return fmt.Errorf("thrift: listen: %w", err)
	}
	slog.Info("listening for Thrift", "addr", p.thriftListener.Addr().String())
	return nil
}

// newThrift creates the Thrift downstream, where one is configured.
func (p *process) newThrift() error {
	if p.cfg.ThriftFile == "" {
		return nil
	}
	c, err := thrift.Load(p.cfg.ThriftFile)
	if err != nil {
		return err
	}
	table, err := c.Table(p.cfg.Settings.Classes)
	if err != nil {
		return err
	}
	p.thriftAddr = c.Listen
	limits := thriftwire.Limits{Size: c.FrameLimit, Depth: c.DepthLimit}
	p.thrift = &thrift.Server{
		Upstream:     &thriftup.Upstream{Pool: p.pool, Budget: p.bodyBudget, Limits: limits},
		Budget:       p.bodyBudget,
		BudgetBytes:  p.cfg.requestBudget(),
		Table:        table,
		Limits:       limits,
		MaxConns:     p.cfg.maxThriftConnections(),
		ConnMemory:   p.cfg.clientConnMemory(),
		RetryAfterMs: p.cfg.Settings.Limits.MaxRetryAfterMs,
		Stalls:       p.stalls,
	}
	return nil
}

// serve starts the downstreams. A downstream that fails sends its error to failed.
func (p *process) serve(ln net.Listener) (failed chan error) {
	failed = make(chan error, 2)
	go func() { failed <- p.http.Serve(ln) }()
	p.state.markServing(p.ready)
	if p.thrift != nil {
		p.thrift.EventLoop = p.loop
		go func() {
			if err := p.thrift.Serve(p.thriftListener); err != nil {
				failed <- err
			}
		}()
	}
	return failed
}

// drain shuts down the downstreams according to shutdownPlan, and returns once every request is answered. The plan counts
// from when the signal may have been sent.
func (p *process) drain(ln net.Listener, signaledAt time.Time) {
	schedule := p.shutdownPlan.Schedule(signaledAt, time.Now())
	slog.Info("ending", "serves_for", p.shutdownPlan.Serve, "accepts_for", p.shutdownPlan.Read,
		"answers_within", p.shutdownPlan.Answer, "noticed_after", time.Since(signaledAt))
	p.stalls.Report(func(length time.Duration) {
		slog.Warn("process did not run", "for", length, "since_signal", time.Since(signaledAt))
	})
	p.upstream.WholeReplies.Store(true)
	p.loop.Post(func() { p.loop.ShutDown(schedule.ReadUntil, schedule.AnswerBy) })
	if p.state.hasSuccessor() {
		schedule.ListenUntil = time.Now()
		p.http.HandOver(ln)
	}
	var thriftDone sync.WaitGroup
	if p.thrift != nil {
		thriftDone.Go(func() { p.thrift.Shutdown(p.thriftListener, schedule) })
	}
	if err := p.http.Shutdown(schedule); err != nil {
		// The connections never sent a request.
		slog.Warn("HTTP downstream ended with open connections", "err", err)
	}
	thriftDone.Wait()
}

// durationFromMs converts a time of the settings, which is in ms.
func durationFromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
