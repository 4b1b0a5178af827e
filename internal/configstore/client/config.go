package client

import (
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Values of Config.OnExpiry: whether an agent rejects or serves requests once its lease and its server rules
// have expired.
const (
	OnExpiryReject = "refuse"
	OnExpiryServe  = "serve"
)

const (
	defaultCallMs = 400
	defaultWaitMs = 500

	minCallMs = 10
	maxCallMs = 10_000
	maxWaitMs = 10_000

	// maxAddresses bounds the number of replicas, and of peers.
	maxAddresses = 64
)

// Config is an agent's configuration file, deploy/agreed.toml. docs/operators/agreed.md describes the keys.
type Config struct {
	Replicas []string `toml:"keepers"`  // addresses
	Peers    []string `toml:"peers"`    // addresses of agents that may relay a renewal
	Listen   string   `toml:"listen"`   // address for relaying renewals of peers; "" disables it
	CallMs   float64  `toml:"call_ms"`  // timeout of a call, in addition to the wait of the replica
	WaitMs   float64  `toml:"wait_ms"`  // how long a replica may wait for a new epoch before it answers
	OnExpiry string   `toml:"on_lapse"` // OnExpiryReject or OnExpiryServe
}

// Load reads and checks a configuration file.
func Load(path string) (*Config, error) {
	c := &Config{CallMs: defaultCallMs, WaitMs: defaultWaitMs, OnExpiry: OnExpiryReject}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("agreed: %w", err)
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(c); err != nil {
		return nil, fmt.Errorf("agreed: %s: %w", path, err)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// check returns an error that names an invalid key.
func (c *Config) check() error {
	if len(c.Replicas) == 0 {
		return fmt.Errorf("agreed: keepers: no address is given")
	}
	for key, addrs := range map[string][]string{"keepers": c.Replicas, "peers": c.Peers} {
		if err := checkAddresses(key, addrs); err != nil {
			return err
		}
	}
	if err := checkMs("call_ms", c.CallMs, minCallMs, maxCallMs); err != nil {
		return err
	}
	if err := checkMs("wait_ms", c.WaitMs, 0, maxWaitMs); err != nil {
		return err
	}
	if c.OnExpiry != OnExpiryReject && c.OnExpiry != OnExpiryServe {
		return fmt.Errorf("agreed: on_lapse: %q is neither %q nor %q", c.OnExpiry, OnExpiryReject, OnExpiryServe)
	}
	return nil
}

func checkAddresses(key string, addrs []string) error {
	if len(addrs) > maxAddresses {
		return fmt.Errorf("agreed: %s: %d addresses, the limit is %d", key, len(addrs), maxAddresses)
	}
	for _, addr := range addrs {
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return fmt.Errorf("agreed: %s: %q is not host:port", key, addr)
		}
	}
	return nil
}

func checkMs(key string, value float64, lower, upper int) error {
	if !(value >= float64(lower) && value <= float64(upper)) {
		return fmt.Errorf("agreed: %s: must be %d to %d, is %v", key, lower, upper, value)
	}
	return nil
}
