package control_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	_ "google.golang.org/grpc/xds" // an independent xDS client

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/membership"
)

// grpc-go's own xDS client reads its bootstrap from the environment at startup, so that it runs in a process
// of its own: this test binary, started with clientEnv.
const clientEnv = "RINGTRACK_TEST_GRPC_CLIENT"

func TestMain(m *testing.M) {
	if os.Getenv(clientEnv) != "" {
		if err := runClient(); err != nil {
			fmt.Fprintln(os.Stderr, "client:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runClient reads lines "CLASS FIRSTKEY CALLS" from standard input, makes the calls of each line and writes
// the number of calls that each server answered; "" counts the failed calls.
func runClient() error {
	conn, err := grpc.NewClient("xds:///orders", grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	client := healthpb.NewHealthClient(conn)
	out := json.NewEncoder(os.Stdout)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		var class string
		var first, calls int
		if _, err := fmt.Sscan(in.Text(), &class, &first, &calls); err != nil {
			return err
		}
		got := map[string]int{}
		for i := range calls {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			ctx = metadata.AppendToOutgoingContext(ctx, "request-class", class, "x-affinity-key", fmt.Sprint("key-", first+i))
			var header metadata.MD
			_, err := client.Check(ctx, &healthpb.HealthCheckRequest{}, grpc.Header(&header))
			cancel()
			server := ""
			if err == nil {
				server = strings.Join(header.Get("server"), ",")
			} else {
				fmt.Fprintln(os.Stderr, "client:", err)
			}
			got[server]++
		}
		out.Encode(got)
	}
	return nil
}

// grpcServer is a gRPC health server that returns its own ID in a header.
type grpcServer struct {
	healthpb.UnimplementedHealthServer
	id   string
	addr string
	s    *grpc.Server
}

func (g *grpcServer) Check(ctx context.Context, _ *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	grpc.SetHeader(ctx, metadata.Pairs("server", g.id))
	return &healthpb.HealthCheckResponse{}, nil
}

func (g *grpcServer) start(t *testing.T) {
	t.Helper()
	addr := g.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	g.addr = ln.Addr().String()
	g.s = grpc.NewServer()
	healthpb.RegisterHealthServer(g.s, g)
	go g.s.Serve(ln)
	t.Cleanup(g.s.Stop)
}

// grpc-go's xDS client resolves the service, distributes requests over the ring, keeps the affinity of a key,
// follows a drain, fails over to the next priority and fails back.
func TestGRPCClientFollowsTheService(t *testing.T) {
	var servers []*grpcServer
	var entries []membership.Entry
	for i := range 4 {
		g := &grpcServer{id: fmt.Sprintf("s-%d", i)}
		g.start(t)
		servers = append(servers, g)
		entries = append(entries, membership.Entry{ID: g.id, Addr: g.addr, Zone: "east", State: membership.Up, Weight: 1})
	}
	f := newFixture(t, entries, func(c *control.Config) {
		c.XDS.AffinityHeader = "x-affinity-key"
		c.Evidence.ReportMs, c.Evidence.EjectionMs = 200, 600_000
	})
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), clientEnv+"=1", "GRPC_XDS_BOOTSTRAP_CONFIG="+fmt.Sprintf(
		`{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}],"server_features":["xds_v3"]}],"node":{"id":"grpc-client","locality":{"zone":"east"}}}`, f.Addr))
	var log strings.Builder
	cmd.Stderr = &log
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		in.Close()
		cmd.Wait()
		if t.Failed() {
			t.Logf("output of the client: %.3000s", log.String())
		}
	})
	answers := bufio.NewScanner(out)
	call := func(class string, first, calls int) map[string]int {
		t.Helper()
		fmt.Fprintln(in, class, first, calls)
		if !answers.Scan() {
			t.Fatal("the client process ended")
		}
		got := map[string]int{}
		if err := json.Unmarshal(answers.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		return got
	}
	// callUntil repeats calls until the numbers of answers by server satisfy want.
	callUntil := func(what string, want func(map[string]int) bool) {
		t.Helper()
		var got map[string]int
		for end := time.Now().Add(testTimeout); time.Now().Before(end); {
			if got = call("order", 0, 60); want(got) {
				return
			}
		}
		t.Fatalf("timed out waiting for %s; the last calls: %v", what, got)
	}

	got := call("order", 0, 400)
	for _, g := range servers {
		if n := got[g.id]; n < 30 || n > 250 {
			t.Errorf("requests are distributed unevenly: %v", got)
		}
	}
	if got = call("order", 7, 1); len(got) != 1 {
		t.Errorf("requests with one key went to %v, want one server", got)
	}
	affinityServer := ""
	for affinityServer = range got {
	}
	for range 20 {
		if got = call("read", 7, 1); got[affinityServer] != 1 {
			t.Errorf("the key went to %v, and to %s before", got, affinityServer)
		}
	}

	// 250 ms after a drain, no new request reaches the server.
	drained := entries[0]
	drained.State = membership.Draining
	f.discovery.Set(drained)
	time.Sleep(250 * time.Millisecond)
	if got = call("order", 0, 400); got["s-0"] != 0 || got[""] != 0 {
		t.Errorf("requests per server after the drain: %v", got)
	}

	// All proxies report s-3 as failing, which moves it to the last priority; then the other servers stop.
	var mu sync.Mutex
	failing := true
	for i := range 3 {
		id := fmt.Sprint("reporter-", i)
		r := openSotW(t, connect(t, f.Addr, nil))
		r.send(edsRequest(id, "orders"))
		r.receive()
		f.reportLoads(t, id, 100*time.Millisecond, func() []*endpointv3.UpstreamEndpointStats {
			mu.Lock()
			defer mu.Unlock()
			var out []*endpointv3.UpstreamEndpointStats
			for i, e := range entries {
				st := &endpointv3.UpstreamEndpointStats{Address: addressOf(e.Addr), TotalSuccessfulRequests: 10}
				if i == 3 && failing {
					st.TotalSuccessfulRequests, st.TotalErrorRequests = 0, 10
				}
				out = append(out, st)
			}
			return out
		})
	}
	callUntil("s-3 without requests", func(got map[string]int) bool { return got["s-3"] == 0 && got["s-1"] > 0 && got["s-2"] > 0 })
	servers[1].s.Stop()
	servers[2].s.Stop()
	callUntil("failover to s-3", func(got map[string]int) bool { return got["s-3"] == 60 })
	servers[1].start(t)
	callUntil("failback to s-1", func(got map[string]int) bool { return got["s-1"] == 60 })
	f.discovery.Set(entries[0])
	callUntil("requests to s-0 again", func(got map[string]int) bool { return got["s-0"] > 0 && got[""] == 0 })
	if r, err := f.Report(); err != nil || r.Counts["rejections"] != 0 {
		t.Errorf("report: error %v, %d rejections", err, r.Counts["rejections"])
	}
}
