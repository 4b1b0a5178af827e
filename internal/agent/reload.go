package agent

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

const (
	// reloadRetryInterval and maxReloadAttempts limit how often an invalid file is read again: the signal may
	// arrive while the file is being written.
	reloadRetryInterval = 100 * time.Millisecond
	maxReloadAttempts   = 100
)

// reload reads the configuration at each signal and calls useDiscovery with the address of its discovery
// server. The old configuration stays in use until a new one is valid. Other changes need a restart and are
// only logged.
func reload(ctx context.Context, signals <-chan os.Signal, reread func() (*Config, error), old *Config, useDiscovery func(addr string)) {
	retry := time.NewTimer(0)
	<-retry.C
	failedAttempts := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			failedAttempts = 0
		case <-retry.C:
		}
		c, err := reread()
		if err != nil {
			failedAttempts++
			if failedAttempts == 1 || failedAttempts == maxReloadAttempts {
				slog.Warn("configuration not used, the old one holds", "err", err, "attempt", failedAttempts)
			}
			if failedAttempts < maxReloadAttempts {
				retry.Reset(reloadRetryInterval)
			}
			continue
		}
		retry.Stop()
		logRestartRequired(old, c)
		slog.Info("configuration reloaded", "discovery", c.Discovery)
		useDiscovery(c.Discovery)
	}
}

// logRestartRequired logs the changed fields that take effect only after a restart.
func logRestartRequired(old, c *Config) {
	unchanged := map[string]bool{
		"name":   c.Name == old.Name,
		"listen": c.Listen == old.Listen,
		"limits": c.Cores == old.Cores && c.MemoryMB == old.MemoryMB && c.Sockets == old.Sockets,
		"settings": reflect.DeepEqual(c.Settings, old.Settings) && reflect.DeepEqual(c.Zones, old.Zones) &&
			reflect.DeepEqual(c.MachineTypes, old.MachineTypes),
	}
	for field, same := range unchanged {
		if !same {
			slog.Warn("configuration change takes effect only after a restart", "field", field)
		}
	}
}
