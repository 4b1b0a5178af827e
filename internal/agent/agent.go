package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
)

// Run serves until stop is done, then ends in order. It returns nil when every
// request that was held has been answered. At each signal of reread it takes over
// what can change without a restart from the configuration that read returns.
func Run(stop context.Context, reread <-chan os.Signal, read func() (*Config, error), cfg *Config, ln net.Listener) error {
	return run(stop, cfg, ln, func(l *core.Loop, _ *front) {
		go reload(stop, reread, read, cfg, func(discovery string) { l.Post(func() { l.Rediscover(discovery) }) })
	})
}

// run is Run, which also hands out the loop before it starts.
func run(stop context.Context, cfg *Config, ln net.Listener, made func(*core.Loop, *front)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // only after the front: requests held need the loop to the end
	budget := semaphore.NewWeighted(cfg.budget())
	upstream := newSender(cfg, budget)
	f := newFront(cfg, budget, upstream)
	l, err := core.New(ctx, cfg.core(), budget, []core.Upstream{upstream}, func() { f.ready.Store(true) })
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	f.loop = l
	made(l, f)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run()
	}()
	failed := make(chan error, 1)
	go func() { failed <- f.serve(ln) }()
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM:
	// what came last has its whole time, and the end is well before that.
	held := 100 * time.Millisecond
	for _, c := range cfg.Settings.Classes {
		held = max(held, ms(c.GiveUpMs)+50*time.Millisecond)
	}
	if err := f.shutdown(held); err != nil {
		slog.Warn("shutdown", "err", err) // connections that never brought a request
	}
	cancel()
	<-ended
	slog.Info("stopped", "figures", fmt.Sprintf("%+v", l.Figures()))
	return nil
}
