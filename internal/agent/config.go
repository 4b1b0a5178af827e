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

	"ringtrack.example/ringtrack/internal/admin"
	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/internal/downstream/thrift"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/internal/upgrade"
	"ringtrack.example/ringtrack/internal/upstream/conns"
	"ringtrack.example/ringtrack/internal/wire"
	"ringtrack.example/ringtrack/policy"
)

// Config is what the platform tells one agent, validated.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Seed            uint64
	Cores           float64
	MemoryMB        int
	Sockets         int
	CachedEndpoints membership.List
	Settings        policy.Settings
	Zones           []string // names of zones and of machine kinds, by the number the module knows
	MachineTypes    []string
	AdminAddr       string // where operators call; "": nowhere
	ThriftFile      string // file of the Thrift front's configuration; "": there is none
	// Registry says which registry tells what runs; nil: the roster alone says which backends there are.
	Registry *ephemeral.Config

	// SharedConfig says which keepers hold the book of rules; nil: the agent acts by its own file alone.
	SharedConfig *client.Config

	// UpgradeDir is what two processes of this agent share; nil: there is only this one.
	UpgradeDir *upgrade.Dir

	serveAfterSignal time.Duration // for how long clients are served as ever after SIGTERM; 0: as ending has it
}

// configFile is the form of $PROXY_CONFIG.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Admin     string `json:"admin_addr"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    membership.List `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// LoadConfig reads the configuration from the environment and from the file it
// names. Where both tell a thing the environment wins: it is what the platform
// set for this very start.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_ADMIN_ADDR")
}

const (
	// StartTimeout is how long a start waits for a file that is not there, or is no JSON: it may just be being
	// written, in place or by a new name. unfinishedEvery is how often it looks.
	StartTimeout, incompletePollInterval = 3 * time.Second, 50 * time.Millisecond
)

// errIncompleteFile marks a file that can't be read as JSON. One that is cut off anywhere never can.
var errIncompleteFile = errors.New("the file is missing or not whole")

// StartConfig is LoadConfig for a start: a file that may still be being written is read again, until StartWait is
// over or ctx done. What is whole and makes no sense is an error at once.
func StartConfig(ctx context.Context, getenv func(string) string) (*Config, error) {
	over := time.NewTimer(StartTimeout)
	defer over.Stop()
	for {
		c, err := LoadConfig(getenv)
		if !errors.Is(err, errIncompleteFile) {
			return c, err
		}
		select {
		case <-time.After(incompletePollInterval):
		case <-over.C:
			return nil, fmt.Errorf("%w (for %v)", err, StartTimeout)
		case <-ctx.Done():
			return nil, err
		}
	}
}

// ReloadConfig reads the file again. By then its discovery is newer than that of the
// environment, which is as old as the process.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return loadConfig(getenv, "PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR")
}

// loadConfig reads the file; the variables that are named win over it.
func loadConfig(getenv func(string) string, win ...string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("config: PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w: %w", errIncompleteFile, err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
			err = fmt.Errorf("%w: %w", errIncompleteFile, err)
		}
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	fields := map[string]*string{"PROXY_NAME": &f.Name, "PROXY_LISTEN": &f.Listen, "PROXY_DISCOVERY": &f.Discovery,
		"PROXY_ADMIN_ADDR": &f.Admin}
	for _, name := range win {
		if v := getenv(name); v != "" {
			*fields[name] = v
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	if c.ThriftFile = getenv("PROXY_THRIFT"); c.ThriftFile != "" {
		t, err := thrift.Load(c.ThriftFile)
		if err == nil {
			_, err = t.Table(c.Settings.Classes)
		}
		if err != nil {
			return nil, fmt.Errorf("config: PROXY_THRIFT: %w", err)
		}
	}
	if path := getenv("PROXY_EPHEMERAL"); path != "" {
		if c.Registry, err = ephemeral.Load(path); err != nil {
			return nil, fmt.Errorf("config: PROXY_EPHEMERAL: %w", err)
		}
	}
	if path := getenv("PROXY_AGREED"); path != "" {
		if c.SharedConfig, err = client.Load(path); err != nil {
			return nil, fmt.Errorf("config: PROXY_AGREED: %w", err)
		}
	}
	return c, nil
}

func (f *configFile) config() (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, CachedEndpoints: f.Known, AdminAddr: f.Admin,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	for _, a := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"admin_addr", c.AdminAddr}} {
		if a.key == "admin_addr" && a.value == "" {
			continue // there is no door
		}
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return nil, fmt.Errorf("config: %s: %q is no host:port", a.key, a.value)
		}
	}
	switch {
	case !(c.Cores > 0) || math.IsInf(c.Cores, 0):
		return nil, fmt.Errorf("config: limits.cores: must be above 0, is %v", c.Cores)
	case c.MemoryMB < 16:
		return nil, fmt.Errorf("config: limits.memory_mb: must be 16 at least, is %d", c.MemoryMB)
	case c.Sockets < minSockets:
		return nil, fmt.Errorf("config: limits.sockets: must be %d at least, is %d", minSockets, c.Sockets)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("config: settings: none given")
	}
	if c.Settings, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	// The module knows zones and kinds by number only; discovery names them.
	var names struct {
		Zones []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(f.Settings, &names); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	c.Zones, c.MachineTypes = names.Zones, names.Kinds
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// eventLoopConfig is what of it the loop is told.
func (c *Config) eventLoopConfig() core.Config {
	out := core.Config{Discovery: c.Discovery, CachedEndpoints: c.CachedEndpoints, Settings: c.Settings, Seed: c.Seed, Zones: c.Zones, MachineTypes: c.MachineTypes,
		PublishRotation: c.AdminAddr != ""}
	if c.SharedConfig != nil {
		out.SharedConfig = &core.SharedConfig{RejectWhenStale: c.SharedConfig.OnExpiry == client.OnExpiryReject}
	}
	if c.Registry != nil {
		out.Merge = c.Registry.Merge()
		out.WatchNodes = ephemeral.NewSource(c.Registry).Feed(func(problem string) { slog.Warn("registry", "problem", problem) })
	}
	return out
}

// minSockets leaves a few connections to each side beside the reserve.
const minSockets = 64

// A process's descriptors beside the connections to backends and of clients, whatever those do. What is counted here
// does not grow with the limit, so that a small limit has to leave more than a part of itself.
const (
	// processDescriptors: the three standard streams, two of the runtime's poller, the lock in the folder that two processes
	// share, what is open at once while that folder is looked at (four) and while a configuration is read (two).
	processDescriptors = 12
	// discoveryConns is the most that a client of the roster has at once, of which a new one takes the place at SIGHUP.
	discoveryConns = discovery.MaxConns + 1
	// listenerDescriptors: a listener, and a client that has just been accepted and is to be closed, or another in its place.
	listenerDescriptors = 2
	// configStoreConns and ephemeralConns are those to keepers, with the listener for peers, and to the registry.
	configStoreConns, registryConns = client.MaxConns + 1, 2
	// minConnections is what each side has however low the limit is.
	minConnections = 4
)

// reservedDescriptors is how many descriptors are neither for backends nor for clients of the fronts.
func (c *Config) reservedDescriptors() int {
	n := processDescriptors + discoveryConns + listenerDescriptors*c.downstreams()
	if c.AdminAddr != "" {
		n += listenerDescriptors + c.maxAdminConnections()
	}
	if c.SharedConfig != nil {
		n += configStoreConns
	}
	if c.Registry != nil {
		n += registryConns
	}
	return n
}

// connectionsPerSide is the part of the descriptors that backends have, and as many the clients of all fronts.
func (c *Config) connectionsPerSide() int {
	return max(min(c.Sockets*7/16, (c.Sockets-c.reservedDescriptors())/2), minConnections)
}

// maxAdminConnections is how many operators may be connected.
func (c *Config) maxAdminConnections() int { return min(max(c.Sockets/16, 2), admin.MaxConnections) }

// maxBackendConnections is the most connections to backends, clientConns the most of clients, over all fronts. The rest
// is for the listeners, discovery, operators, files, the runtime's own, and what is just being closed.
func (c *Config) maxBackendConnections() int { return c.connectionsPerSide() }
func (c *Config) maxClientConnections() int  { return max(c.connectionsPerSide()/c.downstreams(), 2) }

// maxIdleClients is how many clients of a front may be connected before idle ones give way: the application has a
// limit of its own, and those that stay for nothing leave it none for the next request.
func (c *Config) maxIdleClients() int {
	return min(max(c.Sockets/4/c.downstreams(), 2), c.maxClientConnections())
}

// limitDescriptors makes the limit of the process itself that of the configuration, where it is lower: to plan with more
// would be to meet it at an accept or at a call to discovery.
func (c *Config) limitDescriptors(limit uint64) {
	if limit < uint64(c.Sockets) {
		slog.Warn("the process may hold fewer descriptors than the configuration tells", "limit", limit, "sockets", c.Sockets)
		c.Sockets = int(limit)
	}
}

// downstreams is the number of fronts that clients connect to.
func (c *Config) downstreams() int {
	if c.ThriftFile != "" {
		return 2
	}
	return 1
}

// newPool makes the pool of connections to backends that all upstreams share. A backend closes at
// keepalive at the latest; half of it is well before.
func newPool(c *Config) *conns.Pool {
	return conns.New(durationFromMs(c.Settings.Limits.ConnectTimeoutMs), durationFromMs(c.Settings.Limits.KeepaliveMs/2), c.maxBackendConnections())
}

// loadReportNames are the names of the values that backends report with their answers.
func (c *Config) loadReportNames() []string {
	if c.Settings.Report.Delivery != "inline" {
		return nil
	}
	return c.Settings.Report.Names
}

// MemoryLimit is the heap from which on collecting goes before all: long before the limit over which the
// agent would be killed.
func (c *Config) MemoryLimit() int64 { return int64(c.MemoryMB) << 20 * 3 / 4 }

// bodyBudget is the memory for bodies of requests and answers together, beside the small
// ones: what is left of the limit is for connections, the module and the runtime.
func (c *Config) bodyBudget() int64 { return int64(c.MemoryMB) << 20 / 5 }
