package configstore

import (
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Default values in the configuration file.
const (
	defaultLeaseMs       = 2000
	defaultServerRulesMs = 3000
	defaultTickMs        = 25
)

// Bounds of values in the configuration file.
const (
	maxNameBytes     = 64
	minLeaseMs       = 200
	maxLeaseMs       = 60_000
	maxServerRulesMs = 3_600_000
	minTickMs        = 5
	maxTickMs        = 1000
)

// Config is the configuration file of a replica, deploy/keeper.toml. docs/operators/agreed.md describes the
// keys.
type Config struct {
	Name          string            `toml:"name"`
	Listen        string            `toml:"listen"`
	Data          string            `toml:"data"`    // directory
	Members       map[string]string `toml:"members"` // addresses of the initial members, by name
	Join          bool              `toml:"join"`    // wait to be added to an existing cluster
	LeaseMs       float64           `toml:"lease_ms"`
	ServerRulesMs float64           `toml:"list_ms"` // how long server rules outlast the lease
	TickMs        float64           `toml:"tick_ms"`
}

// Load reads and checks a configuration file.
func Load(path string) (*Config, error) {
	c := &Config{LeaseMs: defaultLeaseMs, ServerRulesMs: defaultServerRulesMs, TickMs: defaultTickMs}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configstore: %w", err)
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(c); err != nil {
		return nil, fmt.Errorf("configstore: %s: %w", path, err)
	}
	return c, c.check()
}

func invalidKey(key, format string, args ...any) error {
	return fmt.Errorf("configstore: %s: "+format, append([]any{key}, args...)...)
}

// check returns an error that names an invalid key.
func (c *Config) check() error {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return invalidKey("name", "must have 1 to %d bytes", maxNameBytes)
	}
	if c.Data == "" {
		return invalidKey("data", "no directory is given")
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if n := len(c.Members); !c.Join && n != 1 && n != 3 && n != 5 && n != 7 {
		return invalidKey("members", "there must be 3, 5 or 7 (or 1, which tolerates no failure), not %d", n)
	}
	if err := checkMs("lease_ms", c.LeaseMs, minLeaseMs, maxLeaseMs); err != nil {
		return err
	}
	if err := checkMs("list_ms", c.ServerRulesMs, 0, maxServerRulesMs); err != nil {
		return err
	}
	return checkMs("tick_ms", c.TickMs, minTickMs, maxTickMs)
}

func (c *Config) checkAddresses() error {
	own := map[string]string{"listen": c.Listen, "members." + c.Name: c.Members[c.Name]}
	members := map[string]string{}
	for name, addr := range c.Members {
		members["members."+name] = addr
	}
	for _, addresses := range []map[string]string{own, members} {
		for key, addr := range addresses {
			if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
				return invalidKey(key, "%q is not host:port", addr)
			}
		}
	}
	return nil
}

func checkMs(key string, value float64, lower, upper int) error {
	if !(value >= float64(lower) && value <= float64(upper)) {
		return invalidKey(key, "must be %d to %d, is %v", lower, upper, value)
	}
	return nil
}
