// Package sharedconfig defines the configuration that all agents of a cell share: which requests may be
// repeated, how often, and which servers and agents are in service. Values that it does not set are taken
// from each agent's own file, whose values it can only make stricter. Configurations have numbered
// versions; package intersect computes what two of them both permit. The package is pure: it has no I/O and
// no clock.
package sharedconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// Bounds of a configuration.
const (
	MaxServers  = 20_000
	MaxCordoned = 4096
	MaxAgents   = 20_000
	MaxClasses  = 256
	// MaxNameBytes bounds a name and a publisher's reason.
	MaxNameBytes = 256
	// MaxBytes bounds the JSON text; 20,000 servers take about 1 MB.
	MaxBytes = 4 << 20
)

// Class is what the configuration permits for one class of requests. A zero field permits what the agent's
// file permits.
type Class struct {
	Effect policy.Effect `json:"effect,omitempty" toml:"effect"`
	// DedupScope and IdempotencyWindowMs may be set only if Effect is IdempotentByKey.
	DedupScope          policy.DedupScope `json:"group,omitempty" toml:"group"`
	IdempotencyWindowMs float64           `json:"key_ttl_ms,omitempty" toml:"key_ttl_ms"`
}

// Server is the configuration of one server.
type Server struct {
	Weight float64 `json:"weight,omitempty" toml:"weight"` // 0: as in the endpoint list
}

// Config is the content of one version. For a number that is 0 the agent's file decides.
type Config struct {
	Classes      map[string]Class `json:"classes,omitempty" toml:"classes"`
	MaxAttempts  int              `json:"max_attempts,omitempty" toml:"max_attempts"` // 1 to 3
	DrainGraceMs float64          `json:"drain_grace_ms,omitempty" toml:"drain_grace_ms"`
	// OverloadFactor is relative to the capacity of a server in slow start.
	OverloadFactor float64 `json:"fall_multiple,omitempty" toml:"fall_multiple"`
	// Servers are the servers in service, by id, if Listed is set; otherwise the endpoint list decides.
	Servers  map[string]Server `json:"servers,omitempty" toml:"servers"`
	Listed   bool              `json:"listed,omitempty" toml:"listed"`
	Cordoned []string          `json:"bans,omitempty" toml:"bans"` // server ids, sorted
	// Agents are the names that may hold a lease, sorted. If it is empty, all may.
	Agents []string `json:"agents,omitempty" toml:"agents"`
}

// Decode parses and checks the JSON text of a configuration. Unknown keys are an error, as they might be
// restrictions.
func Decode(text []byte) (*Config, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("rules: %d bytes, %d at the most", len(text), MaxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	config := &Config{}
	if err := decoder.Decode(config); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	return config, config.Check()
}

// Digest returns a hash of the content, which is the same on all machines.
func (c *Config) Digest() string {
	text, err := json.Marshal(c) // map keys are sorted
	if err != nil {
		panic(err) // a checked configuration has only numbers that JSON can encode
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:12])
}

// Clone returns a deep copy.
func (c *Config) Clone() *Config {
	clone := *c
	clone.Classes = map[string]Class{}
	maps.Copy(clone.Classes, c.Classes)
	clone.Servers = map[string]Server{}
	maps.Copy(clone.Servers, c.Servers)
	clone.Cordoned = slices.Clone(c.Cordoned)
	clone.Agents = slices.Clone(c.Agents)
	return &clone
}

// InService reports whether the server is in Servers, or Servers is not in use (see Listed).
func (c *Config) InService(id string) bool {
	_, listed := c.Servers[id]
	return listed || !c.Listed
}

// Allows reports whether agents may send requests to a server: it is in service and not cordoned.
func (c *Config) Allows(id string) bool {
	if _, cordoned := slices.BinarySearch(c.Cordoned, id); cordoned {
		return false
	}
	return c.InService(id)
}

// SameServerRules reports whether two configurations have equal server rules.
func (c *Config) SameServerRules(other *Config) bool {
	return c.Listed == other.Listed && slices.Equal(c.Cordoned, other.Cordoned) && maps.Equal(c.Servers, other.Servers)
}

// AllowsAgent reports whether an agent of this name may hold a lease.
func (c *Config) AllowsAgent(name string) bool {
	_, listed := slices.BinarySearch(c.Agents, name)
	return listed || len(c.Agents) == 0
}
