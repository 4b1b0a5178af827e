package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

const (
	// reloadRetryInterval and rereads bound how a file that can't be used is tried again:
	// SIGHUP may come while it is still being written.
	reloadRetryInterval, maxReloadAttempts = 100 * time.Millisecond, 100
)

// reload reads the configuration again at each signal and tells use the address of
// discovery that it names. The old configuration holds until a new one is sound. All
// else that differs needs a restart, and is only logged.
func reload(ctx context.Context, signals <-chan os.Signal, read func() (*Config, error), old *Config, use func(discovery string)) {
	retry := time.NewTimer(0)
	<-retry.C
	failed := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			failed = 0
		case <-retry.C:
		}
		c, err := read()
		if err != nil {
			if failed++; failed == 1 || failed == maxReloadAttempts {
				slog.Warn("configuration not used, the old one holds", "err", err, "try", failed)
			}
			if failed < maxReloadAttempts {
				retry.Reset(reloadRetryInterval)
			}
			continue
		}
		retry.Stop()
		for name, same := range map[string]bool{
			"name": c.Name == old.Name, "listen": c.Listen == old.Listen,
			"limits":   c.Cores == old.Cores && c.MemoryMB == old.MemoryMB && c.Sockets == old.Sockets,
			"settings": reflect.DeepEqual(c.Settings, old.Settings) && reflect.DeepEqual(c.Zones, old.Zones) && reflect.DeepEqual(c.MachineTypes, old.MachineTypes),
		} {
			if !same {
				slog.Warn("changed in the configuration, but used only after a restart", "field", name)
			}
		}
		slog.Info("configuration read again", "discovery", c.Discovery)
		use(c.Discovery)
	}
}
