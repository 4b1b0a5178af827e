package xdsproxy

import (
	"context"
	"net"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"
)

// allClustersFeature is the client feature of proxies that report all clusters.
const allClustersFeature = "envoy.lrs.supports_send_all_clusters"

// serverLoad counts the requests to a server since the last load report.
type serverLoad struct{ served, failed, inProgress, issued uint64 }

// load returns the load of an address. The caller holds p.mu.
func (p *Proxy) load(addr string) *serverLoad {
	load := p.loads[addr]
	if load == nil {
		load = &serverLoad{}
		p.loads[addr] = load
	}
	return load
}

// RecordServed counts a request as sent to a server and served, without sending any: for tests that only
// compute where requests would go.
func (p *Proxy) RecordServed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.load(addr)
	load.issued++
	load.served++
}

// ReportLoad sends load reports at the interval that the service sets, until ctx ends.
func (p *Proxy) ReportLoad(ctx context.Context) error {
	s, err := loadstatsv3.NewLoadReportingServiceClient(p.conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	node := &corev3.Node{
		Id:             p.options.Node,
		Locality:       &corev3.Locality{Zone: p.options.Zone},
		ClientFeatures: []string{allClustersFeature},
	}
	if err := s.Send(&loadstatsv3.LoadStatsRequest{Node: node}); err != nil {
		return err
	}
	settings, err := s.Recv()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(settings.GetLoadReportingInterval().AsDuration())
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		stats := &endpointv3.ClusterStats{
			ClusterName:           "all",
			LoadReportInterval:    durationpb.New(now.Sub(last)),
			UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{p.takeLoads()},
		}
		last = now
		if err := s.Send(&loadstatsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{stats}}); err != nil {
			return err
		}
	}
}

// takeLoads returns the loads since the last report and resets them.
func (p *Proxy) takeLoads() *endpointv3.UpstreamLocalityStats {
	stats := &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, load := range p.loads {
		stats.UpstreamEndpointStats = append(stats.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
			Address:                 socketAddress(addr),
			TotalSuccessfulRequests: load.served,
			TotalErrorRequests:      load.failed,
			TotalRequestsInProgress: load.inProgress,
			TotalIssuedRequests:     load.issued,
		})
		*load = serverLoad{inProgress: load.inProgress}
		if load.inProgress == 0 {
			delete(p.loads, addr)
		}
	}
	return stats
}

func socketAddress(addr string) *corev3.Address {
	host, port, _ := net.SplitHostPort(addr)
	number, _ := strconv.Atoi(port)
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)},
	}}}
}
