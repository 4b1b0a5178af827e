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

const (
	// maxNodeBytes bounds the data of a node.
	maxNodeBytes = 64 << 10
	maxPort      = 65535
	// statusAlive is the status of a member of a ServerSet that accepts requests.
	statusAlive = "ALIVE"
)

// serverSetMember is a node of a ServerSet as written by Finagle and Aurora
// (com.twitter.thrift.ServiceInstance as JSON). Additional endpoints are ignored.
type serverSetMember struct {
	ServiceEndpoint *struct {
		Host string `json:"host"`
		Port int    `json:"port"`
	} `json:"serviceEndpoint"`
	Status string `json:"status"`
	Shard  *int   `json:"shard"`
}

// parseNode parses a node. A node with invalid data still shows that a process runs: with the error,
// parseNode returns a node of the server that has the node's name as its id.
func parseNode(form string, c *follow.Change) (membership.RegistryNode, error) {
	id := c.Name[strings.LastIndexByte(c.Name, '/')+1:]
	entry, err := parseEntry(form, id, c.Data)
	if err != nil {
		entry = membership.Entry{ID: id}
		err = fmt.Errorf("node %s: %w", c.Name, err)
	}
	return membership.RegistryNode{
		Name:    c.Name,
		Entry:   entry,
		Czxid:   c.Stat.Czxid,
		CtimeMs: float64(c.Stat.Ctime),
		Owner:   c.Stat.EphemeralOwner,
	}, err
}

// parseEntry parses the data of a node. id is the server's id if the data has none.
func parseEntry(form, id string, data []byte) (membership.Entry, error) {
	if len(data) > maxNodeBytes {
		return membership.Entry{}, fmt.Errorf("data of %d bytes, at most %d allowed", len(data), maxNodeBytes)
	}
	if len(data) == 0 {
		return membership.Entry{ID: id}, nil
	}
	var member serverSetMember
	if err := json.Unmarshal(data, &member); err != nil {
		return membership.Entry{}, fmt.Errorf("data: %w", err)
	}
	switch {
	case member.ServiceEndpoint != nil && form != FormEndpoint:
		return member.entry()
	case form == FormServerSet:
		return membership.Entry{}, fmt.Errorf("no serviceEndpoint")
	}
	return parseEndpoint(id, data)
}

// entry returns the entry of the member. It has no id: the server is matched with discovery by its address.
func (m *serverSetMember) entry() (membership.Entry, error) {
	host, port := m.ServiceEndpoint.Host, m.ServiceEndpoint.Port
	if host == "" || port < 1 || port > maxPort {
		return membership.Entry{}, fmt.Errorf("serviceEndpoint: invalid host %.64q or port %d", host, port)
	}
	e := membership.Entry{
		Addr:   net.JoinHostPort(host, strconv.Itoa(port)),
		State:  membership.Up,
		Weight: 1,
	}
	if m.Status != statusAlive {
		e.State = membership.Draining
	}
	if m.Shard != nil {
		e.Cell = *m.Shard
	}
	return e, nil
}

// parseEndpoint parses data in the format of an endpoint list's entry. Without an address, the entry only
// shows that the process runs, and in which state.
func parseEndpoint(id string, data []byte) (membership.Entry, error) {
	e := membership.Entry{Weight: 1, State: membership.Up}
	if err := json.Unmarshal(data, &e); err != nil {
		return membership.Entry{}, fmt.Errorf("data: %w", err)
	}
	if e.ID == "" {
		e.ID = id
	}
	if e.Addr == "" {
		return e, nil
	}
	if e.State == membership.Removed {
		e.State = membership.Draining // its node exists
	}
	return e, e.Validate()
}
