package ephemeral

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// maxEnsemble bounds the servers of an ensemble.
	maxEnsemble  = 31
	maxAuthBytes = 1024
)

// Check returns an error that names the first invalid key, if there is one.
func (c *Config) Check() error {
	checks := []func() error{
		c.checkEnsemble,
		c.checkPaths,
		c.checkAuth,
		c.checkChoices,
		c.checkRanges,
		c.checkRegister,
		c.checkFlap,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkEnsemble() error {
	if len(c.Ensemble) == 0 || len(c.Ensemble) > maxEnsemble {
		return fmt.Errorf("ensemble: must name 1 to %d servers, names %d", maxEnsemble, len(c.Ensemble))
	}
	for i, addr := range c.Ensemble {
		if host, port, err := net.SplitHostPort(addr); err != nil || host == "" || port == "" {
			return fmt.Errorf("ensemble[%d]: must be host:port, is %q", i, addr)
		}
	}
	return nil
}

func (c *Config) checkPaths() error {
	if c.Chroot != "" && !isPath(c.Chroot) {
		return fmt.Errorf("chroot: must be a path such as /orders, is %q", c.Chroot)
	}
	if !isPath(c.Path) {
		return fmt.Errorf("path: must be a path such as /orders, is %q", c.Path)
	}
	return nil
}

// isPath reports whether a path is absolute, without empty names, control characters or a slash at its end.
func isPath(path string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.HasPrefix(path, "/") &&
		(path == "/" || !strings.HasSuffix(path, "/")) &&
		!strings.Contains(path, "//") &&
		!strings.ContainsFunc(path, isControl)
}

func (c *Config) checkAuth() error {
	if c.Auth != "" && (strings.IndexByte(c.Auth, ':') < 1 || len(c.Auth) > maxAuthBytes) {
		return fmt.Errorf("auth: must be user:password")
	}
	return nil
}

func (c *Config) checkChoices() error {
	for _, choice := range []struct {
		key, value string
		allowed    []string
	}{
		{"form", c.Form, []string{FormAuto, FormEndpoint, FormServerSet}},
		{"watch", c.Watch, []string{WatchAuto, WatchOneShot}},
		{"covers", c.Covers, []string{coversSeen, coversAll}},
	} {
		if !slices.Contains(choice.allowed, choice.value) {
			return fmt.Errorf("%s: %q is not one of %s", choice.key, choice.value, strings.Join(choice.allowed, ", "))
		}
	}
	return nil
}

func (c *Config) checkRanges() error {
	for _, r := range []struct {
		key             string
		value, min, max float64
	}{
		{"depth", float64(c.Depth), 1, 2},
		{"session_ms", float64(c.SessionMs), 100, 600_000},
		{"most", float64(c.MaxNodes), 1, membership.MaxEntries},
		{"frame_limit", float64(c.FrameLimit), 4096, 64 << 20},
		{"stale.after_ms", c.Stale.AfterMs, 100, 3_600_000},
		{"stale.lapse_ms", c.Stale.LostMs, 100, 86_400_000},
		{"vanish.share", c.MassExpiry.Fraction, 0.01, 1},
		{"vanish.least", float64(c.MassExpiry.Min), 1, 10_000},
		{"vanish.window_ms", c.MassExpiry.WindowMs, 10, 600_000},
		{"vanish.wait_ms", c.MassExpiry.HoldMs, 0, 3_600_000},
		{"flap.settle_ms", c.Flap.HoldMs, 0, 60_000},
		{"flap.most_ms", c.Flap.MaxHoldMs, 0, 600_000},
		{"flap.window_ms", c.Flap.WindowMs, 0, 3_600_000},
		{"memory_ms", c.MemoryMs, 1000, 86_400_000},
	} {
		if !(r.value >= r.min && r.value <= r.max) { // NaN fails too
			return fmt.Errorf("%s: must be %v to %v, is %v", r.key, r.min, r.max, r.value)
		}
	}
	return nil
}

func (c *Config) checkRegister() error {
	id := c.Register.ID
	if id == "" {
		return nil
	}
	if strings.ContainsAny(id, "/ ") || id == "." || id == ".." {
		return fmt.Errorf("register.id: must be the name of a node, is %q", id)
	}
	if c.Depth != 1 {
		return fmt.Errorf("register.id: a node can be registered only if depth is 1")
	}
	entry := c.Register.entry()
	if err := entry.Validate(); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	return nil
}

func (c *Config) checkFlap() error {
	if c.Flap.MaxHoldMs < c.Flap.HoldMs {
		return fmt.Errorf("flap.most_ms: must not be less than flap.settle_ms")
	}
	return nil
}
