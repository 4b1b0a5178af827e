package ephemeral

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// Formats of the nodes' data.
const (
	FormAuto      = "auto"      // recognised by its fields
	FormEndpoint  = "roster"    // an entry of the endpoint list
	FormServerSet = "serverset" // a member of a ServerSet
)

// Watch modes.
const (
	WatchAuto    = "auto"    // persistent recursive watches if the server supports them
	WatchOneShot = "oneshot" // one-shot watches only
)

// Values of Config.Covers: which servers are expected to have a node.
const (
	coversSeen = "seen" // those that have had one before
	coversAll  = "all"  // all servers
)

// Config is the registry's configuration file; see deploy/ephemeral.toml. docs/operators/ephemeral.md lists
// the units, defaults and limits of all keys.
type Config struct {
	Ensemble   []string `toml:"ensemble"` // host:port of each server
	Chroot     string   `toml:"chroot"`
	Path       string   `toml:"path"` // the directory that is followed, below chroot
	Depth      int      `toml:"depth"`
	Auth       string   `toml:"auth"` // "user:password"
	AuthFile   string   `toml:"auth_file"`
	SessionMs  int      `toml:"session_ms"`
	Form       string   `toml:"form"`
	Watch      string   `toml:"watch"`
	ReadOnly   bool     `toml:"read_only"`
	MaxNodes   int      `toml:"most"`
	FrameLimit int      `toml:"frame_limit"` // bytes
	Covers     string   `toml:"covers"`

	Stale struct {
		AfterMs float64 `toml:"after_ms"`
		LostMs  float64 `toml:"lapse_ms"`
	} `toml:"stale"`
	MassExpiry struct {
		Fraction float64 `toml:"share"`
		Min      int     `toml:"least"`
		WindowMs float64 `toml:"window_ms"`
		HoldMs   float64 `toml:"wait_ms"`
	} `toml:"vanish"`
	Flap struct {
		HoldMs    float64 `toml:"settle_ms"`
		MaxHoldMs float64 `toml:"most_ms"`
		WindowMs  float64 `toml:"window_ms"`
	} `toml:"flap"`
	MemoryMs float64 `toml:"memory_ms"`

	Register RegisterConfig `toml:"register"`

	// Set only by tests; 0: the session's defaults.
	resetAfter time.Duration
	maxBackoff time.Duration
}

// Default returns a configuration with the defaults of all keys except ensemble, which has none.
func Default() *Config {
	merge := membership.DefaultMergeConfig()
	c := &Config{
		Path:       "/",
		Depth:      1,
		SessionMs:  6000,
		Form:       FormAuto,
		Watch:      WatchAuto,
		MaxNodes:   20_000,
		FrameLimit: zkwire.DefaultMaxFrameBytes,
		Covers:     coversSeen,
		MemoryMs:   merge.MemoryMs,
	}
	c.Stale.AfterMs = merge.StaleAfterMs
	c.Stale.LostMs = merge.LostAfterMs
	c.MassExpiry.Fraction = merge.MassExpiryFraction
	c.MassExpiry.Min = merge.MassExpiryMin
	c.MassExpiry.WindowMs = merge.MassExpiryWindowMs
	c.MassExpiry.HoldMs = merge.MassExpiryHoldMs
	c.Flap.HoldMs = merge.FlapHoldMs
	c.Flap.MaxHoldMs = merge.MaxFlapHoldMs
	c.Flap.WindowMs = merge.FlapWindowMs
	c.Register.Weight = 1
	return c
}

// Merge returns the configuration of a membership.Merge.
func (c *Config) Merge() membership.MergeConfig {
	return membership.MergeConfig{
		AllRegistered:      c.Covers == coversAll,
		StaleAfterMs:       c.Stale.AfterMs,
		LostAfterMs:        c.Stale.LostMs,
		MassExpiryFraction: c.MassExpiry.Fraction,
		MassExpiryMin:      c.MassExpiry.Min,
		MassExpiryWindowMs: c.MassExpiry.WindowMs,
		MassExpiryHoldMs:   c.MassExpiry.HoldMs,
		FlapHoldMs:         c.Flap.HoldMs,
		MaxFlapHoldMs:      c.Flap.MaxHoldMs,
		FlapWindowMs:       c.Flap.WindowMs,
		MemoryMs:           c.MemoryMs,
	}
}

// Load reads and checks a configuration file. File names in it are relative to its directory. Errors name the
// file and, if there is one, the key.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("ephemeral: %w", err)
	}
	c := Default()
	if err := c.decode(text); err != nil {
		return nil, fmt.Errorf("ephemeral: %s: %w", file, err)
	}
	if err := c.readAuthFile(filepath.Dir(file)); err != nil {
		return nil, fmt.Errorf("ephemeral: %s: %w", file, err)
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("ephemeral: %s: %w", file, err)
	}
	return c, nil
}

// decode decodes TOML into c, which holds the defaults.
func (c *Config) decode(text []byte) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(c)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return fmt.Errorf("%s: unknown key", strings.Join(unknown.Errors[0].Key(), "."))
	}
	return err
}

// readAuthFile sets Auth from AuthFile.
func (c *Config) readAuthFile(dir string) error {
	if c.AuthFile == "" {
		return nil
	}
	if c.Auth != "" {
		return fmt.Errorf("auth and auth_file: only one of them may be set")
	}
	file := c.AuthFile
	if !filepath.IsAbs(file) {
		file = filepath.Join(dir, file)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("auth_file: %w", err)
	}
	c.Auth = strings.TrimSpace(string(text))
	return nil
}

// root returns the absolute path of the directory in the registry.
func (c *Config) root() string {
	switch {
	case c.Chroot == "" || c.Chroot == "/":
		return c.Path
	case c.Path == "/":
		return c.Chroot
	}
	return c.Chroot + c.Path
}
