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
	httpfront "ringtrack.example/ringtrack/internal/downstream/http"
	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/thriftwire"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	httpup "ringtrack.example/ringtrack/internal/upstream/http"
	thriftup "ringtrack.example/ringtrack/internal/upstream/thrift"
)

// Run serves until stop is done, then ends in order. It returns nil when every
// request that was held has been answered. At each signal of reread it takes over
// what can change without a restart from the configuration that read returns.
// ln is nil where another process of this agent serves: then the address is listened on once this one can.
func Run(stop context.Context, reread <-chan os.Signal, read func() (*Config, error), cfg *Config, ln net.Listener) error {
	return run(stop, cfg, ln, func(l *core.EventLoop, _ *semaphore.Weighted) {
		go reload(stop, reread, read, cfg, func(discovery string) { l.Post(func() { l.SwitchDiscovery(discovery) }) })
	})
}

// run is Run, which also hands out the loop, before it starts, and the memory for bodies.
func run(stop context.Context, cfg *Config, ln net.Listener, made func(*core.EventLoop, *semaphore.Weighted)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // only after the front: requests held need the loop to the end
	budget := semaphore.NewWeighted(cfg.bodyBudget())
	pool := newPool(cfg)
	upstream := &httpup.Upstream{Pool: pool, Budget: budget, ReportFields: cfg.loadReportNames()}
	f := httpfront.New(&cfg.Settings, budget, upstream, cfg.maxIdleClients(), cfg.maxClientConnections())
	upstreams := []core.Upstream{upstream}
	tf, tln, err := newThrift(cfg, budget, pool)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	if tf != nil {
		upstreams = append(upstreams, tf.Upstream)
	}
	loop := cfg.eventLoopConfig()
	loop.HealthCheck = upstream.HealthCheck
	pair, err := newSharedState(cfg, &loop)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	up := make(chan struct{})
	var isUp sync.Once
	l, err := core.New(ctx, loop, budget, upstreams, func() {
		f.Ready()
		isUp.Do(func() { close(up) })
	})
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	serve, answer := cfg.shutdownPlan()
	f.EventLoop, f.Linger = l, serve
	pool.AttemptsWritten = &l.Counters().Written
	pair.loop = l
	pair.useLimits = func(n int) {
		debug.SetMemoryLimit(cfg.MemoryLimit() / int64(n))
		pool.SetMax(cfg.maxBackendConnections() / n)
	}
	closeDoor, err := pair.serveAdmin(cfg.AdminAddr, cfg.maxAdminConnections())
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer closeDoor()
	made(l, budget)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run()
	}()
	pair.run(ctx)
	leaveKeepers, err := pair.holdLease(ctx, cfg)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	defer leaveKeepers()
	failed := make(chan error, 2)
	if ln == nil {
		if ln, err = pair.listenBesidePredecessor(stop, cfg.Listen, up); err != nil {
			return fmt.Errorf("agent: %w", err)
		}
	}
	go func() { failed <- f.Serve(ln) }()
	pair.markServing(up)
	if tf != nil {
		tf.EventLoop, tf.Linger = l, serve
		go func() {
			if err := tf.Serve(tln); err != nil {
				failed <- err
			}
		}()
	}
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	by := time.Now().Add(answer)
	slog.Info("ending", "serves_for", serve, "answers_within", answer)
	l.Post(func() { l.ShutDownBy(by) })
	held := answer - serve + killMargin/4 // the last answers are to be written, too
	if pair.hasSuccessor() {
		f.HandOver(ln)
	}
	var others sync.WaitGroup
	if tf != nil {
		others.Go(func() { tf.Shutdown(tln, held) })
	}
	if err := f.Shutdown(held); err != nil {
		slog.Warn("shutdown", "err", err) // connections that never brought a request
	}
	others.Wait()
	cancel()
	<-ended
	slog.Info("stopped", "figures", fmt.Sprintf("%+v", l.Stats()))
	return nil
}

// newThrift makes the Thrift front and its listener, where there is to be one.
func newThrift(cfg *Config, budget *semaphore.Weighted, pool *conns.Pool) (*thrift.Server, net.Listener, error) {
	if cfg.ThriftFile == "" {
		return nil, nil, nil
	}
	c, err := thrift.Load(cfg.ThriftFile)
	if err != nil {
		return nil, nil, err
	}
	table, err := c.Table(cfg.Settings.Classes)
	if err != nil {
		return nil, nil, err
	}
	ln, err := cfg.UpgradeDir.Listen(c.Listen) // shared, as the clients' address
	if err != nil {
		return nil, nil, fmt.Errorf("thrift: listen: %w", err)
	}
	slog.Info("listening for Thrift", "addr", ln.Addr().String())
	limits := thriftwire.Limits{Size: c.FrameLimit, Depth: c.DepthLimit}
	return &thrift.Server{Upstream: &thriftup.Upstream{Pool: pool, Budget: budget, Limits: limits}, Budget: budget,
		Table: table, Limits: limits, MaxConns: cfg.maxClientConnections(), RetryAfterMs: cfg.Settings.Limits.MaxRetryAfterMs}, ln, nil
}

func durationFromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
