package resource

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/policy"
)

const (
	// ringEntriesPerServer is the minimum number of ring entries per server. Large rings cost each proxy
	// memory, and time at every change.
	ringEntriesPerServer = 64
	minRingSize          = 1024
	maxRingSize          = 1 << 18
	// ringSizeLimit is the largest ring size that Envoy and gRPC accept.
	ringSizeLimit = 8 << 20
	// maxConnections bounds the connections of one proxy to the servers for a class.
	maxConnections = 4096
	// defaultMaxRequests bounds the active requests of a class at one proxy if the settings do not.
	defaultMaxRequests = 1024
	// maxPendingRequests bounds the requests of a class that wait for a connection at one proxy.
	maxPendingRequests = 1024
	// minRetryConcurrency is the number of concurrent retries that the retry budget always permits.
	minRetryConcurrency = 3
)

// RingSize returns the minimum ring size for a number of servers. It is a power of two, so that it rarely
// changes.
func RingSize(servers int) uint64 {
	size := uint64(minRingSize)
	for size < uint64(servers)*ringEntriesPerServer && size < maxRingSize {
		size *= 2
	}
	return size
}

// Clusters renders one cluster for each route, sorted by name. All clusters refer to the same endpoint
// resource, so that a change of the endpoints is sent once.
func (s *Service) Clusters(servers int) ([]*Resource, error) {
	var clusters []*Resource
	for i := range s.Routes {
		c := s.cluster(&s.Routes[i], servers)
		r, err := New(Cluster, c.Name, c)
		if err != nil {
			return nil, fmt.Errorf("cluster %s: %w", c.Name, err)
		}
		clusters = append(clusters, r)
	}
	slices.SortFunc(clusters, func(x, y *Resource) int { return cmp.Compare(x.Name, y.Name) })
	return clusters, nil
}

func (s *Service) cluster(route *assign.Route, servers int) *clusterv3.Cluster {
	c := &clusterv3.Cluster{
		Name:                 s.ClusterName(route.Class),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: adsSource(), ServiceName: s.Name},
		ConnectTimeout:       duration(max(s.Settings.Limits.ConnectTimeoutMs, 1)),
		LbPolicy:             clusterv3.Cluster_RING_HASH,
		LbConfig: &clusterv3.Cluster_RingHashLbConfig_{RingHashLbConfig: &clusterv3.Cluster_RingHashLbConfig{
			MinimumRingSize: wrapperspb.UInt64(RingSize(servers)),
			MaximumRingSize: wrapperspb.UInt64(ringSizeLimit),
		}},
		CommonLbConfig: commonLbConfig(),
		// Removes a host as soon as it is no longer listed, whatever health checks the proxy runs itself.
		IgnoreHealthOnHostRemoval: true,
		CircuitBreakers: &clusterv3.CircuitBreakers{
			Thresholds: []*clusterv3.CircuitBreakers_Thresholds{circuitBreakers(&s.Settings, route)},
		},
		LrsServer: &corev3.ConfigSource{
			ResourceApiVersion:    corev3.ApiVersion_V3,
			ConfigSourceSpecifier: &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}},
		},
	}
	if s.Balancer == BalancerMaglev {
		c.LbPolicy = clusterv3.Cluster_MAGLEV
		c.LbConfig = nil
	}
	return c
}

func commonLbConfig() *clusterv3.Cluster_CommonLbConfig {
	return &clusterv3.Cluster_CommonLbConfig{
		// With any other threshold, a proxy with too few healthy servers sends requests to all servers,
		// draining ones included.
		HealthyPanicThreshold: &typev3.Percent{Value: 0},
		// The default window of one second would delay health changes and therefore drains.
		UpdateMergeWindow: durationpb.New(0),
		LocalityConfigSpecifier: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
			LocalityWeightedLbConfig: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig{},
		},
		ConsistentHashingLbConfig: &clusterv3.Cluster_CommonLbConfig_ConsistentHashingLbConfig{
			HashBalanceFactor: wrapperspb.UInt32(uint32(policy.BoundedLoadFactor * 100)),
		},
	}
}

func circuitBreakers(settings *policy.Settings, route *assign.Route) *clusterv3.CircuitBreakers_Thresholds {
	return &clusterv3.CircuitBreakers_Thresholds{
		MaxConnections:     wrapperspb.UInt32(maxConnections),
		MaxRequests:        wrapperspb.UInt32(uint32(maxRequests(settings))),
		MaxPendingRequests: wrapperspb.UInt32(maxPendingRequests),
		RetryBudget: &clusterv3.CircuitBreakers_Thresholds_RetryBudget{
			BudgetPercent:       &typev3.Percent{Value: route.RetryBudgetPercent},
			MinRetryConcurrency: wrapperspb.UInt32(minRetryConcurrency),
		},
		TrackRemaining: true,
	}
}

// maxRequests returns the limit on active requests of a class at one proxy.
func maxRequests(s *policy.Settings) int {
	if s.Limits.MaxOpenRequests > 0 && s.Limits.MaxOpenRequests < math.MaxInt32 {
		return s.Limits.MaxOpenRequests
	}
	return defaultMaxRequests
}
