package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/internal/upgrade"
	"ringtrack.example/ringtrack/internal/wire"
	"ringtrack.example/ringtrack/policy"
)

// Config is the validated configuration of one agent.
type Config struct {
	Name            string
	Listen          string  // host:port for clients
	Discovery       string  // host:port of the discovery server
	Seed            uint64  // of the balancer's random numbers
	Cores           float64 // CPU limit
	MemoryMB        int     // limit beyond which the process is killed
	Sockets         int     // descriptor limit
	CachedEndpoints membership.List
	Settings        policy.Settings
	Zones           []string // names of zones, indexed by the balancer's number
	MachineTypes    []string // names of machine types, indexed by the balancer's number
	AdminAddr       string   // host:port of the admin endpoint; "": none
	ThriftFile      string   // configuration of the Thrift downstream; "": none

	// Registry is the registry of running servers; nil: the discovery server alone lists the backends.
	Registry *ephemeral.Config
	// SharedConfig names the configuration store; nil: the agent uses only its own file.
	SharedConfig *client.Config
	// UpgradeDir is the folder that two processes of this agent share; nil: there is only this process.
	UpgradeDir *upgrade.Dir

	serveAfterSignal time.Duration // for tests: if not 0, replaces the first duration of shutdownPlan
}

// configFile is the content of the file that PROXY_CONFIG names.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"` // 64 bits, hexadecimal
	Admin     string `json:"admin_addr"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    membership.List `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Environment variables.
const (
	envConfig       = "PROXY_CONFIG" // path of the configuration file
	envName         = "PROXY_NAME"
	envListen       = "PROXY_LISTEN"
	envDiscovery    = "PROXY_DISCOVERY"
	envAdminAddr    = "PROXY_ADMIN_ADDR"
	envThrift       = "PROXY_THRIFT"    // path of the Thrift downstream's configuration
	envRegistry     = "PROXY_EPHEMERAL" // path of the registry's configuration
	envSharedConfig = "PROXY_AGREED"    // path of the configuration store's configuration
)

const (
	// StartTimeout is how long a start waits for a configuration file that is missing or not valid JSON,
	// since the file may be in the middle of a write.
	StartTimeout = 3 * time.Second
	// incompletePollInterval is how often a start reads an incomplete file again.
	incompletePollInterval = 50 * time.Millisecond
)

// errIncompleteFile marks a file that is missing or not valid JSON. A JSON object that is truncated anywhere
// is not valid.
var errIncompleteFile = errors.New("the file is missing or not whole")

// LoadConfig reads the configuration from the environment and from the file that PROXY_CONFIG names. The
// environment takes precedence, since the platform sets it for this start of the process.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, envName, envListen, envDiscovery, envAdminAddr)
}

// ReloadConfig reads the configuration again. The discovery server in the file takes precedence over the one
// in the environment, which dates from the start of the process.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, envName, envListen, envAdminAddr)
}

// StartConfig is LoadConfig for the start of the process: it reads an incomplete file repeatedly, until
// StartTimeout is over or ctx ends. A complete but invalid file is an error at once.
func StartConfig(ctx context.Context, getenv func(string) string) (*Config, error) {
	timeout := time.NewTimer(StartTimeout)
	defer timeout.Stop()
	for {
		c, err := LoadConfig(getenv)
		if !errors.Is(err, errIncompleteFile) {
			return c, err
		}
		select {
		case <-time.After(incompletePollInterval):
		case <-timeout.C:
			return nil, fmt.Errorf("%w (for %v)", err, StartTimeout)
		case <-ctx.Done():
			return nil, err
		}
	}
}

// loadConfig reads the configuration. The environment variables in overrides take precedence over the file.
func loadConfig(getenv func(string) string, overrides ...string) (*Config, error) {
	f, err := readConfigFile(getenv(envConfig))
	if err != nil {
		return nil, err
	}
	fields := map[string]*string{
		envName:      &f.Name,
		envListen:    &f.Listen,
		envDiscovery: &f.Discovery,
		envAdminAddr: &f.Admin,
	}
	for _, name := range overrides {
		if value := getenv(name); value != "" {
			*fields[name] = value
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	if err := c.loadOtherFiles(getenv); err != nil {
		return nil, err
	}
	return c, nil
}

func readConfigFile(path string) (*configFile, error) {
	if path == "" {
		return nil, errors.New("config: PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w: %w", errIncompleteFile, err)
	}
	f := &configFile{}
	if err := json.Unmarshal(text, f); err != nil {
		if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
			err = fmt.Errorf("%w: %w", errIncompleteFile, err)
		}
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return f, nil
}

// loadOtherFiles reads the files that other environment variables name.
func (c *Config) loadOtherFiles(getenv func(string) string) (err error) {
	if c.ThriftFile = getenv(envThrift); c.ThriftFile != "" {
		t, err := thrift.Load(c.ThriftFile)
		if err == nil {
			_, err = t.Table(c.Settings.Classes)
		}
		if err != nil {
			return fmt.Errorf("config: %s: %w", envThrift, err)
		}
	}
	if path := getenv(envRegistry); path != "" {
		if c.Registry, err = ephemeral.Load(path); err != nil {
			return fmt.Errorf("config: %s: %w", envRegistry, err)
		}
	}
	if path := getenv(envSharedConfig); path != "" {
		if c.SharedConfig, err = client.Load(path); err != nil {
			return fmt.Errorf("config: %s: %w", envSharedConfig, err)
		}
	}
	return nil
}

// config validates the file.
func (f *configFile) config() (*Config, error) {
	c := &Config{
		Name:            f.Name,
		Listen:          f.Listen,
		Discovery:       f.Discovery,
		CachedEndpoints: f.Known,
		AdminAddr:       f.Admin,
		Cores:           f.Limits.Cores,
		MemoryMB:        f.Limits.MemoryMB,
		Sockets:         f.Limits.Sockets,
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is not a 64-bit hexadecimal number", f.Seed)
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	addresses := []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}}
	if c.AdminAddr != "" {
		addresses = append(addresses, struct{ key, value string }{"admin_addr", c.AdminAddr})
	}
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return fmt.Errorf("config: %s: %q is not host:port", a.key, a.value)
		}
	}
	return nil
}

func (c *Config) checkLimits() error {
	switch {
	case !(c.Cores > 0) || math.IsInf(c.Cores, 0):
		return fmt.Errorf("config: limits.cores: must be above 0, not %v", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: must be at least %d, not %d", minMemoryMB, c.MemoryMB)
	case c.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: must be at least %d, not %d", minSockets, c.Sockets)
	}
	return nil
}

// parseSettings parses the settings, including the names of the zones and machine types, which the balancer
// knows only by number.
func (c *Config) parseSettings(text json.RawMessage) (err error) {
	if len(text) == 0 {
		return errors.New("config: settings: missing")
	}
	if c.Settings, err = wire.ParseSettings(text); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	var names struct {
		Zones        []string `json:"failureDomains"`
		MachineTypes []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	c.Zones = names.Zones
	c.MachineTypes = names.MachineTypes
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}

// eventLoopConfig returns the event loop's part of the configuration.
func (c *Config) eventLoopConfig() core.Config {
	loopConfig := core.Config{
		Discovery:       c.Discovery,
		CachedEndpoints: c.CachedEndpoints,
		Settings:        c.Settings,
		Seed:            c.Seed,
		Zones:           c.Zones,
		MachineTypes:    c.MachineTypes,
		PublishRotation: c.AdminAddr != "",
	}
	if c.SharedConfig != nil {
		loopConfig.SharedConfig = &core.SharedConfig{RejectOnExpiry: c.SharedConfig.OnExpiry == client.OnExpiryReject}
	}
	if c.Registry != nil {
		loopConfig.Merge = c.Registry.Merge()
		logProblem := func(problem string) { slog.Warn("problem with the registry", "problem", problem) }
		loopConfig.WatchNodes = ephemeral.NewSource(c.Registry).Feed(logProblem)
	}
	return loopConfig
}

// reportInline is the value of Report.Delivery for load reports that come with the responses.
const reportInline = "inline"

// loadReportNames returns the names of the values that backends report with their responses.
func (c *Config) loadReportNames() []string {
	if c.Settings.Report.Delivery != reportInline {
		return nil
	}
	return c.Settings.Report.Names
}
