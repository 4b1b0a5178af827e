package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"ringtrack.example/ringtrack/internal/configstore"
)

// runCommand runs a replica until SIGTERM or an interrupt.
type runCommand struct {
	Config string `default:"deploy/keeper.toml" help:"Configuration file of the replica."`
	Check  bool   `help:"Check the configuration file and exit."`
}

// Run runs the replica, or checks its configuration file.
func (c *runCommand) Run() error {
	cfg, err := configstore.Load(c.Config)
	if err != nil || c.Check {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	return configstore.Run(stop, cfg, func(addr net.Addr) {
		slog.Info("listening", "name", cfg.Name, "addr", addr.String())
	})
}
