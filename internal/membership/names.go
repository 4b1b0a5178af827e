package membership

import (
	"hash/fnv"

	"ringtrack.example/ringtrack/policy"
)

// Names maps zones and machine types to the numbers by which package policy identifies them.
type Names struct{ zones, machineTypes map[string]int }

// NewNames numbers zones and machine types in the order of the settings, from 0.
func NewNames(zones, machineTypes []string) Names {
	return Names{zones: indexOf(zones), machineTypes: indexOf(machineTypes)}
}

func indexOf(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// Zone returns the number of a zone. All zones that are not in the settings share the next number after
// those.
func (n Names) Zone(name string) int {
	if zone, ok := n.zones[name]; ok {
		return zone
	}
	return len(n.zones)
}

// machineType returns the number of a machine type, as Zone does for zones.
func (n Names) machineType(name string) int {
	if machineType, ok := n.machineTypes[name]; ok {
		return machineType
	}
	return len(n.machineTypes)
}

// Policy returns the entry as a policy.Endpoint, in which the caller sets the server's address.
func (n Names) Policy(e *Entry) policy.Endpoint {
	return policy.Endpoint{
		Zone:        n.Zone(e.Zone),
		MachineType: n.machineType(e.Kind),
		Cell:        e.Cell,
		StartedMs:   e.StartedMs,
		Weight:      e.Weight,
		Health:      e.Health(),
	}
}

// ServerAddr returns the address by which package policy identifies the server with this id: a hash of the
// id, or the next free address if inUse reports that another id has it. It does not depend on the network
// address, which differs between processes: all processes must agree on the order of servers for a key
// without communicating.
func ServerAddr(id string, inUse func(policy.Addr) bool) policy.Addr {
	var addr policy.Addr
	for hash := Hash(id); ; hash++ {
		for i := range addr {
			addr[i] = byte(hash >> (8 * i))
		}
		if !inUse(addr) {
			return addr
		}
	}
}

// Hash returns the FNV-1a hash of s, never 0. Unlike hash/maphash it is the same in every process.
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	if v := h.Sum64(); v != 0 {
		return v
	}
	return 1
}
