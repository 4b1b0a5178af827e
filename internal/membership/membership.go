// Package membership is the seam by which it comes in which servers there are: entries, each with
// its state, from sources that each have a revision and a freshness of their own. It holds what the
// agent and the control service share: the form of an entry, the module's names for servers, and
// Set, which keeps the word of several sources side by side. It does no I/O and reads no clock;
// sources with sockets are packages below it (roster). It never compares revisions of two sources.
package membership

import (
	"hash/fnv"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// Entry is one server as a source lists it. The JSON form is the platform's roster's.
type Entry struct {
	ID        string  `json:"id"`   // the same for all who ask
	Addr      string  `json:"addr"` // host:port, as told to this process
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"` // of machine
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // one of the States below; what is none counts as draining
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"` // Unix time of its latest start, ms; 0: long ago
}

// The states of an entry. Removed is told among changes only.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Health is the module's word for the entry's state. What is not said to be up wants nothing new.
func (e *Entry) Health() policy.Health {
	switch e.State {
	case Up:
		return policy.Ready
	case Removed:
		return policy.Removed
	}
	return policy.Draining
}

// List is what a source tells at once: all it lists, or what changed since its last revision.
type List struct {
	Revision uint64  `json:"version"` // of this source only
	Full     bool    `json:"full"`
	Entries  []Entry `json:"servers"`
	// RequestedAt is when the call began that this answers, where the source tells it.
	RequestedAt time.Time `json:"-"`
}

// Names gives the module's numbers for the names of zones and of machine kinds.
type Names struct{ zones, kinds map[string]int }

// NewNames numbers zones and kinds in the order of the settings.
func NewNames(zones, kinds []string) Names {
	index := func(names []string) map[string]int {
		m := map[string]int{}
		for i, n := range names {
			m[n] = i
		}
		return m
	}
	return Names{zones: index(zones), kinds: index(kinds)}
}

// Zone is the number of a zone; one that the settings do not name has the number behind the last.
func (n Names) Zone(name string) int {
	if z, ok := n.zones[name]; ok {
		return z
	}
	return len(n.zones)
}

// Policy is the entry in the module's terms; the module's name of its server is the caller's to set.
func (n Names) Policy(e *Entry) policy.Endpoint {
	p := policy.Endpoint{Zone: n.Zone(e.Zone), MachineType: len(n.kinds), Cell: e.Cell,
		StartedMs: e.StartedMs, Weight: e.Weight, Health: e.Health()}
	if k, ok := n.kinds[e.Kind]; ok {
		p.MachineType = k
	}
	return p
}

// ServerAddr is the module's name for an id, where it is not taken; of two ids of one hash the later gets
// the next free name. The name comes from the id and not from the address: addresses differ from one
// process to the next, and all must agree on the order of servers for a key without talking.
func ServerAddr(id string, taken func(policy.Addr) bool) policy.Addr {
	var a policy.Addr
	for h := Hash(id); ; h++ {
		for i := range a {
			a[i] = byte(h >> (8 * i))
		}
		if !taken(a) {
			return a
		}
	}
}

// Hash is FNV-1a, never 0: the same in every process, which maphash is not.
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	if v := h.Sum64(); v != 0 {
		return v
	}
	return 1
}
