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

// gcPercent lets the heap grow to twice its live size between collections. Since the heap is small, this
// costs little memory.
const gcPercent = 100

// Main runs the program. It reads the configuration that the environment names, serves until SIGTERM or
// SIGINT, and returns nil once every request is answered.
func Main() error {
	// First, since by default these signals end the program.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	// The stop function is never called: a second signal would then end the program without a graceful
	// shutdown.
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if err := setLogLevel(os.Getenv(logLevelEnv)); err != nil {
		return err
	}
	cfg, err := StartConfig(stop, os.Getenv)
	if stop.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	limitProcess(cfg)
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
	reread := func() (*Config, error) { return ReloadConfig(os.Getenv) }
	return Run(stop, reloadSignals, reread, cfg, ln)
}

// logLevelEnv names the least level of the log lines: "debug", "info" (the default), "warn" or "error".
const logLevelEnv = "PROXY_LOG_LEVEL"

// setLogLevel makes the process log to standard error from a level on. The empty name is the default.
func setLogLevel(name string) error {
	level := slog.LevelInfo
	if name != "" {
		if err := level.UnmarshalText([]byte(name)); err != nil {
			return fmt.Errorf("%s: %w", logLevelEnv, err)
		}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

// limitProcess applies the configured limits to the process, and lowers the configured number of descriptors
// to the limit of the process.
func limitProcess(cfg *Config) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		cfg.limitDescriptors(files.Cur)
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.MemoryLimit(1))
}
