package control_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// reportLoads sends load reports as a proxy until the test ends.
func (f *fixture) reportLoads(t *testing.T, id string, every time.Duration, loads func() []*endpointv3.UpstreamEndpointStats) {
	t.Helper()
	g, err := loadstatsv3.NewLoadReportingServiceClient(connect(t, f.Addr, nil)).StreamLoadStats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Send(&loadstatsv3.LoadStatsRequest{Node: node(id)}); err != nil {
		t.Fatal(err)
	}
	answer, err := g.Recv()
	if err != nil || !answer.ReportEndpointGranularity || len(answer.Clusters) != 4 && !answer.SendAllClusters {
		t.Fatalf("error %v, answer %+v", err, answer)
	}
	var done sync.WaitGroup
	done.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			if g.Send(&loadstatsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{ClusterName: "orders/read",
				LoadReportInterval:    durationpb.New(every),
				UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{{UpstreamEndpointStats: loads()}}}}}) != nil {
				return
			}
			select {
			case <-tick.C:
			case <-t.Context().Done():
				return
			}
		}
	})
	t.Cleanup(done.Wait)
}

// Load reports with failures move a server to a lower priority, and reports without failures move it back.
func TestLoadReportsChangePriorities(t *testing.T) {
	f := newFixture(t, testEntries(4), func(c *control.Config) { c.Evidence.ReportMs, c.Evidence.EjectionMs = 100, 200 })
	var mu sync.Mutex
	failing := true
	var proxies []*xdsproxy.Proxy
	for i := range 3 {
		p := f.dial(xdsproxy.Options{Node: fmt.Sprint("p-", i), Zone: "east", Delta: true, LEDS: i == 1})
		f.awaitReady(p)
		f.await(p, "all", hasServers(4))
		proxies = append(proxies, p)
		f.reportLoads(t, fmt.Sprint("p-", i), 50*time.Millisecond, func() []*endpointv3.UpstreamEndpointStats {
			mu.Lock()
			defer mu.Unlock()
			var out []*endpointv3.UpstreamEndpointStats
			for i, e := range testEntries(4) {
				st := &endpointv3.UpstreamEndpointStats{Address: addressOf(e.Addr), TotalSuccessfulRequests: 20}
				if i == 2 && failing {
					st.TotalSuccessfulRequests, st.TotalErrorRequests = 0, 20
				}
				out = append(out, st)
			}
			return out
		})
	}
	for _, p := range proxies {
		f.await(p, "the failing server at the next priority", func(t *xdsproxy.Table) bool {
			e, ok := t.Find("s-002")
			return ok && e.Priority == 1 && len(t.Shares()) == 3
		})
	}
	mu.Lock()
	failing = false
	mu.Unlock()
	for _, p := range proxies {
		f.await(p, "the recovered server at the first priority", func(t *xdsproxy.Table) bool {
			e, ok := t.Find("s-002")
			return ok && e.Priority == 0 && len(t.Shares()) == 4
		})
	}
}
