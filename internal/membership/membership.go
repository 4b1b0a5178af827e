// Package membership combines the reports of membership sources about the servers of a fleet: which servers
// exist, where they listen and in which state they are. The agent and the control service share it.
//
// Set holds the entries of several sources side by side. Merge combines two kinds of source: discovery
// (the platform's endpoint list) and a registry (ephemeral nodes, which exist while a process runs). Each
// source has its own revision and freshness; revisions of different sources are never compared.
//
// The package does no I/O and reads no clock: all times are arguments, in ms, and never go back. The
// sources that use the network are subpackages (discovery, ephemeral).
package membership

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"ringtrack.example/ringtrack/policy"
)

// States of an entry. Removed occurs only in changes. Any other value counts as Draining.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

const (
	// MaxEntries bounds the servers that are stored per source. A server beyond it is left out and reported
	// as a problem. An endpoint list of 8 MiB, the most that is read, holds fewer.
	MaxEntries = 100_000
	// maxProblems bounds the problems that are stored for the status page.
	maxProblems = 16

	maxIDBytes   = 256
	maxPort      = 65535
	maxWeight    = 1e6
	maxStartedMs = 1e15
)

// Entry is one server as a source lists it. Its JSON form is that of the platform's endpoint list.
type Entry struct {
	ID        string  `json:"id"`   // the same in every process that polls the list
	Addr      string  `json:"addr"` // host:port, as seen from this process
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"` // machine type
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"` // Unix time of the last start of the process, ms; 0: long ago
}

// Health returns the state as a policy.Health. An unknown state means draining.
func (e *Entry) Health() policy.Health {
	switch e.State {
	case Up:
		return policy.Ready
	case Removed:
		return policy.Removed
	}
	return policy.Draining
}

// Validate returns an error that names the invalid field, if there is one. A removed entry needs only an id.
func (e *Entry) Validate() error {
	if e.ID == "" || len(e.ID) > maxIDBytes {
		return fmt.Errorf("entry id has %d bytes, must have 1 to %d", len(e.ID), maxIDBytes)
	}
	if e.State == Removed {
		return nil
	}
	if !isHostPort(e.Addr) {
		return fmt.Errorf("%s: addr: must be host:port, is %.64q", e.ID, e.Addr)
	}
	// The comparisons are written so that NaN fails them.
	if !(e.Weight >= 0) || e.Weight > maxWeight {
		return fmt.Errorf("%s: weight: must be 0 to 1e6, is %v", e.ID, e.Weight)
	}
	if !(e.StartedMs >= 0) || e.StartedMs > maxStartedMs {
		return fmt.Errorf("%s: started_ms: must be 0 to 1e15, is %v", e.ID, e.StartedMs)
	}
	return nil
}

// isHostPort reports whether addr has a host and a numeric port of 1 to maxPort.
func isHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 1 && n <= maxPort
}

// withState returns a copy of the entry in another state.
func withState(e Entry, state string) Entry {
	e.State = state
	return e
}

// List is one update of a source: its complete endpoint list, or the changes since its last revision.
type List struct {
	Revision uint64  `json:"version"` // of this source only
	Full     bool    `json:"full"`    // the complete list
	Entries  []Entry `json:"servers"`
	// RequestedAt is when the request for this list was sent; zero if the source sends no requests.
	RequestedAt time.Time `json:"-"`
}
