package intersect

import (
	"fmt"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// ServersUnknown is the value of ServerCount.During if a configuration does not list the servers.
const ServersUnknown = -1

// ServerCount is the number of servers that may be used before, during and after a change.
type ServerCount struct {
	Before int
	During int
	After  int
}

// CountServers counts the servers that a, the intersection and b allow. During is ServersUnknown if a or b
// is nil or does not list the servers.
func CountServers(a, b *sharedconfig.Config) ServerCount {
	if a == nil || b == nil || !a.Listed || !b.Listed {
		return ServerCount{During: ServersUnknown}
	}
	return ServerCount{
		Before: countAllowed(a),
		During: countAllowed(Intersect(a, b)),
		After:  countAllowed(b),
	}
}

func countAllowed(config *sharedconfig.Config) (n int) {
	for id := range config.Servers {
		if config.Allows(id) {
			n++
		}
	}
	return n
}

// CheckTransition returns nil if the change from a to b can be made in one step, else an error with the
// reason. During the change at least half as many servers as in the smaller of both must be allowed, and at
// least one. A change to no servers is permitted only if there were none before.
func CheckTransition(a, b *sharedconfig.Config) error {
	c := CountServers(a, b)
	if c.During == ServersUnknown || c.After == 0 && c.Before == 0 {
		return nil
	}
	if c.After == 0 {
		return fmt.Errorf("rules: servers: none is left in service of %d", c.Before)
	}
	if required := max((min(c.Before, c.After)+1)/2, 1); c.During < required && c.Before > 0 {
		return fmt.Errorf("rules: servers: between both versions %d are in service, %d at the least are needed (%d before, %d after): publish it in steps",
			c.During, required, c.Before, c.After)
	}
	return nil
}
