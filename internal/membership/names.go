package membership

import (
	"hash/fnv"

	"ringtrack.example/ringtrack/policy"
)

// Names numbers zones and machine types for package policy, which knows them by number only.
type Names struct{ zones, machineTypes map[string]int }

// NewNames numbers zones and machine types in the order of the settings.
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

// Zone returns the number of a zone. All zones that the settings do not name share the number after the last.
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

// Policy returns the entry in the terms of package policy. The caller sets the server's address in them.
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

// ServerAddr returns the address under which package policy knows the server of an id: a hash of it, or the
// next free one where taken says that another id has it. It depends on the id and not on the network
// address, which differs from one process to the next: all processes have to agree on the order of servers
// for a key without communicating.
func ServerAddr(id string, taken func(policy.Addr) bool) policy.Addr {
	var addr policy.Addr
	for hash := Hash(id); ; hash++ {
		for i := range addr {
			addr[i] = byte(hash >> (8 * i))
		}
		if !taken(addr) {
			return addr
		}
	}
}

// Hash is FNV-1a, never 0. Unlike hash/maphash it is the same in every process.
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	if v := h.Sum64(); v != 0 {
		return v
	}
	return 1
}
