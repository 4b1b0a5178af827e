// Command ringtrack-control runs a replica of the control service, which serves the balancer's decisions to
// proxies over xDS. See docs/operators/control.md.
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

// run runs the program until it receives SIGTERM or an interrupt.
func run() error {
	// Registered first, since the default action of SIGHUP terminates the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	file := flag.String("config", "deploy/control.toml", "the configuration `file`")
	check := flag.Bool("check", false, "check the configuration and exit")
	flag.Parse()
	if flag.NArg() > 0 {
		return fmt.Errorf("unknown argument %q", flag.Arg(0))
	}
	cfg, err := control.Load(*file)
	if err != nil {
		return err
	}
	if *check {
		fmt.Println("the configuration is valid")
		return nil
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	server, err := control.New(cfg, log)
	if err != nil {
		return err
	}
	ln, admin, err := listen(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go reloadOnSignal(ctx, reload, server, *file, log)
	adminAddr := ""
	if admin != nil {
		adminAddr = admin.Addr().String()
	}
	log.Info("serving", "listen", ln.Addr().String(), "admin", adminAddr)
	return server.Run(ctx, ln, admin)
}

// listen opens the listener for proxies and, if configured, the one for the admin endpoint.
func listen(cfg *control.Config) (proxies, admin net.Listener, err error) {
	proxies, err = net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	if cfg.Admin == "" {
		return proxies, nil, nil
	}
	admin, err = net.Listen("tcp", cfg.Admin)
	if err != nil {
		proxies.Close()
		return nil, nil, fmt.Errorf("admin: %w", err)
	}
	return proxies, admin, nil
}

// reloadOnSignal reloads the configuration on each signal until ctx ends. After an error, the previous
// configuration stays in use.
func reloadOnSignal(ctx context.Context, signals <-chan os.Signal, server *control.Server, file string, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := control.Load(file)
		if err == nil {
			err = server.Reload(next)
		}
		if err != nil {
			log.Error("configuration not used, the old one holds", "err", err)
		}
	}
}
