package control

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/policy"
)

// Config is the validated content of deploy/control.toml. Keys, units and defaults are documented in
// docs/operators/control.md.
type Config struct {
	Listen    string          `toml:"listen"`   // host:port for proxies
	Admin     string          `toml:"admin"`    // host:port of the admin endpoint, on loopback; "": none
	Service   string          `toml:"service"`  // name of the listener, route and endpoint resources
	Settings  string          `toml:"settings"` // file with the platform's settings object
	Discovery DiscoveryConfig `toml:"roster"`
	Ephemeral string          `toml:"ephemeral"` // file that configures the registry; "": discovery only
	Evidence  EvidenceConfig  `toml:"evidence"`
	Proxies   ProxiesConfig   `toml:"proxies"`
	XDS       XDSConfig       `toml:"xds"`
	TLS       TLSConfig       `toml:"tls"`
	Nodes     []NodeConfig    `toml:"node"`

	settings     policy.Settings
	zones, kinds []string
	ephemeral    *ephemeral.Config
}

// DiscoveryConfig configures the service discovery that lists the servers.
type DiscoveryConfig struct {
	Addr         string  `toml:"addr"`           // host:port
	StaleAfterMs float64 `toml:"stale_after_ms"` // without updates for this long, the list is reported stale
}

// EvidenceConfig configures the evaluation of load reports.
type EvidenceConfig struct {
	ReportMs   float64 `toml:"report_ms"` // interval at which proxies report load and reports are evaluated
	EjectionMs float64 `toml:"lapse_ms"`  // base ejection time
}

// ProxiesConfig configures limits and timeouts for proxies.
type ProxiesConfig struct {
	MaxStreams        int     `toml:"most"`       // maximum number of ADS streams
	MaxNames          int     `toml:"names_most"` // maximum number of resource names in one subscription
	DisconnectGraceMs float64 `toml:"linger_ms"`  // how long a disconnected proxy may still send
	// StartupHoldMs is how long after startup servers in slow start get no requests.
	StartupHoldMs    float64 `toml:"settle_ms"`
	DebounceMs       float64 `toml:"debounce_ms"`    // delay of non-urgent updates, to batch them
	AckTimeoutMs     float64 `toml:"stall_after_ms"` // time to acknowledge an urgent update
	StreamClosesPerS float64 `toml:"ends_per_s"`     // streams closed per second for missing ACKs
	HeartbeatS       int     `toml:"heartbeat_s"`    // TTL of endpoint resources; 0: none
}

// XDSConfig configures the listener, route and cluster resources.
type XDSConfig struct {
	Listen         string `toml:"listen"`          // host:port where proxies listen; "": no listener
	Balancer       string `toml:"balancer"`        // "ring_hash" or "maglev"
	AffinityHeader string `toml:"affinity_header"` // request header with the affinity key; "": none
}

// TLSConfig configures the PEM files of the service's certificate and of the authority that issues the
// certificates of proxies.
type TLSConfig struct {
	Cert     string  `toml:"cert"`
	Key      string  `toml:"key"`
	ClientCA string  `toml:"client_ca"`
	ReloadS  float64 `toml:"reload_s"` // interval at which the files are read
}

// NodeConfig allows certificates to use node IDs, both by pattern (path.Match).
type NodeConfig struct {
	Certificate string   `toml:"certificate"` // pattern for a DNS or URI name of the certificate
	IDs         []string `toml:"ids"`
}

// DefaultConfig returns a Config with the default values.
func DefaultConfig() *Config {
	c := &Config{Service: "orders"}
	c.Discovery.StaleAfterMs = 15_000
	c.Evidence.ReportMs = 1000
	c.Evidence.EjectionMs = 5000
	c.Proxies.MaxStreams = 5000
	c.Proxies.MaxNames = 10_000
	c.Proxies.DisconnectGraceMs = 60_000
	c.Proxies.StartupHoldMs = 5000
	c.Proxies.DebounceMs = 100
	c.Proxies.AckTimeoutMs = 200 // less than the 250 ms within which a drain has to reach proxies
	c.Proxies.StreamClosesPerS = 50
	c.XDS.Balancer = resource.BalancerRingHash
	c.TLS.ReloadS = 30
	return c
}

// Load reads and validates a configuration file. File names in it are relative to its directory. An error
// names the invalid key.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := DefaultConfig()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(c); err != nil {
		return nil, fmt.Errorf("config: %s: %s", file, describeDecodeError(err))
	}
	for _, name := range []*string{&c.Settings, &c.Ephemeral, &c.TLS.Cert, &c.TLS.Key, &c.TLS.ClientCA} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(filepath.Dir(file), *name)
		}
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", file, err)
	}
	return c, nil
}

// describeDecodeError returns the text of a decoding error, including the key.
func describeDecodeError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var keys []string
		for i := range strict.Errors {
			keys = append(keys, strings.Join(strict.Errors[i].Key(), "."))
		}
		return "unknown: " + strings.Join(keys, ", ")
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Sprintf("line %d: %s: %s", row, strings.Join(decode.Key(), "."), decode.Error())
	}
	return err.Error()
}

// assign returns the configuration of the assigner.
func (c *Config) assign() assign.Config {
	return assign.Config{
		Settings:          c.settings,
		Zones:             c.zones,
		Kinds:             c.kinds,
		EjectionMs:        c.Evidence.EjectionMs,
		ReportMs:          c.Evidence.ReportMs,
		DisconnectGraceMs: c.Proxies.DisconnectGraceMs,
		StartupHoldMs:     c.Proxies.StartupHoldMs,
	}
}

// service returns the configuration of the rendered listeners, routes and clusters.
func (c *Config) service() *resource.Service {
	return &resource.Service{
		Name:           c.Service,
		Listen:         c.XDS.Listen,
		Balancer:       c.XDS.Balancer,
		AffinityHeader: c.XDS.AffinityHeader,
		Settings:       c.settings,
		Routes:         assign.Routes(&c.settings),
	}
}
