package ephemeral

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/ephemeral/follow"
)

// maxNodeBytes bounds a node's data, in bytes.
const maxNodeBytes = 64 << 10

// serverSet is the form of the ServerSets of Finagle and Aurora (com.twitter.thrift.ServiceInstance as
// JSON). Additional endpoints are passed by.
type serverSet struct {
	ServiceEndpoint *struct {
		Host string `json:"host"`
		Port int    `json:"port"`
	} `json:"serviceEndpoint"`
	Status string `json:"status"`
	Shard  *int   `json:"shard"`
}

// parseNode reads a node. One whose data can't be used still says that a process runs: it counts for the server
// of its name, and the error says what is wrong.
func parseNode(form string, c *follow.Change) (membership.RegistryNode, error) {
	n := membership.RegistryNode{Name: c.Name, Czxid: c.Stat.Czxid, CtimeMs: float64(c.Stat.Ctime), Owner: c.Stat.EphemeralOwner}
	last := c.Name[strings.LastIndexByte(c.Name, '/')+1:]
	fail := func(format string, args ...any) (membership.RegistryNode, error) {
		n.Entry = membership.Entry{ID: last}
		return n, fmt.Errorf("node %s: %s", c.Name, fmt.Sprintf(format, args...))
	}
	if len(c.Data) > maxNodeBytes {
		return fail("data of %d bytes, at most %d", len(c.Data), maxNodeBytes)
	}
	if len(c.Data) == 0 {
		n.Entry = membership.Entry{ID: last} // presence alone
		return n, nil
	}
	var set serverSet
	if err := json.Unmarshal(c.Data, &set); err != nil {
		return fail("data: %v", err)
	}
	if set.ServiceEndpoint != nil && form != FormEndpoint {
		e := set.ServiceEndpoint
		if e.Host == "" || e.Port < 1 || e.Port > 65535 {
			return fail("serviceEndpoint: %.64q port %d is none", e.Host, e.Port)
		}
		n.Entry = membership.Entry{Addr: net.JoinHostPort(e.Host, strconv.Itoa(e.Port)), State: membership.Up, Weight: 1}
		if set.Status != "ALIVE" {
			n.Entry.State = membership.Draining
		}
		if set.Shard != nil {
			n.Entry.Cell = *set.Shard
		}
		return n, nil
	}
	if form == FormServerSet {
		return fail("no serviceEndpoint")
	}
	e := membership.Entry{Weight: 1, State: membership.Up}
	if err := json.Unmarshal(c.Data, &e); err != nil {
		return fail("data: %v", err)
	}
	if e.ID == "" {
		e.ID = last
	}
	if e.Addr == "" {
		n.Entry = e
		return n, nil
	}
	if e.State == membership.Removed {
		e.State = membership.Draining // it is there, whatever it says
	}
	if err := e.Validate(); err != nil {
		return fail("%v", err)
	}
	n.Entry = e
	return n, nil
}
