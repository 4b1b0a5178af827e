package agent

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ringtrack.example/ringtrack/internal/upgrade"
)

// Main is the program: it reads the configuration that the environment names, serves until SIGTERM, and returns
// nil once all that was held has been answered. Its life (docs/design/whole-fleet.md) goes one way: starting,
// ready, serving, ending, ended.
func Main() error {
	// From the first moment on: their default is to end the program.
	reread := make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP)
	// Never given back: until the exit another one would end the program, and not in order.
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	cfg, err := StartConfig(stop, os.Getenv)
	if stop.Err() != nil {
		return nil // ended before it began
	}
	if err != nil {
		return err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		cfg.limitDescriptors(files.Cur)
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	// The heap is small: to collect at twice its size costs little, and keeps what the
	// agent holds even. Long before the memory limit, over which it would be killed,
	// collecting goes before all.
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(cfg.MemoryLimit())
	// Another process of this agent may be there, which this one is to follow.
	if tmp := os.Getenv("TMPDIR"); tmp != "" {
		if cfg.UpgradeDir, err = upgrade.Join(tmp); err != nil {
			slog.Warn("no other process of this agent can be known of", "err", err)
		}
	}
	var ln net.Listener
	if cfg.UpgradeDir == nil || cfg.UpgradeDir.First() {
		if ln, err = cfg.UpgradeDir.Listen(cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		slog.Info("listening", "name", cfg.Name, "addr", ln.Addr().String())
	}
	return Run(stop, reread, func() (*Config, error) { return ReloadConfig(os.Getenv) }, cfg, ln)
}
