// Command ringtrack is one agent: it takes requests from the application beside
// it and places them on backends, as the decision module says.
package main

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

	"ringtrack.example/ringtrack/internal/agent"
	"ringtrack.example/ringtrack/internal/upgrade"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ringtrack:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the first moment on: their default is to end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	cfg, err := agent.StartConfig(stop, os.Getenv)
	if stop.Err() != nil {
		return nil // ended before it began
	}
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	// The heap is small: to collect at twice its size costs little, and keeps what the
	// agent holds even. Long before the memory limit, over which it would be killed,
	// collecting goes before all.
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(cfg.MemoryLimit())
	// Another process of this agent may be there, which this one is to follow.
	if tmp := os.Getenv("TMPDIR"); tmp != "" {
		if cfg.Dir, err = upgrade.Join(tmp); err != nil {
			slog.Warn("no other process of this agent can be known of", "err", err)
		}
	}
	var ln net.Listener
	if cfg.Dir == nil || cfg.Dir.First() {
		if ln, err = upgrade.Listen(cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		slog.Info("listening", "name", cfg.Name, "addr", ln.Addr().String())
	}
	reread := func() (*agent.Config, error) { return agent.ReloadConfig(os.Getenv) }
	return agent.Run(stop, reload, reread, cfg, ln)
}
