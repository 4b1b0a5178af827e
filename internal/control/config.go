package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/internal/wire"
	"ringtrack.example/ringtrack/policy"
)

// Config is the checked content of deploy/control.toml. Keys, units and defaults are described in
// docs/operators/control.md.
type Config struct {
	Listen    string          `toml:"listen"`   // host:port for proxies
	Admin     string          `toml:"admin"`    // host:port of the admin endpoint, on loopback; "": none
	Service   string          `toml:"service"`  // name of the listener, the routes and the endpoints
	Settings  string          `toml:"settings"` // file with the platform's settings object
	Discovery DiscoveryConfig `toml:"roster"`
	Ephemeral string          `toml:"ephemeral"` // file of the instance registry's configuration; "": discovery only
	Evidence  EvidenceConfig  `toml:"evidence"`
	Proxies   ProxiesConfig   `toml:"proxies"`
	XDS       XDSConfig       `toml:"xds"`
	TLS       TLSConfig       `toml:"tls"`
	Nodes     []NodeConfig    `toml:"node"`

	settings     policy.Settings
	zones, kinds []string
	ephemeral    *ephemeral.Config
}

// DiscoveryConfig names the service discovery that lists the servers.
type DiscoveryConfig struct {
	Addr         string  `toml:"addr"`           // host:port
	StaleAfterMs float64 `toml:"stale_after_ms"` // silence after which the endpoint list is reported stale
}

// EvidenceConfig says how load reports are judged.
type EvidenceConfig struct {
	ReportMs   float64 `toml:"report_ms"` // interval at which proxies report, and reports are judged
	EjectionMs float64 `toml:"lapse_ms"`  // base ejection time
}

// ProxiesConfig bounds the proxies that are served and the time that they get.
type ProxiesConfig struct {
	MaxStreams        int     `toml:"most"`           // ADS streams
	MaxNames          int     `toml:"names_most"`     // resource names in one subscription
	DisconnectGraceMs float64 `toml:"linger_ms"`      // how long a disconnected proxy counts as still sending
	StartupHoldMs     float64 `toml:"settle_ms"`      // how long after startup warming servers get nothing
	DebounceMs        float64 `toml:"debounce_ms"`    // delay of updates that are not urgent, to batch them
	AckTimeoutMs      float64 `toml:"stall_after_ms"` // time to acknowledge an urgent update
	StreamClosesPerS  float64 `toml:"ends_per_s"`     // streams closed a second for missing acknowledgements
	HeartbeatS        int     `toml:"heartbeat_s"`    // time to live of endpoint resources; 0: none
}

// XDSConfig shapes the listener, the routes and the clusters.
type XDSConfig struct {
	Listen         string `toml:"listen"`          // host:port on which proxies listen; "": no socket listener
	Balancer       string `toml:"balancer"`        // "ring_hash" or "maglev"
	AffinityHeader string `toml:"affinity_header"` // request header with the affinity key; "": none
}

// TLSConfig names the files of the service's own certificate and of those that proxies' must descend
// from. All three are PEM.
type TLSConfig struct {
	Cert     string  `toml:"cert"`
	Key      string  `toml:"key"`
	ClientCA string  `toml:"client_ca"`
	ReloadS  float64 `toml:"reload_s"`
}

// NodeConfig allows node ids, by pattern (path.Match), to certificates that bear a name.
type NodeConfig struct {
	Certificate string   `toml:"certificate"` // a DNS or URI name of the certificate, by pattern
	IDs         []string `toml:"ids"`
}

// DefaultConfig is a Config with all that has a default.
func DefaultConfig() *Config {
	c := &Config{Service: "orders"}
	c.Discovery.StaleAfterMs = 15_000
	c.Evidence.ReportMs, c.Evidence.EjectionMs = 1000, 5000
	c.Proxies.MaxStreams, c.Proxies.MaxNames = 5000, 10_000
	c.Proxies.DisconnectGraceMs, c.Proxies.StartupHoldMs, c.Proxies.DebounceMs = 60_000, 5000, 100
	c.Proxies.AckTimeoutMs, c.Proxies.StreamClosesPerS = 200, 50 // seen before the 250 ms of the drain rule are over
	c.XDS.Balancer = "ring_hash"
	c.TLS.ReloadS = 30
	return c
}

// Load reads and checks a file. File names in it are relative to its folder. An error names the key.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := DefaultConfig()
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("config: %s: %s", file, explain(err))
	}
	for _, f := range []*string{&c.Settings, &c.Ephemeral, &c.TLS.Cert, &c.TLS.Key, &c.TLS.ClientCA} {
		if *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(file), *f)
		}
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("config: %s: %w", file, err)
	}
	return c, nil
}

// explain names the key that a decoder's error is about.
func explain(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var keys []string
		for i := range strict.Errors {
			keys = append(keys, strings.Join(strict.Errors[i].Key(), "."))
		}
		return "unknown: " + strings.Join(keys, ", ")
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		return fmt.Sprintf("line %d: %s: %s", row, strings.Join(bad.Key(), "."), bad.Error())
	}
	return err.Error()
}

var serviceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check reads the settings file and reports the first key that makes no sense.
func (c *Config) Check() error {
	if c.Ephemeral != "" {
		var err error
		if c.ephemeral, err = ephemeral.Load(c.Ephemeral); err != nil {
			return err
		}
	}
	for _, a := range []struct {
		key, value string
		needed     bool
	}{{"listen", c.Listen, true}, {"admin", c.Admin, false}, {"roster.addr", c.Discovery.Addr, true}, {"xds.listen", c.XDS.Listen, false}} {
		if a.value == "" && !a.needed {
			continue
		}
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return fmt.Errorf("%s: %q is no host:port", a.key, a.value)
		}
	}
	if c.Admin != "" && !loopback(c.Admin) {
		return fmt.Errorf("admin: %q is not on loopback: what it tells is for this machine only", c.Admin)
	}
	if !serviceName.MatchString(c.Service) {
		return fmt.Errorf("service: %q: must be 1 to 63 letters, digits, dots, dashes or underscores", c.Service)
	}
	for _, f := range []struct {
		key         string
		value       float64
		least, most float64
	}{
		{"roster.stale_after_ms", c.Discovery.StaleAfterMs, 1000, 3_600_000},
		{"proxies.most", float64(c.Proxies.MaxStreams), 1, assign.MaxProxies},
		{"proxies.names_most", float64(c.Proxies.MaxNames), 16, 1_000_000},
		{"proxies.debounce_ms", c.Proxies.DebounceMs, 0, 10_000},
		{"proxies.stall_after_ms", c.Proxies.AckTimeoutMs, 50, 60_000},
		{"proxies.ends_per_s", c.Proxies.StreamClosesPerS, 0.1, 10_000},
		{"proxies.heartbeat_s", float64(c.Proxies.HeartbeatS), 0, 3600},
		{"tls.reload_s", c.TLS.ReloadS, 1, 86_400},
	} {
		if !(f.value >= f.least && f.value <= f.most) {
			return fmt.Errorf("%s: must be %v to %v, is %v", f.key, f.least, f.most, f.value)
		}
	}
	if c.XDS.Balancer != "ring_hash" && c.XDS.Balancer != "maglev" {
		return fmt.Errorf("xds.balancer: %q is neither \"ring_hash\" nor \"maglev\"", c.XDS.Balancer)
	}
	if h := c.XDS.AffinityHeader; h != "" && strings.ContainsAny(h, " \t\r\n:") {
		return fmt.Errorf("xds.affinity_header: %q is no header's name", h)
	}
	switch {
	case (c.TLS.Cert == "") != (c.TLS.Key == ""):
		return errors.New("tls.cert and tls.key: one is given without the other")
	case c.TLS.ClientCA != "" && c.TLS.Cert == "":
		return errors.New("tls.client_ca: given without tls.cert")
	case c.TLS.Cert == "" && !loopback(c.Listen):
		return fmt.Errorf("listen: %q is not on loopback: without tls.cert anybody there could read and ask", c.Listen)
	case len(c.Nodes) > 0 && c.TLS.ClientCA == "":
		return errors.New("node: given without tls.client_ca: nothing would tell who a proxy is")
	}
	for i, n := range c.Nodes {
		if n.Certificate == "" || len(n.IDs) == 0 {
			return fmt.Errorf("node[%d]: certificate and ids are both needed", i)
		}
		for _, p := range append([]string{n.Certificate}, n.IDs...) {
			if _, err := path.Match(p, ""); err != nil {
				return fmt.Errorf("node[%d]: %q is no pattern", i, p)
			}
		}
	}
	return c.readSettings()
}

// readSettings reads the settings object, as the platform gives it to agents.
func (c *Config) readSettings() error {
	if c.Settings == "" {
		return errors.New("settings: names no file")
	}
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.settings, err = wire.ParseSettings(text); err != nil {
		return err
	}
	var names struct {
		Zones []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.zones, c.kinds = names.Zones, names.Kinds
	_, err = assign.New(c.assign(), 0)
	return err
}

func (c *Config) assign() assign.Config {
	return assign.Config{Settings: c.settings, Zones: c.zones, Kinds: c.kinds,
		EjectionMs: c.Evidence.EjectionMs, ReportMs: c.Evidence.ReportMs,
		DisconnectGraceMs: c.Proxies.DisconnectGraceMs, StartupHoldMs: c.Proxies.StartupHoldMs}
}

func (c *Config) service() *resource.Service {
	return &resource.Service{Name: c.Service, Listen: c.XDS.Listen, Balancer: c.XDS.Balancer,
		AffinityHeader: c.XDS.AffinityHeader, Settings: c.settings, Routes: assign.Routes(&c.settings)}
}

// loopback tells whether an address can be reached from this machine only.
func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
