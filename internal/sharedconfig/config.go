// Package sharedconfig holds what all processes of an installation are to agree on: the rules of requests, the
// operators' word on servers, the servers in service and the agents that may act. A Book permits acts; what it
// does not name it leaves to each agent's own file, which is narrowed by it and never widened. Books come in
// numbered versions, of which meet makes what two neighbours both permit. The package is pure: no I/O, no clock.
package sharedconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

const (
	// MaxServers, MaxCordoned, MaxAgents and MaxClasses bound a book, MaxNameBytes a name in it and a reason, in bytes.
	MaxServers, MaxCordoned, MaxAgents, MaxClasses, MaxNameBytes = 20_000, 4096, 20_000, 256, 256
	// MaxBytes bounds the JSON text of a book: 20,000 servers take some 1 MB.
	MaxBytes = 4 << 20
)

// Class is what a book permits of one class of requests. A field left out permits what the agent's file does.
type Class struct {
	Effect              policy.Effect     `json:"effect,omitempty" toml:"effect"`
	DedupScope          policy.DedupScope `json:"group,omitempty" toml:"group"`           // with effect "guarded"; "": any
	IdempotencyWindowMs float64           `json:"key_ttl_ms,omitempty" toml:"key_ttl_ms"` // with "guarded", ms; 0: any
}

// Server is what a book says of one server. Weight 0 leaves the weight to the roster.
type Server struct {
	Weight float64 `json:"weight,omitempty" toml:"weight"`
}

// Config is the content of one version.
type Config struct {
	Classes        map[string]Class  `json:"classes,omitempty" toml:"classes"`
	MaxAttempts    int               `json:"max_attempts,omitempty" toml:"max_attempts"`     // 1 to 3; 0: as the agent's file
	DrainGraceMs   float64           `json:"drain_grace_ms,omitempty" toml:"drain_grace_ms"` // ms; 0: as the agent's file
	OverloadFactor float64           `json:"fall_multiple,omitempty" toml:"fall_multiple"`   // of a cold server's part; 0: as the agent's file
	Servers        map[string]Server `json:"servers,omitempty" toml:"servers"`               // by id, those in service
	Listed         bool              `json:"listed,omitempty" toml:"listed"`                 // Servers are all; else the roster says alone
	Cordoned       []string          `json:"bans,omitempty" toml:"bans"`                     // ids, sorted
	Agents         []string          `json:"agents,omitempty" toml:"agents"`                 // who may hold a lease, sorted; none named: anybody
}

// Decode reads a book strictly: what it does not know might forbid something.
func Decode(text []byte) (*Config, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("rules: %d bytes, %d at the most", len(text), MaxBytes)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	b := &Config{}
	if err := d.Decode(b); err != nil {
		return nil, fmt.Errorf("rules: %w", err)
	}
	return b, b.Check()
}

// Check reports the first key that makes no sense, and brings lists into their order.
func (b *Config) Check() error {
	bad := func(key, format string, args ...any) error {
		return fmt.Errorf("rules: %s: "+format, append([]any{key}, args...)...)
	}
	number := func(key string, v, least, most float64) error {
		if v != 0 && !(v >= least && v <= most) {
			return bad(key, "must be %v to %v, is %v", least, most, v)
		}
		return nil
	}
	if n := len(b.Classes); n > MaxClasses {
		return bad("classes", "%d, %d at the most", n, MaxClasses)
	}
	for name, c := range b.Classes {
		key := "classes." + name
		switch {
		case name == "" || len(name) > MaxNameBytes:
			return bad("classes", "a name has 1 to %d bytes", MaxNameBytes)
		case !slices.Contains([]policy.Effect{"", policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent}, c.Effect):
			return bad(key+".effect", "unknown effect %q", c.Effect)
		case !slices.Contains([]policy.DedupScope{"", policy.ScopeAll, policy.ScopeZone, policy.ScopeCell}, c.DedupScope):
			return bad(key+".group", "unknown group %q", c.DedupScope)
		case c.Effect != policy.IdempotentByKey && (c.DedupScope != "" || c.IdempotencyWindowMs != 0):
			return bad(key, "group and key_ttl_ms go with effect %q", policy.IdempotentByKey)
		}
		if err := number(key+".key_ttl_ms", c.IdempotencyWindowMs, 1, 3_600_000); err != nil {
			return err
		}
	}
	for _, err := range []error{number("max_attempts", float64(b.MaxAttempts), 1, 3), number("drain_grace_ms", b.DrainGraceMs, 1, 60_000),
		number("fall_multiple", b.OverloadFactor, 0.1, 100)} {
		if err != nil {
			return err
		}
	}
	if n := len(b.Servers); n > MaxServers {
		return bad("servers", "%d, %d at the most", n, MaxServers)
	}
	if len(b.Servers) > 0 && !b.Listed {
		return bad("listed", "must be true where servers are named")
	}
	for id, s := range b.Servers {
		if id == "" || len(id) > MaxNameBytes {
			return bad("servers", "an id has 1 to %d bytes", MaxNameBytes)
		}
		if err := number("servers."+id+".weight", s.Weight, 0.001, 1000); err != nil || math.IsNaN(s.Weight) {
			return bad("servers."+id+".weight", "must be 0.001 to 1000, is %v", s.Weight)
		}
	}
	for _, l := range []struct {
		key  string
		ids  *[]string
		most int
	}{{"bans", &b.Cordoned, MaxCordoned}, {"agents", &b.Agents, MaxAgents}} {
		if len(*l.ids) > l.most {
			return bad(l.key, "%d, %d at the most", len(*l.ids), l.most)
		}
		for _, id := range *l.ids {
			if id == "" || len(id) > MaxNameBytes {
				return bad(l.key, "a name has 1 to %d bytes", MaxNameBytes)
			}
		}
		*l.ids = slices.Clone(*l.ids)
		slices.Sort(*l.ids)
		*l.ids = slices.Compact(*l.ids)
	}
	return nil
}

// Digest is the same for the same content, on every machine.
func (b *Config) Digest() string {
	text, err := json.Marshal(b) // keys of maps come sorted
	if err != nil {
		panic(err) // a checked book has no number that JSON lacks
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:12])
}

// Clone is a copy that shares nothing.
func (b *Config) Clone() *Config {
	c := *b
	c.Classes, c.Servers = map[string]Class{}, map[string]Server{}
	for k, v := range b.Classes {
		c.Classes[k] = v
	}
	for k, v := range b.Servers {
		c.Servers[k] = v
	}
	c.Cordoned, c.Agents = slices.Clone(b.Cordoned), slices.Clone(b.Agents)
	return &c
}

// Version is a book that was published.
type Version struct {
	Number       uint64  `json:"number"` // from 1 on, without gaps
	Parent       uint64  `json:"parent"` // the number before
	From         uint64  `json:"from"`   // the one that was in force before it, once Stepped; those between never were
	Transitioned bool    `json:"stepped"`
	Digest       string  `json:"digest"`
	ID           string  `json:"id"` // the publisher's own: a second try of it is the same version
	Author       string  `json:"author"`
	Reason       string  `json:"reason"`
	AtMs         int64   `json:"at_ms"` // by the clock of the keeper that took it; for people, decides nothing
	Config       *Config `json:"book,omitempty"`
}

// Transition are what may be acted on at one stage. Stage 2n is version n itself; 2n-1 is what n and the version in force
// before it both permit. Stages only grow; of versions that wait while another comes in force only the last is gone to.
// At any time two neighbouring stages are acted on at the most. Stage 0 is before any version: no rules but each agent's
// own file.
type Transition struct {
	Epoch  uint64  `json:"stage"`
	Config *Config `json:"book"`
}

// EpochOf is the stage at which a version alone is in force.
func EpochOf(number uint64) uint64 { return 2 * number }

// Allows tells whether the book lets an agent send to a server.
func (b *Config) Allows(id string) bool {
	if _, banned := slices.BinarySearch(b.Cordoned, id); banned {
		return false
	}
	_, in := b.Servers[id]
	return in || !b.Listed
}

// SameEndpoints tells whether two books say the same of servers.
func (b *Config) SameEndpoints(of *Config) bool {
	return b.Listed == of.Listed && slices.Equal(b.Cordoned, of.Cordoned) && maps.Equal(b.Servers, of.Servers)
}

// AllowsAgent tells whether the book lets an agent of this name hold a lease.
func (b *Config) AllowsAgent(name string) bool {
	_, in := slices.BinarySearch(b.Agents, name)
	return in || len(b.Agents) == 0
}
