package acceptance

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	"github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	gcpresource "github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	gcpserver "github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/agent"
	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/membership"
)

// childEnv makes a process of the lab run a server, so that its CPU time can be measured on its own: the
// control service ("ours DISCOVERY_ADDR"), go-control-plane's snapshot cache ("peer SERVERS"), the agent's
// program ("agent"), or idleChild.
const childEnv = "RINGTRACK_LAB_CHILD"

// Child runs the child role that the environment names and exits; it returns if the environment names none.
// A program that runs proofs has to call it first.
func Child() {
	spec := os.Getenv(childEnv)
	if spec == "" {
		return
	}
	if err := child(spec); err != nil {
		fmt.Fprintln(os.Stderr, "lab child:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// usage is the address of a child, its CPU time so far and its peak memory.
type usage struct {
	Addr string  `json:"addr"`
	CPU  float64 `json:"cpu_s"`
	RSS  int64   `json:"rss_kb"`
}

func processUsage() usage {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	out := usage{CPU: float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6}
	// Not Maxrss of rusage, which starts from the parent's peak.
	if text, err := os.ReadFile("/proc/self/status"); err == nil {
		if _, rest, ok := strings.Cut(string(text), "VmHWM:"); ok {
			fmt.Sscan(rest, &out.RSS)
		}
	}
	return out
}

func child(spec string) error {
	role, arg, _ := strings.Cut(spec, " ")
	var addr string
	drain := func(string) error { return nil }
	switch role {
	case "agent":
		return agent.Main()
	case idleChild:
		return runIdleChild()
	case "ours":
		s, err := service.Start("", arg, nil, func(c *control.Config) { c.Proxies.MaxStreams = 20_000 })
		if err != nil {
			return err
		}
		defer s.Close()
		addr = s.Addr
	case "peer":
		var n int
		if _, err := fmt.Sscan(arg, &n); err != nil {
			return err
		}
		p, err := newPeer(n)
		if err != nil {
			return err
		}
		defer p.server.Stop()
		addr, drain = p.addr, p.drain
	default:
		return fmt.Errorf("%s=%q is not a child role", childEnv, spec)
	}
	out := json.NewEncoder(os.Stdout)
	out.Encode(usage{Addr: addr})
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() { // until the parent closes the pipe or exits
		cmd, id, _ := strings.Cut(in.Text(), " ")
		switch cmd {
		case "usage":
			out.Encode(processUsage())
		case "gc":
			runtime.GC()
		case "drain":
			if err := drain(id); err != nil {
				return err
			}
		}
	}
	return nil
}

// peer is go-control-plane's xDS server and snapshot cache, which serves the same servers for comparison.
type peer struct {
	addr    string
	server  *grpc.Server
	cache   cache.SnapshotCache
	entries []membership.Entry
	version int
}

type singleNodeHash struct{}

func (singleNodeHash) ID(*corev3.Node) string { return "all" }

func newPeer(n int) (*peer, error) {
	p := &peer{cache: cache.NewSnapshotCache(true, singleNodeHash{}, nil), entries: unreachableEntries(n)}
	if err := p.publish(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = ln.Addr().String()
	p.server = grpc.NewServer(grpc.ReadBufferSize(4 << 10))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(p.server, gcpserver.NewServer(context.Background(), p.cache, nil))
	go p.server.Serve(ln)
	return p, nil
}

func (p *peer) drain(id string) error {
	for i := range p.entries {
		if p.entries[i].ID == id {
			p.entries[i].State = membership.Draining
		}
	}
	return p.publish()
}

func (p *peer) publish() error {
	p.version++
	localities := map[string]*endpointv3.LocalityLbEndpoints{}
	set := &endpointv3.ClusterLoadAssignment{ClusterName: "orders"}
	for i := range p.entries {
		e := &p.entries[i]
		l := localities[e.Zone]
		if l == nil {
			l = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: e.Zone}, LoadBalancingWeight: wrapperspb.UInt32(100)}
			localities[e.Zone] = l
			set.Endpoints = append(set.Endpoints, l)
		}
		host, _, _ := net.SplitHostPort(e.Addr)
		health := corev3.HealthStatus_HEALTHY
		if e.State != membership.Up {
			health = corev3.HealthStatus_DRAINING
		}
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{HealthStatus: health, LoadBalancingWeight: wrapperspb.UInt32(960),
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
					Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: 8000}}}}}}})
	}
	snap, err := cache.NewSnapshot(fmt.Sprint(p.version), map[gcpresource.Type][]types.Resource{gcpresource.EndpointType: {set}})
	if err != nil {
		return err
	}
	return p.cache.SetSnapshot(context.Background(), "all", snap)
}

// process is the parent's handle of a child.
type process struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	initial usage
}

func startChild(spec string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(self)}
	p.cmd.Env = append(os.Environ(), childEnv+"="+spec)
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.out = bufio.NewScanner(out)
	if p.initial, err = p.read(); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *process) read() (usage, error) {
	var u usage
	if !p.out.Scan() {
		return u, fmt.Errorf("the child closed its output: %w", p.out.Err())
	}
	return u, json.Unmarshal(p.out.Bytes(), &u)
}

func (p *process) send(line string) error {
	_, err := io.WriteString(p.in, line+"\n")
	return err
}

func (p *process) usage() (usage, error) {
	if err := p.send("usage"); err != nil {
		return usage{}, err
	}
	return p.read()
}

// stop ends the child by closing its input, and kills it if it has not exited 10 s later.
func (p *process) stop() {
	p.in.Close()
	timer := time.AfterFunc(10*time.Second, func() { p.cmd.Process.Kill() })
	defer timer.Stop()
	p.cmd.Wait()
}
