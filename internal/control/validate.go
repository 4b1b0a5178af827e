package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path"
	"regexp"
	"strings"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
	"ringtrack.example/ringtrack/internal/wire"
)

var serviceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check validates the configuration and reads the files that it refers to. An error names the first invalid
// key.
func (c *Config) Check() error {
	if c.Ephemeral != "" {
		var err error
		if c.ephemeral, err = ephemeral.Load(c.Ephemeral); err != nil {
			return err
		}
	}
	for _, check := range []func() error{
		c.checkAddresses, c.checkService, c.checkRanges, c.checkXDS, c.checkTLS, c.checkNodes, c.readSettings,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkAddresses() error {
	for _, addr := range []struct {
		key, value string
		required   bool
	}{
		{"listen", c.Listen, true},
		{"admin", c.Admin, false},
		{"roster.addr", c.Discovery.Addr, true},
		{"xds.listen", c.XDS.Listen, false},
	} {
		if addr.value == "" && !addr.required {
			continue
		}
		if _, port, err := net.SplitHostPort(addr.value); err != nil || port == "" {
			return fmt.Errorf("%s: %q is not a host:port address", addr.key, addr.value)
		}
	}
	if c.Admin != "" && !isLoopback(c.Admin) {
		return fmt.Errorf("admin: %q is not on loopback; the admin endpoint must be reachable only from this machine", c.Admin)
	}
	return nil
}

func (c *Config) checkService() error {
	if !serviceName.MatchString(c.Service) {
		return fmt.Errorf("service: %q: must be 1 to 63 letters, digits, dots, dashes or underscores", c.Service)
	}
	return nil
}

func (c *Config) checkRanges() error {
	for _, setting := range []struct {
		key      string
		value    float64
		min, max float64
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
		// The negated comparison rejects NaN.
		if !(setting.value >= setting.min && setting.value <= setting.max) {
			return fmt.Errorf("%s: must be %v to %v, is %v", setting.key, setting.min, setting.max, setting.value)
		}
	}
	return nil
}

func (c *Config) checkXDS() error {
	if c.XDS.Balancer != resource.BalancerRingHash && c.XDS.Balancer != resource.BalancerMaglev {
		return fmt.Errorf("xds.balancer: %q is neither %q nor %q",
			c.XDS.Balancer, resource.BalancerRingHash, resource.BalancerMaglev)
	}
	if header := c.XDS.AffinityHeader; header != "" && strings.ContainsAny(header, " \t\r\n:") {
		return fmt.Errorf("xds.affinity_header: %q is not a header name", header)
	}
	return nil
}

func (c *Config) checkTLS() error {
	switch {
	case (c.TLS.Cert == "") != (c.TLS.Key == ""):
		return errors.New("tls.cert and tls.key: both or neither must be given")
	case c.TLS.ClientCA != "" && c.TLS.Cert == "":
		return errors.New("tls.client_ca: given without tls.cert")
	case c.TLS.Cert == "" && !isLoopback(c.Listen):
		return fmt.Errorf("listen: %q is not on loopback, which requires tls.cert", c.Listen)
	}
	return nil
}

func (c *Config) checkNodes() error {
	if len(c.Nodes) > 0 && c.TLS.ClientCA == "" {
		return errors.New("node: given without tls.client_ca, which is needed to authenticate proxies")
	}
	for i, n := range c.Nodes {
		if n.Certificate == "" || len(n.IDs) == 0 {
			return fmt.Errorf("node[%d]: certificate and ids are both required", i)
		}
		for _, pattern := range append([]string{n.Certificate}, n.IDs...) {
			if _, err := path.Match(pattern, ""); err != nil {
				return fmt.Errorf("node[%d]: %q is not a pattern", i, pattern)
			}
		}
	}
	return nil
}

// readSettings reads the settings object, in the same format as agents receive it from the platform, and
// validates the parts that the assigner uses.
func (c *Config) readSettings() error {
	if c.Settings == "" {
		return errors.New("settings: no file given")
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
	c.zones = names.Zones
	c.kinds = names.Kinds
	_, err = assign.New(c.assign(), 0)
	return err
}

// isLoopback reports whether an address is reachable only from this machine.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
