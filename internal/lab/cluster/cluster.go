// Package cluster runs agents and replicas as separate processes on loopback and injects faults by a seeded
// plan, which can be replayed and shrunk. The programs are built with the tag lab, which only adds faults of
// disks and clocks. Every connection between two processes passes through a proxy of this package. Results
// are checked by what arrives at the test servers, not by what the processes report about themselves.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab"
)

// untilInterval is the time between two checks of Until.
const untilInterval = 5 * time.Millisecond

// direction identifies one direction of the traffic between two processes.
type direction struct{ from, to string }

// Cluster is a set of processes and the links between them. Its methods may be called from any goroutine,
// except those that add processes.
type Cluster struct {
	Dir           string // parent of the processes' directories
	Bin           string // directory of the programs
	LeaseMs       float64
	ServerRulesMs float64 // how long server rules may be used after the lease has expired
	TickMs        float64 // tick of the replicas; 0: the default

	host    string // loopback address of this cluster
	mu      sync.Mutex
	all     map[string]*Process // by name
	links   map[direction]*link
	proxies map[direction]*proxy
	caller  *client.Caller // for the test's own calls, which bypass the proxies

	Replicas, Agents []*Process

	replacing sync.Mutex // held while a replica is replaced, so that only one is at a time
}

// New returns a cluster in a directory, without processes.
func New(dir, bin string, leaseMs float64) *Cluster {
	return &Cluster{
		host:          lab.UniqueLoopback(),
		Dir:           dir,
		Bin:           bin,
		LeaseMs:       leaseMs,
		ServerRulesMs: leaseMs / 2,
		all:           map[string]*Process{},
		links:         map[direction]*link{},
		proxies:       map[direction]*proxy{},
		caller:        client.NewCaller(),
	}
}

// Addrs returns n free addresses with ports chosen by the kernel. They are on a loopback address that only
// this cluster uses, so that nothing else is assigned one of them before its process listens there.
func (c *Cluster) Addrs(n int) (addrs []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", c.host+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close() // only after all are chosen, so that the ports differ
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// AddProcess adds a process without starting it. args are the name of a program in Bin and its arguments;
// data says whether the process has a data directory.
func (c *Cluster) AddProcess(name, addr string, data bool, env []string, args ...string) (*Process, error) {
	p := &Process{
		Name: name,
		Dir:  filepath.Join(c.Dir, name),
		Addr: addr,
		Env:  env,
		Args: append([]string{filepath.Join(c.Bin, args[0])}, args[1:]...),
	}
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

// link returns the link from one process to another.
func (c *Cluster) link(from, to string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := direction{from, to}
	l := c.links[d]
	if l == nil {
		l = newLink()
		c.links[d] = l
	}
	return l
}

// ProxyAddr returns the address at which one process reaches another that listens at addr.
func (c *Cluster) ProxyAddr(from, to, addr string) (string, error) {
	forward, reverse := c.link(from, to), c.link(to, from)
	c.mu.Lock()
	defer c.mu.Unlock()
	d := direction{from, to}
	if p := c.proxies[d]; p != nil {
		return p.addr, nil
	}
	p, err := newProxy(addr, forward, reverse)
	if err != nil {
		return "", err
	}
	c.proxies[d] = p
	return p.addr, nil
}

// SetLink sets the mode of the link from one process to another.
func (c *Cluster) SetLink(from, to string, m Mode) { c.link(from, to).setMode(m) }

// BytesSent returns the number of payload bytes sent on a link.
func (c *Cluster) BytesSent(from, to string) int64 { return c.link(from, to).bytes.Load() }

// Observe registers a function that is called with each chunk of the payload sent on a link, from several
// goroutines. It must not retain the chunks.
func (c *Cluster) Observe(from, to string, f func([]byte)) { c.link(from, to).observer.Store(&f) }

// SetLinks sets the modes of the links from a process to others and from the others to it.
func (c *Cluster) SetLinks(name string, others []*Process, out, in Mode) {
	for _, o := range others {
		if o.Name != name {
			c.SetLink(name, o.Name, out)
			c.SetLink(o.Name, name, in)
		}
	}
}

// Heal undoes all faults: links pass, disks work, and all processes run.
func (c *Cluster) Heal() error {
	c.mu.Lock()
	links := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		links = append(links, l)
	}
	all := c.processes()
	c.mu.Unlock()
	for _, l := range links {
		l.setMode(Pass)
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

// Close kills all processes and closes all links.
func (c *Cluster) Close() {
	c.mu.Lock()
	all := c.processes()
	proxies := c.proxies
	c.proxies = nil
	c.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
	for _, p := range proxies {
		p.close()
	}
	c.caller.Client.CloseIdleConnections()
}

// Until calls condition every untilInterval until it returns true. After the timeout it returns an error that
// contains what, the description of the condition.
func Until(ctx context.Context, what string, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("cluster: timed out after %v waiting for: %s", timeout, what)
		}
		time.Sleep(untilInterval)
	}
	return nil
}
