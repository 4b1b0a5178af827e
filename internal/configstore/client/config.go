package client

import (
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// What a lapsed agent does once its list is over as well.
const (
	OnExpiryReject = "refuse"
	OnExpiryServe  = "serve"
)

// maxAddresses bounds keepers and peers that are named.
const maxAddresses = 64

// Config is what deploy/agreed.toml says. Keys, units and defaults are on the operators' page.
type Config struct {
	Replicas []string `toml:"keepers"`
	Peers    []string `toml:"peers"`   // agents that may relay an ask
	Listen   string   `toml:"listen"`  // where peers bring theirs; "": nowhere
	CallMs   float64  `toml:"call_ms"` // for an answer, beside what the keeper may wait
	WaitMs   float64  `toml:"wait_ms"` // for how long a keeper may wait for something new
	OnExpiry string   `toml:"on_lapse"`
}

// Load reads and checks a file.
func Load(path string) (*Config, error) {
	c := &Config{CallMs: 400, WaitMs: 500, OnExpiry: OnExpiryReject}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("agreed: %w", err)
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(c); err != nil {
		return nil, fmt.Errorf("agreed: %s: %w", path, err)
	}
	if len(c.Replicas) == 0 {
		return nil, fmt.Errorf("agreed: keepers: none named")
	}
	for key, addrs := range map[string][]string{"keepers": c.Replicas, "peers": c.Peers} {
		if len(addrs) > maxAddresses {
			return nil, fmt.Errorf("agreed: %s: %d, %d at the most", key, len(addrs), maxAddresses)
		}
		for _, a := range addrs {
			if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
				return nil, fmt.Errorf("agreed: %s: %q is no host:port", key, a)
			}
		}
	}
	for _, v := range []struct {
		key         string
		value       float64
		least, most float64
	}{{"call_ms", c.CallMs, 10, 10_000}, {"wait_ms", c.WaitMs, 0, 10_000}} {
		if !(v.value >= v.least && v.value <= v.most) {
			return nil, fmt.Errorf("agreed: %s: must be %v to %v, is %v", v.key, v.least, v.most, v.value)
		}
	}
	if c.OnExpiry != OnExpiryReject && c.OnExpiry != OnExpiryServe {
		return nil, fmt.Errorf("agreed: on_lapse: %q is neither %q nor %q", c.OnExpiry, OnExpiryReject, OnExpiryServe)
	}
	return c, nil
}
