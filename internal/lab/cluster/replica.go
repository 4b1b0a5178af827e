package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

const (
	// replicaConfigFile is the name of a replica's configuration file in its directory.
	replicaConfigFile = "keeper.toml"
	statusTimeout     = 200 * time.Millisecond
)

func replicaName(i int) string { return fmt.Sprintf("k%d", i+1) }

// AddReplicas adds n replicas of the configuration store that reach one another through proxies.
func (c *Cluster) AddReplicas(n int) error {
	addrs, err := c.Addrs(n)
	if err != nil {
		return err
	}
	for i := range n {
		name := replicaName(i)
		members := map[string]string{name: addrs[i]}
		for j := range n {
			if i == j {
				continue
			}
			peer := replicaName(j)
			if members[peer], err = c.ProxyAddr(name, peer, addrs[j]); err != nil {
				return err
			}
		}
		if _, err := c.addReplica(name, addrs[i], members, false); err != nil {
			return err
		}
	}
	return nil
}

// AddJoiner adds a replica that waits until it is added as a member.
func (c *Cluster) AddJoiner(name string) (*Process, error) {
	addrs, err := c.Addrs(1)
	if err != nil {
		return nil, err
	}
	members := map[string]string{name: addrs[0]}
	for _, peer := range c.Replicas {
		if members[peer.Name], err = c.ProxyAddr(name, peer.Name, peer.Addr); err != nil {
			return nil, err
		}
	}
	return c.addReplica(name, addrs[0], members, true)
}

func (c *Cluster) addReplica(name, addr string, members map[string]string, join bool) (*Process, error) {
	p, err := c.AddProcess(name, addr, true, nil, "ringtrack-configstore", "run", "--config", replicaConfigFile)
	if err != nil {
		return nil, err
	}
	text := c.replicaConfig(p, members, join)
	if err := os.WriteFile(filepath.Join(p.Dir, replicaConfigFile), []byte(text), 0o600); err != nil {
		return nil, err
	}
	c.Replicas = append(c.Replicas, p)
	return p, nil
}

// replicaConfig returns the text of a replica's configuration file.
func (c *Cluster) replicaConfig(p *Process, members map[string]string, join bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\n", p.Name)
	fmt.Fprintf(&text, "listen = %q\n", p.Addr)
	fmt.Fprintf(&text, "data = %q\n", p.Data)
	fmt.Fprintf(&text, "join = %v\n", join)
	fmt.Fprintf(&text, "lease_ms = %v\n", c.LeaseMs)
	fmt.Fprintf(&text, "list_ms = %v\n", c.ServerRulesMs)
	if c.TickMs > 0 {
		fmt.Fprintf(&text, "tick_ms = %v\n", c.TickMs)
	}
	fmt.Fprintln(&text, "[members]")
	for member, addr := range members {
		fmt.Fprintf(&text, "%s = %q\n", member, addr)
	}
	return text.String()
}

// Call calls a replica directly, without a proxy, so that faults of links do not apply.
func (c *Cluster) Call(ctx context.Context, replica *Process, path string, in, out any) error {
	return c.caller.Call(ctx, replica.Addr, path, http.Header{}, in, out)
}

// Leader returns the replica that reports itself as the leader of the highest term, and its status; nil: none
// does.
func (c *Cluster) Leader(ctx context.Context) (leader *Process, status *client.Status) {
	for _, replica := range c.Replicas {
		s := &client.Status{}
		call, cancel := context.WithTimeout(ctx, statusTimeout)
		err := c.Call(call, replica, client.PathStatus, nil, s)
		cancel()
		if err == nil && s.Leader == s.Name && (status == nil || s.Term > status.Term) {
			leader, status = replica, s
		}
	}
	return leader, status
}

// awaitInForce waits until the leader reports an epoch in force at all agents, and records the report.
func (c *Cluster) awaitInForce(ctx context.Context, log *AttemptLog, epoch uint64, timeout time.Duration) error {
	return Until(ctx, fmt.Sprintf("epoch %d is in force", epoch), timeout, func() bool {
		at := time.Now()
		_, status := c.Leader(ctx)
		if status == nil || status.Epoch < epoch || len(status.BlockedBy) > 0 {
			return false
		}
		log.InForce(status.Epoch, at)
		return true
	})
}

// Publish publishes a configuration with a parent version at a replica.
func (c *Cluster) Publish(
	ctx context.Context, replica *Process, id string, parent uint64, config *sharedconfig.Config,
) (*client.PublishResponse, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	in := &client.PublishRequest{ID: id, Parent: parent, Config: text, Author: "lab", Reason: id}
	out := &client.PublishResponse{}
	return out, c.Call(ctx, replica, client.PathPublish, in, out)
}
