// Command ringtrack-control is one replica of the control service: it hands the decision module's
// choices to other proxies over xDS. See docs/operators/control.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"ringtrack.example/ringtrack/internal/control"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ringtrack-control:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the first moment on: its default is to end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	file := flag.String("config", "deploy/control.toml", "the configuration `file`")
	check := flag.Bool("check", false, "check the configuration and end")
	flag.Parse()
	if flag.NArg() > 0 {
		return fmt.Errorf("unknown argument %q", flag.Arg(0))
	}
	cfg, err := control.Load(*file)
	if err != nil {
		return err
	}
	if *check {
		fmt.Println("the configuration is sound")
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	server, err := control.New(cfg, log)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var admin net.Listener
	if cfg.Admin != "" {
		if admin, err = net.Listen("tcp", cfg.Admin); err != nil {
			ln.Close()
			return fmt.Errorf("admin: %w", err)
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reload:
			}
			next, err := control.Load(*file)
			if err == nil {
				err = server.Reload(next)
			}
			if err != nil {
				log.Error("configuration not used, the old one holds", "err", err)
			}
		}
	}()
	where := ""
	if admin != nil {
		where = admin.Addr().String()
	}
	log.Info("serving", "listen", ln.Addr().String(), "admin", where)
	return server.Run(ctx, ln, admin)
}
