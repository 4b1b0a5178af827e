package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Names of the configuration files in an agent's directory.
const (
	agentConfigFile       = "config.json"
	agentSharedConfigFile = "agreed.toml"
)

// AgentConfig configures the agents of a cluster.
type AgentConfig struct {
	Settings         json.RawMessage
	SettingsOf       func(i int) json.RawMessage // settings of the i-th agent; nil: Settings
	Discovery        string                      // address of the discovery service
	InitialEndpoints any                         // endpoint list in the configuration file
	Peers            int                         // number of other agents that may relay its lease renewals
	OnExpiry         string                      // what an agent does when its lease has expired
	Env              []string                    // additional environment
}

// agentAddrs holds the listen addresses of all agents, by index.
type agentAddrs struct {
	requests, admin, renewals []string
}

func agentName(i int) string { return fmt.Sprintf("a%d", i+1) }

// AddAgents adds n agents. They reach the replicas, and the peers that relay their renewals, through proxies.
func (c *Cluster) AddAgents(n int, cfg *AgentConfig) error {
	all, err := c.Addrs(3 * n)
	if err != nil {
		return err
	}
	addrs := agentAddrs{requests: all[:n], admin: all[n : 2*n], renewals: all[2*n:]}
	for i := range n {
		if err := c.addAgent(i, addrs, cfg); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addAgent(i int, addrs agentAddrs, cfg *AgentConfig) error {
	p, err := c.AddProcess(agentName(i), addrs.requests[i], false, nil, "ringtrack")
	if err != nil {
		return err
	}
	shared, err := c.agentSharedConfig(i, addrs, cfg)
	if err != nil {
		return err
	}
	settings := cfg.Settings
	if cfg.SettingsOf != nil {
		settings = cfg.SettingsOf(i)
	}
	local, err := json.Marshal(map[string]any{
		"name":       p.Name,
		"listen":     p.Addr,
		"discovery":  cfg.Discovery,
		"seed":       "7",
		"admin_addr": addrs.admin[i],
		"limits":     map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":      cfg.InitialEndpoints,
		"settings":   settings,
	})
	if err != nil {
		return err
	}
	err = errors.Join(
		os.WriteFile(filepath.Join(p.Dir, agentSharedConfigFile), []byte(shared), 0o600),
		os.WriteFile(filepath.Join(p.Dir, agentConfigFile), local, 0o600),
	)
	if err != nil {
		return err
	}
	env := []string{"PROXY_CONFIG=" + agentConfigFile, "PROXY_AGREED=" + agentSharedConfigFile, "TMPDIR=" + p.Dir}
	p.Env = append(env, cfg.Env...)
	p.AdminAddr = addrs.admin[i]
	c.Agents = append(c.Agents, p)
	return nil
}

// agentSharedConfig returns the text of the file from which an agent learns the addresses of the replicas and
// its peers.
func (c *Cluster) agentSharedConfig(i int, addrs agentAddrs, cfg *AgentConfig) (string, error) {
	name := agentName(i)
	replicas := []string{}
	for _, replica := range c.Replicas {
		addr, err := c.ProxyAddr(name, replica.Name, replica.Addr)
		if err != nil {
			return "", err
		}
		replicas = append(replicas, addr)
	}
	n := len(addrs.renewals)
	peers := []string{}
	for j := range min(cfg.Peers, n-1) {
		peer := (i + j + 1) % n
		addr, err := c.ProxyAddr(name, agentName(peer), addrs.renewals[peer])
		if err != nil {
			return "", err
		}
		peers = append(peers, addr)
	}
	var text strings.Builder
	writeList(&text, "keepers", replicas)
	writeList(&text, "peers", peers)
	fmt.Fprintf(&text, "listen = %q\n", addrs.renewals[i])
	fmt.Fprintf(&text, "on_lapse = %q\n", cfg.OnExpiry)
	return text.String(), nil
}

// writeList writes a TOML array of strings under a key.
func writeList(text *strings.Builder, key string, list []string) {
	value, _ := json.Marshal(list)
	fmt.Fprintf(text, "%s = %s\n", key, value)
}

// AwaitReady waits until an agent's readiness endpoint reports that it is ready.
func AwaitReady(ctx context.Context, agent *Process, timeout time.Duration) error {
	return Until(ctx, agent.Name+" is ready", timeout, func() bool {
		resp, err := http.Get("http://" + agent.Addr + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
