package control

import (
	"errors"
	"io"
	"net"
	"slices"
	"strconv"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"ringtrack.example/ringtrack/internal/control/assign"
)

const (
	// maxReportedServers bounds the number of servers read from one report.
	maxReportedServers = assign.MaxServers
	// rejectedMetric is the named metric (ORCA) that counts the requests rejected by a server.
	rejectedMetric = "turned_away"
	// featureAllClusters is the client feature of proxies that can be asked to report all clusters.
	featureAllClusters = "envoy.lrs.supports_send_all_clusters"
)

// StreamLoadStats implements LRS: it requests load reports of all clusters by endpoint and passes them to the
// assigner.
func (s *Server) StreamLoadStats(g loadstatsv3.LoadReportingService_StreamLoadStatsServer) error {
	m, err := g.Recv()
	if err != nil {
		return streamError(err)
	}
	id := m.GetNode().GetId()
	cfg := s.publisher.cfg()
	if err := cfg.authorize(peerCertificate(g.Context()), id); err != nil {
		s.publisher.counts.rejected.Add(1)
		return err
	}
	allClusters := slices.Contains(m.GetNode().GetClientFeatures(), featureAllClusters)
	if err := g.Send(cfg.loadStatsResponse(allClusters)); err != nil {
		return err
	}
	for {
		if m, err = g.Recv(); err != nil {
			return streamError(err)
		}
		report := loadReport(m.ClusterStats)
		s.publisher.post(func() { s.publisher.assigner.Report(s.publisher.clock.Ms(), id, report) })
	}
}

// loadStatsResponse returns the request for load reports of all clusters. It lists the clusters by name
// unless allClusters is set.
func (c *Config) loadStatsResponse(allClusters bool) *loadstatsv3.LoadStatsResponse {
	ms := int64(c.Evidence.ReportMs)
	response := &loadstatsv3.LoadStatsResponse{
		SendAllClusters:           allClusters,
		ReportEndpointGranularity: true,
		LoadReportingInterval:     &durationpb.Duration{Seconds: ms / 1000, Nanos: int32(ms%1000) * 1e6},
	}
	if !allClusters {
		service := c.service()
		for i := range service.Routes {
			response.Clusters = append(response.Clusters, service.ClusterName(service.Routes[i].Class))
		}
	}
	return response
}

// loadReport sums a proxy's load of each server over all clusters, which have the same servers. Load that is
// not broken down by server counts only as issued requests.
func loadReport(clusters []*endpointv3.ClusterStats) *assign.Report {
	report := &assign.Report{}
	indexByAddr := map[string]int{}
	for _, cluster := range clusters {
		report.IntervalMs = max(report.IntervalMs, float64(cluster.GetLoadReportInterval().AsDuration().Milliseconds()))
		for _, locality := range cluster.GetUpstreamLocalityStats() {
			if len(locality.GetUpstreamEndpointStats()) == 0 {
				ended := locality.GetTotalSuccessfulRequests() + locality.GetTotalErrorRequests()
				report.Issued += float64(max(locality.GetTotalIssuedRequests(), ended))
			}
			for _, stats := range locality.GetUpstreamEndpointStats() {
				addr := hostPort(stats.GetAddress())
				i, ok := indexByAddr[addr]
				if !ok {
					if len(report.Loads) >= maxReportedServers {
						continue
					}
					i = len(report.Loads)
					indexByAddr[addr] = i
					report.Loads = append(report.Loads, assign.ServerLoad{Addr: addr})
				}
				addLoad(&report.Loads[i], stats)
			}
		}
	}
	return report
}

// addLoad adds the load of an endpoint to that of its server.
func addLoad(load *assign.ServerLoad, stats *endpointv3.UpstreamEndpointStats) {
	load.Served += float64(stats.GetTotalSuccessfulRequests())
	load.Failed += float64(stats.GetTotalErrorRequests())
	load.InProgress += float64(stats.GetTotalRequestsInProgress())
	load.Issued += float64(stats.GetTotalIssuedRequests())
	for _, metric := range stats.GetLoadMetricStats() {
		if metric.GetMetricName() == rejectedMetric {
			load.Rejected += metric.GetTotalMetricValue()
		}
	}
}

func hostPort(a *corev3.Address) string {
	addr := a.GetSocketAddress()
	return net.JoinHostPort(addr.GetAddress(), strconv.Itoa(int(addr.GetPortValue())))
}

// streamError returns the error to end a stream with: nil if the peer half-closed it.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
