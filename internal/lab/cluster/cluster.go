// Package cluster is the rig for what several processes of the program do together when parts fail: processes of the
// product's own binaries (built with the tag lab, which only lets disks and clocks be faulty), each with a folder of its
// own, every directed way between two of them through the lab, under one seeded schedule that can be replayed and
// shrunk. It judges nothing by what the processes say of themselves. All of it is on loopback.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// Cluster is what is run.
type Cluster struct {
	Dir     string
	Bin     string // folder of the binaries
	LeaseMs float64
	ListMs  float64
	TickMs  float64 // of keepers; 0: their default

	host  string
	mu    sync.Mutex
	all   map[string]*Process
	ways  map[[2]string]*way
	gates map[[2]string]*gate
	lab   *client.Caller // the lab's own calls, past all faults

	Replicas, Agents []*Process

	replacing sync.Mutex // one keeper at a time
}

// binaries are the folder of what was built in one way, once a process of the lab.
type binaries struct {
	sync.Mutex
	args []string
	dir  string
	err  error
}

var (
	labBuilt     = binaries{args: []string{"-tags", "lab"}}
	productBuilt = binaries{args: []string{"-ldflags=-linkmode=external"}} // as README has it
)

// Build builds the binaries with the tag lab, once a process of the lab, and returns their folder, which Clean removes.
func Build(ctx context.Context) (string, error) { return labBuilt.build(ctx) }

// BuildProduct is Build of the binaries as they are delivered: their disks and clocks can't be made faulty.
func BuildProduct(ctx context.Context) (string, error) { return productBuilt.build(ctx) }

func (b *binaries) build(ctx context.Context) (string, error) {
	b.Lock()
	defer b.Unlock()
	if b.dir != "" || b.err != nil {
		return b.dir, b.err
	}
	dir, err := os.MkdirTemp("", "ringtrack-cluster")
	if err != nil {
		return "", err
	}
	args := append(append([]string{"build"}, b.args...), "-o", dir+"/", "ringtrack.example/ringtrack/cmd/ringtrack", "ringtrack.example/ringtrack/cmd/ringtrack-configstore")
	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		b.err = fmt.Errorf("cluster: build: %w: %s", err, out)
		return "", b.err
	}
	b.dir = dir
	return dir, nil
}

// Clean removes what Build and BuildProduct built.
func Clean() {
	for _, b := range []*binaries{&labBuilt, &productBuilt} {
		b.Lock()
		if b.dir != "" {
			os.RemoveAll(b.dir)
		}
		b.dir = ""
		b.Unlock()
	}
}

// New makes a cluster in a folder, without processes.
func New(dir, bin string, leaseMs float64) *Cluster {
	return &Cluster{host: ownHost(), Dir: dir, Bin: bin, LeaseMs: leaseMs, ListMs: leaseMs / 2, all: map[string]*Process{}, ways: map[[2]string]*way{},
		gates: map[[2]string]*gate{}, lab: client.NewCaller()}
}

// Addrs are n addresses that the kernel chose and that are free again, all held until the last is chosen. They are on a
// loopback address of this cluster's own, so that nothing else is given one of them until its process listens there.
func (c *Cluster) Addrs(n int) (addrs []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", c.host+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// hosts counts clusters of this process of the lab.
var hosts atomic.Uint32

// ownHost is a loopback address that no other cluster has, of this process or, likely, of another.
func ownHost() string {
	n := uint32(os.Getpid())*31 + hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+n>>14&127, n>>7&127+1, n&127+1)
}

// Process makes a process of the cluster, which is not started.
func (c *Cluster) Process(name, addr string, data bool, env []string, args ...string) (*Process, error) {
	p := &Process{Name: name, Dir: filepath.Join(c.Dir, name), Addr: addr, Env: env, Args: append([]string{filepath.Join(c.Bin, args[0])}, args[1:]...)}
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return nil, err
	}
	if data {
		p.Data = filepath.Join(p.Dir, "data")
		if err := os.MkdirAll(p.Data, 0o700); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[name] = p
	return p, nil
}

// way is the directed way between two processes.
func (c *Cluster) way(from, to string) *way {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.ways[[2]string{from, to}]
	if w == nil {
		w = newWay()
		c.ways[[2]string{from, to}] = w
	}
	return w
}

// ProxyAddr is the address under which one process reaches another that listens at addr.
func (c *Cluster) ProxyAddr(from, to, addr string) (string, error) {
	out, back := c.way(from, to), c.way(to, from)
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gates[[2]string{from, to}]; g != nil {
		return g.addr, nil
	}
	g, err := newGate(addr, out, back)
	if err != nil {
		return "", err
	}
	c.gates[[2]string{from, to}] = g
	return g.addr, nil
}

// SetLink has a directed way do this from now on.
func (c *Cluster) SetLink(from, to string, m Mode) { c.way(from, to).set(m) }

// BytesSent is how many bytes were sent on a directed way, without those of TCP and IP.
func (c *Cluster) BytesSent(from, to string) int64 { return c.way(from, to).bytes.Load() }

// Observe has f called with what is sent on a directed way, in pieces as they come, from several goroutines. f is not to
// keep them.
func (c *Cluster) Observe(from, to string, f func([]byte)) { c.way(from, to).saw.Store(&f) }

// SetLinks cuts, or joins again, a process from and to others, in one direction or both.
func (c *Cluster) SetLinks(name string, others []*Process, out, in Mode) {
	for _, o := range others {
		if o.Name != name {
			c.SetLink(name, o.Name, out)
			c.SetLink(o.Name, name, in)
		}
	}
}

// Heal makes all ways pass, disks be without fault and processes run.
func (c *Cluster) Heal() error {
	c.mu.Lock()
	ways := make([]*way, 0, len(c.ways))
	for _, w := range c.ways {
		ways = append(ways, w)
	}
	all := c.processes()
	c.mu.Unlock()
	for _, w := range ways {
		w.set(Pass)
	}
	var errs []error
	for _, p := range all {
		if p.Data != "" {
			errs = append(errs, p.SetDiskFault(""))
		}
		p.Thaw()
		errs = append(errs, p.Start())
	}
	return errors.Join(errs...)
}

func (c *Cluster) processes() (all []*Process) {
	for _, p := range c.all {
		all = append(all, p)
	}
	return all
}

// Close ends all processes and ways.
func (c *Cluster) Close() {
	c.mu.Lock()
	all := c.processes()
	gates := c.gates
	c.gates = nil
	c.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
	for _, g := range gates {
		g.close()
	}
	c.lab.Client.CloseIdleConnections()
}

// AddReplicas makes n keepers that reach one another through the lab.
func (c *Cluster) AddReplicas(n int) error {
	addrs, err := c.Addrs(n)
	if err != nil {
		return err
	}
	for i := range n {
		name := fmt.Sprintf("k%d", i+1)
		members := map[string]string{}
		for j := range n {
			other := fmt.Sprintf("k%d", j+1)
			if members[other] = addrs[j]; i != j {
				if members[other], err = c.ProxyAddr(name, other, addrs[j]); err != nil {
					return err
				}
			}
		}
		if _, err := c.keeper(name, addrs[i], members, false); err != nil {
			return err
		}
	}
	return nil
}

// AddJoiner makes a keeper that waits to be added.
func (c *Cluster) AddJoiner(name string) (*Process, error) {
	addrs, err := c.Addrs(1)
	if err != nil {
		return nil, err
	}
	members := map[string]string{name: addrs[0]}
	for _, o := range c.Replicas {
		if members[o.Name], err = c.ProxyAddr(name, o.Name, o.Addr); err != nil {
			return nil, err
		}
	}
	return c.keeper(name, addrs[0], members, true)
}

func (c *Cluster) keeper(name, addr string, members map[string]string, join bool) (*Process, error) {
	p, err := c.Process(name, addr, true, nil, "ringtrack-configstore", "run", "--config", "keeper.toml")
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nlisten = %q\ndata = %q\njoin = %v\nlease_ms = %v\nlist_ms = %v\n", name, addr, p.Data, join, c.LeaseMs, c.ListMs)
	if c.TickMs > 0 {
		fmt.Fprintf(&text, "tick_ms = %v\n", c.TickMs)
	}
	fmt.Fprintln(&text, "[members]")
	for n, a := range members {
		fmt.Fprintf(&text, "%s = %q\n", n, a)
	}
	if err := os.WriteFile(filepath.Join(p.Dir, "keeper.toml"), []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	c.Replicas = append(c.Replicas, p)
	return p, nil
}

// AgentConfig is what an agent is made with beside the rig's own.
type AgentConfig struct {
	Settings         json.RawMessage
	SettingsOf       func(i int) json.RawMessage // settings of the i-th; nil: Settings
	Discovery        string
	InitialEndpoints any
	Peers            int // how many other agents may carry its asks
	OnExpiry         string
	Env              []string
}

// AddAgents makes n agents that reach the keepers, and some of each other, through the lab.
func (c *Cluster) AddAgents(n int, cfg *AgentConfig) error {
	addrs, err := c.Addrs(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		name := fmt.Sprintf("a%d", i+1)
		p, err := c.Process(name, addrs[i], false, nil, "ringtrack")
		if err != nil {
			return err
		}
		var agreed strings.Builder
		list := func(key string, addrs []string) {
			text, _ := json.Marshal(addrs)
			fmt.Fprintf(&agreed, "%s = %s\n", key, text)
		}
		keepers, peers := []string{}, []string{}
		for _, k := range c.Replicas {
			a, err := c.ProxyAddr(name, k.Name, k.Addr)
			if err != nil {
				return err
			}
			keepers = append(keepers, a)
		}
		for j := range min(cfg.Peers, n-1) {
			other := (i + j + 1) % n
			a, err := c.ProxyAddr(name, fmt.Sprintf("a%d", other+1), addrs[2*n+other])
			if err != nil {
				return err
			}
			peers = append(peers, a)
		}
		list("keepers", keepers)
		list("peers", peers)
		fmt.Fprintf(&agreed, "listen = %q\non_lapse = %q\n", addrs[2*n+i], cfg.OnExpiry)
		settings := cfg.Settings
		if cfg.SettingsOf != nil {
			settings = cfg.SettingsOf(i)
		}
		text, err := json.Marshal(map[string]any{"name": name, "listen": addrs[i], "discovery": cfg.Discovery, "seed": "7", "admin_addr": addrs[n+i],
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "known": cfg.InitialEndpoints, "settings": settings})
		if err != nil {
			return err
		}
		err = errors.Join(os.WriteFile(filepath.Join(p.Dir, "agreed.toml"), []byte(agreed.String()), 0o600),
			os.WriteFile(filepath.Join(p.Dir, "config.json"), text, 0o600))
		if err != nil {
			return err
		}
		p.Env = append([]string{"PROXY_CONFIG=config.json", "PROXY_AGREED=agreed.toml", "TMPDIR=" + p.Dir}, cfg.Env...)
		p.AdminAddr = addrs[n+i]
		c.Agents = append(c.Agents, p)
	}
	return nil
}

// Call makes the lab's own call to a keeper, past all faults.
func (c *Cluster) Call(ctx context.Context, k *Process, path string, in, out any) error {
	return c.lab.Call(ctx, k.Addr, path, http.Header{}, in, out)
}

// Leader is the keeper that leads, by its own word, and its status.
func (c *Cluster) Leader(ctx context.Context) (*Process, *client.Status) {
	var best *client.Status
	var leader *Process
	for _, k := range c.Replicas {
		s := &client.Status{}
		try, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		if c.Call(try, k, client.PathStatus, nil, s) == nil && s.Leader == s.Name && (best == nil || s.Term > best.Term) {
			best, leader = s, k
		}
		cancel()
	}
	return leader, best
}

// Until calls f every few ms until it is true; else it says what was waited for.
func Until(ctx context.Context, what string, within time.Duration, f func() bool) error {
	over := time.Now().Add(within)
	for !f() {
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Now().After(over) {
			return fmt.Errorf("cluster: not within %v: %s", within, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// Publish publishes a book behind a parent at a keeper.
func (c *Cluster) Publish(ctx context.Context, k *Process, id string, parent uint64, b *sharedconfig.Config) (*client.PublishResponse, error) {
	text, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	out := &client.PublishResponse{}
	return out, c.Call(ctx, k, client.PathPublish, &client.PublishRequest{ID: id, Parent: parent, Config: text, Author: "lab", Reason: id}, out)
}
