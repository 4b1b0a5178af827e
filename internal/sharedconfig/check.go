package sharedconfig

import (
	"fmt"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// Bounds of the numbers that are set.
const (
	maxAttempts            = 3
	maxIdempotencyWindowMs = 3_600_000
	maxDrainGraceMs        = 60_000
	minOverloadFactor      = 0.1
	maxOverloadFactor      = 100
	minWeight              = 0.001
	maxWeight              = 1000
)

func invalid(key, format string, args ...any) error {
	return fmt.Errorf("rules: %s: "+format, append([]any{key}, args...)...)
}

// checkNumber returns an error unless the value is 0, which means that the agent's file decides, or within
// the bounds; NaN is not.
func checkNumber(key string, value, lower, upper float64) error {
	if value != 0 && !(value >= lower && value <= upper) {
		return invalid(key, "must be %v to %v, is %v", lower, upper, value)
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// Check returns an error that names the first invalid key, and sorts the lists.
func (c *Config) Check() error {
	if err := c.checkClasses(); err != nil {
		return err
	}
	if err := checkNumber("max_attempts", float64(c.MaxAttempts), 1, maxAttempts); err != nil {
		return err
	}
	if err := checkNumber("drain_grace_ms", c.DrainGraceMs, 1, maxDrainGraceMs); err != nil {
		return err
	}
	if err := checkNumber("fall_multiple", c.OverloadFactor, minOverloadFactor, maxOverloadFactor); err != nil {
		return err
	}
	if err := c.checkServers(); err != nil {
		return err
	}
	if err := checkNames("bans", &c.Cordoned, MaxCordoned); err != nil {
		return err
	}
	return checkNames("agents", &c.Agents, MaxAgents)
}

func (c *Config) checkClasses() error {
	if n := len(c.Classes); n > MaxClasses {
		return invalid("classes", "%d, %d at the most", n, MaxClasses)
	}
	for name, class := range c.Classes {
		if !validName(name) {
			return invalid("classes", "a name has 1 to %d bytes", MaxNameBytes)
		}
		if err := class.check("classes." + name); err != nil {
			return err
		}
	}
	return nil
}

func (c Class) check(key string) error {
	effects := []policy.Effect{"", policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent}
	scopes := []policy.DedupScope{"", policy.ScopeAll, policy.ScopeZone, policy.ScopeCell}
	switch {
	case !slices.Contains(effects, c.Effect):
		return invalid(key+".effect", "unknown effect %q", c.Effect)
	case !slices.Contains(scopes, c.DedupScope):
		return invalid(key+".group", "unknown group %q", c.DedupScope)
	case c.Effect != policy.IdempotentByKey && (c.DedupScope != "" || c.IdempotencyWindowMs != 0):
		return invalid(key, "group and key_ttl_ms go with effect %q", policy.IdempotentByKey)
	}
	return checkNumber(key+".key_ttl_ms", c.IdempotencyWindowMs, 1, maxIdempotencyWindowMs)
}

func (c *Config) checkServers() error {
	if n := len(c.Servers); n > MaxServers {
		return invalid("servers", "%d, %d at the most", n, MaxServers)
	}
	if len(c.Servers) > 0 && !c.Listed {
		return invalid("listed", "must be true where servers are named")
	}
	for id, server := range c.Servers {
		if !validName(id) {
			return invalid("servers", "an id has 1 to %d bytes", MaxNameBytes)
		}
		if err := checkNumber("servers."+id+".weight", server.Weight, minWeight, maxWeight); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks a list of names and replaces it with a sorted copy without duplicates.
func checkNames(key string, names *[]string, limit int) error {
	if len(*names) > limit {
		return invalid(key, "%d, %d at the most", len(*names), limit)
	}
	for _, name := range *names {
		if !validName(name) {
			return invalid(key, "a name has 1 to %d bytes", MaxNameBytes)
		}
	}
	sorted := slices.Clone(*names)
	slices.Sort(sorted)
	*names = slices.Compact(sorted)
	return nil
}
