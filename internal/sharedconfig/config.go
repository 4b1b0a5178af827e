// Package sharedconfig is the configuration that all agents of a cell share: which requests may be repeated, how often,
// and which servers and agents are in service. What it does not set is left to each agent's own file, which it can only
// make stricter. Configurations come in numbered versions; package intersect makes what two of them both permit. The
// package is pure: no I/O, no clock.
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
	// MaxBytes bounds the JSON text: 20,000 servers take some 1 MB.
	MaxBytes = 4 << 20
)

// Class is what the configuration permits of one class of requests. A zero field permits what the agent's file does.
type Class struct {
	Effect              policy.Effect     `json:"effect,omitempty" toml:"effect"`
	DedupScope          policy.DedupScope `json:"group,omitempty" toml:"group"`           // only with IdempotentByKey
	IdempotencyWindowMs float64           `json:"key_ttl_ms,omitempty" toml:"key_ttl_ms"` // only with IdempotentByKey
}

// Server is the configuration of one server.
type Server struct {
	Weight float64 `json:"weight,omitempty" toml:"weight"` // 0: as in the endpoint list
}

// Config is the content of one version. 0 in a number leaves it to the agent's file.
type Config struct {
	Classes      map[string]Class `json:"classes,omitempty" toml:"classes"`
	MaxAttempts  int              `json:"max_attempts,omitempty" toml:"max_attempts"` // 1 to 3
	DrainGraceMs float64          `json:"drain_grace_ms,omitempty" toml:"drain_grace_ms"`
	// OverloadFactor is relative to the capacity of a warming server.
	OverloadFactor float64 `json:"fall_multiple,omitempty" toml:"fall_multiple"`
	// Servers are those in service, by id, if Listed; else the endpoint list decides.
	Servers  map[string]Server `json:"servers,omitempty" toml:"servers"`
	Listed   bool              `json:"listed,omitempty" toml:"listed"`
	Cordoned []string          `json:"bans,omitempty" toml:"bans"`     // server ids, sorted
	Agents   []string          `json:"agents,omitempty" toml:"agents"` // that may hold a lease, sorted; none: any
}

// Decode reads and checks the JSON text of a configuration. Unknown keys are an error: they might forbid something.
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

// Digest returns a hash of the content, the same on every machine.
func (c *Config) Digest() string {
	text, err := json.Marshal(c) // keys of maps are sorted
	if err != nil {
		panic(err) // a checked configuration has no number that JSON lacks
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:12])
}

// Clone returns a copy that shares nothing.
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

// InService reports whether the list of servers, if there is one, has the server.
func (c *Config) InService(id string) bool {
	_, listed := c.Servers[id]
	return listed || !c.Listed
}

// Allows reports whether an agent may send to a server: it is in service and not cordoned.
func (c *Config) Allows(id string) bool {
	if _, cordoned := slices.BinarySearch(c.Cordoned, id); cordoned {
		return false
	}
	return c.InService(id)
}

// SameServerRules reports whether two configurations agree on servers.
func (c *Config) SameServerRules(other *Config) bool {
	return c.Listed == other.Listed && slices.Equal(c.Cordoned, other.Cordoned) && maps.Equal(c.Servers, other.Servers)
}

// AllowsAgent reports whether an agent of this name may hold a lease.
func (c *Config) AllowsAgent(name string) bool {
	_, listed := slices.BinarySearch(c.Agents, name)
	return listed || len(c.Agents) == 0
}
