package configstore

import (
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Config is what deploy/keeper.toml says. Keys, units and defaults are on the operators' page.
type Config struct {
	Name        string            `toml:"name"`
	Listen      string            `toml:"listen"`
	Data        string            `toml:"data"`    // folder
	Members     map[string]string `toml:"members"` // addresses by name, this keeper among them
	Join        bool              `toml:"join"`    // waits to be added to keepers that there are
	LeaseMs     float64           `toml:"lease_ms"`
	EndpointsMs float64           `toml:"list_ms"` // behind a lease, for which its word on servers may be gone by
	TickMs      float64           `toml:"tick_ms"`
}

// Load reads and checks a file.
func Load(path string) (*Config, error) {
	c := &Config{LeaseMs: 2000, EndpointsMs: 3000, TickMs: 25}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(c); err != nil {
		return nil, fmt.Errorf("keeper: %s: %w", path, err)
	}
	return c, c.check()
}

func (c *Config) check() error {
	bad := func(key, format string, args ...any) error {
		return fmt.Errorf("keeper: %s: "+format, append([]any{key}, args...)...)
	}
	if c.Name == "" || len(c.Name) > 64 {
		return bad("name", "must have 1 to 64 bytes")
	}
	if c.Data == "" {
		return bad("data", "no folder is named")
	}
	for key, addr := range map[string]string{"listen": c.Listen, "members." + c.Name: c.Members[c.Name]} {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return bad(key, "%q is no host:port", addr)
		}
	}
	for name, addr := range c.Members {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return bad("members."+name, "%q is no host:port", addr)
		}
	}
	if n := len(c.Members); !c.Join && n != 1 && n != 3 && n != 5 && n != 7 {
		return bad("members", "must be 3, 5 or 7 (or 1, which survives nothing), are %d", n)
	}
	if !(c.LeaseMs >= 200 && c.LeaseMs <= 60_000) {
		return bad("lease_ms", "must be 200 to 60000, is %v", c.LeaseMs)
	}
	if !(c.EndpointsMs >= 0 && c.EndpointsMs <= 3_600_000) {
		return bad("list_ms", "must be 0 to 3600000, is %v", c.EndpointsMs)
	}
	if !(c.TickMs >= 5 && c.TickMs <= 1000) {
		return bad("tick_ms", "must be 5 to 1000, is %v", c.TickMs)
	}
	return nil
}
