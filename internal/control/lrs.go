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
	// mostLoads bounds the lines that are read of one report.
	mostLoads = assign.MaxServers
	// turnedAway is the named metric (ORCA) by which servers tell what they refused unseen.
	turnedAway = "turned_away"
)

// StreamLoadStats serves LRS: it asks for all clusters, a server at a time, and hands reports on.
func (s *Server) StreamLoadStats(g loadstatsv3.LoadReportingService_StreamLoadStatsServer) error {
	m, err := g.Recv()
	if err != nil {
		return end(err)
	}
	id := m.GetNode().GetId()
	if err := s.hub.cfg().allow(leafOf(g.Context()), id); err != nil {
		s.hub.counts.Refused.Add(1)
		return err
	}
	all := slices.Contains(m.GetNode().GetClientFeatures(), "envoy.lrs.supports_send_all_clusters")
	ms := s.hub.cfg().Evidence.ReportMs
	answer := &loadstatsv3.LoadStatsResponse{SendAllClusters: all, ReportEndpointGranularity: true,
		LoadReportingInterval: &durationpb.Duration{Seconds: int64(ms) / 1000, Nanos: int32(int64(ms)%1000) * 1e6}}
	if !all {
		service := s.hub.cfg().service()
		for i := range service.Routes {
			answer.Clusters = append(answer.Clusters, service.ClusterName(service.Routes[i].Class))
		}
	}
	if err := g.Send(answer); err != nil {
		return err
	}
	for {
		if m, err = g.Recv(); err != nil {
			return end(err)
		}
		r := readReport(m.ClusterStats)
		s.hub.post(func() { s.hub.assigner.Report(s.hub.clock.Ms(), id, r) })
	}
}

// readReport sums up what a proxy saw of each server over all clusters: they have the same servers.
// What it tells of zones only counts for how much it sends.
func readReport(clusters []*endpointv3.ClusterStats) *assign.Report {
	r := &assign.Report{}
	at := map[string]int{}
	for _, c := range clusters {
		r.IntervalMs = max(r.IntervalMs, float64(c.GetLoadReportInterval().AsDuration().Milliseconds()))
		for _, l := range c.GetUpstreamLocalityStats() {
			if len(l.GetUpstreamEndpointStats()) == 0 {
				r.Issued += float64(max(l.GetTotalIssuedRequests(), l.GetTotalSuccessfulRequests()+l.GetTotalErrorRequests()))
			}
			for _, e := range l.GetUpstreamEndpointStats() {
				addr := socket(e.GetAddress())
				i, ok := at[addr]
				if !ok {
					if len(r.Loads) >= mostLoads {
						continue
					}
					i = len(r.Loads)
					at[addr] = i
					r.Loads = append(r.Loads, assign.ServerLoad{Addr: addr})
				}
				line := &r.Loads[i]
				line.Served += float64(e.GetTotalSuccessfulRequests())
				line.Failed += float64(e.GetTotalErrorRequests())
				line.InProgress += float64(e.GetTotalRequestsInProgress())
				line.Issued += float64(e.GetTotalIssuedRequests())
				for _, m := range e.GetLoadMetricStats() {
					if m.GetMetricName() == turnedAway {
						line.Rejected += m.GetTotalMetricValue()
					}
				}
			}
		}
	}
	return r
}

func socket(a *corev3.Address) string {
	s := a.GetSocketAddress()
	return net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue())))
}

// end is the error of a stream that its peer has ended: none.
func end(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
