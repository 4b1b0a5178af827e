package ephemeral

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/zkwire"
)

// Forms of the nodes' data, and ways of watching.
const (
	FormAuto      = "auto"
	FormEndpoint  = "roster"
	FormServerSet = "serverset"

	WatchAuto    = "auto"
	WatchOneShot = "oneshot"
)

// maxEnsemble bounds the ensemble.
const maxEnsemble = 31

// Config is what deploy/ephemeral.toml says. Keys, units and defaults are on the operators' page.
type Config struct {
	Ensemble   []string `toml:"ensemble"`
	Chroot     string   `toml:"chroot"`
	Path       string   `toml:"path"`
	Depth      int      `toml:"depth"`
	Auth       string   `toml:"auth"`
	AuthFile   string   `toml:"auth_file"`
	SessionMs  int      `toml:"session_ms"`
	Form       string   `toml:"form"`
	Watch      string   `toml:"watch"`
	ReadOnly   bool     `toml:"read_only"`
	MaxNodes   int      `toml:"most"`
	FrameLimit int      `toml:"frame_limit"`
	Covers     string   `toml:"covers"` // "seen" or "all"
	Stale      struct {
		AfterMs float64 `toml:"after_ms"`
		LapseMs float64 `toml:"lapse_ms"`
	} `toml:"stale"`
	Vanish struct {
		Share    float64 `toml:"share"`
		Least    int     `toml:"least"`
		WindowMs float64 `toml:"window_ms"`
		WaitMs   float64 `toml:"wait_ms"`
	} `toml:"vanish"`
	Flap struct {
		SettleMs float64 `toml:"settle_ms"`
		MostMs   float64 `toml:"most_ms"`
		WindowMs float64 `toml:"window_ms"`
	} `toml:"flap"`
	MemoryMs float64        `toml:"memory_ms"`
	Register RegisterConfig `toml:"register"`

	resetAfter, maxBackoff time.Duration // for tests; 0: forgetAfter, mostPause
}

// Default is a Config with all that has a default.
func Default() *Config {
	d := membership.DefaultMerge()
	c := &Config{Path: "/", Depth: 1, SessionMs: 6000, Form: FormAuto, Watch: WatchAuto, MaxNodes: 20_000, FrameLimit: zkwire.DefaultMaxFrameBytes,
		Covers: "seen", MemoryMs: d.MemoryMs}
	c.Stale.AfterMs, c.Stale.LapseMs = d.StaleAfterMs, d.LostAfterMs
	c.Vanish.Share, c.Vanish.Least, c.Vanish.WindowMs, c.Vanish.WaitMs = d.MassExpiryFraction, d.MassExpiryMin, d.MassExpiryWindowMs, d.MassExpiryHoldMs
	c.Register.Weight = 1
	c.Flap.SettleMs, c.Flap.MostMs, c.Flap.WindowMs = d.FlapHoldMs, d.MaxFlapHoldMs, d.FlapWindowMs
	return c
}

// Load reads and checks a file; file names in it are relative to its folder. An error names the key.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("ephemeral: %w", err)
	}
	c := Default()
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return nil, fmt.Errorf("ephemeral: %s: %s: unknown", file, strings.Join(strict.Errors[0].Key(), "."))
		}
		return nil, fmt.Errorf("ephemeral: %s: %w", file, err)
	}
	if c.AuthFile != "" {
		if c.Auth != "" {
			return nil, fmt.Errorf("ephemeral: %s: auth and auth_file: only one of them", file)
		}
		name := c.AuthFile
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(file), name)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("ephemeral: %s: auth_file: %w", file, err)
		}
		c.Auth = strings.TrimSpace(string(text))
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("ephemeral: %s: %w", file, err)
	}
	return c, nil
}

// Check says what makes a configuration unusable; the error names the key.
func (c *Config) Check() error {
	if len(c.Ensemble) == 0 || len(c.Ensemble) > maxEnsemble {
		return fmt.Errorf("ensemble: must name 1 to %d servers, names %d", maxEnsemble, len(c.Ensemble))
	}
	for i, a := range c.Ensemble {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return fmt.Errorf("ensemble[%d]: %q is no host:port", i, a)
		}
	}
	for _, p := range []struct{ key, path string }{{"chroot", c.Chroot}, {"path", c.Path}} {
		if p.key == "chroot" && p.path == "" {
			continue
		}
		if !strings.HasPrefix(p.path, "/") || p.path != "/" && strings.HasSuffix(p.path, "/") || strings.Contains(p.path, "//") ||
			strings.ContainsFunc(p.path, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return fmt.Errorf("%s: %q is no path such as /orders", p.key, p.path)
		}
	}
	if c.Auth != "" && (strings.IndexByte(c.Auth, ':') < 1 || len(c.Auth) > 1024) {
		return fmt.Errorf("auth: is no user:password")
	}
	for _, o := range []struct {
		key, value string
		of         []string
	}{{"form", c.Form, []string{FormAuto, FormEndpoint, FormServerSet}}, {"watch", c.Watch, []string{WatchAuto, WatchOneShot}},
		{"covers", c.Covers, []string{"seen", "all"}}} {
		ok := false
		for _, v := range o.of {
			ok = ok || v == o.value
		}
		if !ok {
			return fmt.Errorf("%s: %q is none of %s", o.key, o.value, strings.Join(o.of, ", "))
		}
	}
	for _, n := range []struct {
		key         string
		v           float64
		least, most float64
	}{
		{"depth", float64(c.Depth), 1, 2}, {"session_ms", float64(c.SessionMs), 100, 600_000},
		{"most", float64(c.MaxNodes), 1, membership.MaxEntries}, {"frame_limit", float64(c.FrameLimit), 4096, 64 << 20},
		{"stale.after_ms", c.Stale.AfterMs, 100, 3_600_000}, {"stale.lapse_ms", c.Stale.LapseMs, 100, 86_400_000},
		{"vanish.share", c.Vanish.Share, 0.01, 1}, {"vanish.least", float64(c.Vanish.Least), 1, 10_000},
		{"vanish.window_ms", c.Vanish.WindowMs, 10, 600_000}, {"vanish.wait_ms", c.Vanish.WaitMs, 0, 3_600_000},
		{"flap.settle_ms", c.Flap.SettleMs, 0, 60_000}, {"flap.most_ms", c.Flap.MostMs, 0, 600_000},
		{"flap.window_ms", c.Flap.WindowMs, 0, 3_600_000}, {"memory_ms", c.MemoryMs, 1000, 86_400_000},
	} {
		if !(n.v >= n.least && n.v <= n.most) { // also where it is no number
			return fmt.Errorf("%s: must be %v to %v, is %v", n.key, n.least, n.most, n.v)
		}
	}
	if g := &c.Register; g.ID != "" {
		if strings.ContainsAny(g.ID, "/ ") || g.ID == "." || g.ID == ".." {
			return fmt.Errorf("register.id: %q is no name of a node", g.ID)
		}
		if c.Depth != 1 {
			return fmt.Errorf("register.id: a node can be kept only where depth is 1")
		}
		e := membership.Entry{ID: g.ID, Addr: g.Addr, State: membership.Up, Weight: g.Weight}
		if err := e.Validate(); err != nil {
			return fmt.Errorf("register: %w", err)
		}
	}
	if c.Flap.MostMs < c.Flap.SettleMs {
		return fmt.Errorf("flap.most_ms: is less than flap.settle_ms")
	}
	return nil
}

// root is the directory with its chroot.
func (c *Config) root() string {
	switch {
	case c.Chroot == "" || c.Chroot == "/":
		return c.Path
	case c.Path == "/":
		return c.Chroot
	}
	return c.Chroot + c.Path
}

// Merge is what of it membership.Merge is told.
func (c *Config) Merge() membership.MergeConfig {
	return membership.MergeConfig{AllRegistered: c.Covers == "all", StaleAfterMs: c.Stale.AfterMs, LostAfterMs: c.Stale.LapseMs,
		MassExpiryFraction: c.Vanish.Share, MassExpiryMin: c.Vanish.Least, MassExpiryWindowMs: c.Vanish.WindowMs, MassExpiryHoldMs: c.Vanish.WaitMs,
		FlapHoldMs: c.Flap.SettleMs, MaxFlapHoldMs: c.Flap.MostMs, FlapWindowMs: c.Flap.WindowMs, MemoryMs: c.MemoryMs}
}
