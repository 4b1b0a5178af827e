package resource

import (
	"fmt"
	"math"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	previousv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/retry/host/previous_hosts/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/policy"
)

// Service is what proxies are told beside the servers: how requests come in, where they go by class,
// and how servers are chosen.
type Service struct {
	Name string // of the listener, the routes and the servers; proxies ask for it
	// Listen is host:port where proxies that open sockets are to listen; "" for none. Proxies inside
	// a client (gRPC) take the same routes without one.
	Listen string
	// Balancer is "ring_hash" or "maglev". gRPC clients know ring_hash only.
	Balancer string
	// AffinityHeader is the request header that holds the key, where there is one; without it the
	// last part of the path is the key.
	AffinityHeader string
	Settings       policy.Settings
	Routes         []assign.Route
}

const (
	// lastOfPath finds the last part of a path, without a query.
	lastOfPath = `^.*?([^/?]*)(\?.*)?$`
	// ringPerServer is how many places on the ring a server is to have at the least; leastRing and
	// mostRing bound the ring. Large rings cost each proxy memory and time at every change.
	ringPerServer, leastRing, mostRing = 64, 1024, 1 << 18
	// maxConnections bounds what one proxy opens to the servers of a class.
	maxConnections = 4096
)

// ClusterName is the cluster of a class; "" is that of requests without one.
func (s *Service) ClusterName(class string) string {
	if class == "" {
		return s.Name + "/-"
	}
	return s.Name + "/" + class
}

// RingSize is the least size of the ring for so many servers: a power of two, so that it seldom
// changes as servers come and go.
func RingSize(servers int) uint64 {
	n := uint64(leastRing)
	for n < uint64(servers)*ringPerServer && n < mostRing {
		n *= 2
	}
	return n
}

// Clusters renders one cluster a route. All get their servers by one name, so that a change of these
// is sent once.
func (s *Service) Clusters(servers int) ([]*Resource, error) {
	var out []*Resource
	for i := range s.Routes {
		r := &s.Routes[i]
		c := &clusterv3.Cluster{
			Name:                 s.ClusterName(r.Class),
			ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
			EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: ads(), ServiceName: s.Name},
			ConnectTimeout:       duration(max(s.Settings.Limits.ConnectTimeoutMs, 1)),
			LbPolicy:             clusterv3.Cluster_RING_HASH,
			LbConfig: &clusterv3.Cluster_RingHashLbConfig_{RingHashLbConfig: &clusterv3.Cluster_RingHashLbConfig{
				MinimumRingSize: wrapperspb.UInt64(RingSize(servers)), MaximumRingSize: wrapperspb.UInt64(8 << 20)}},
			CommonLbConfig: &clusterv3.Cluster_CommonLbConfig{
				// Without a threshold of 0 a proxy that holds too few healthy servers sends to all,
				// drained ones among them.
				HealthyPanicThreshold: &typev3.Percent{Value: 0},
				// The usual window of a second holds back changes of health: a drain would come late.
				UpdateMergeWindow: durationpb.New(0),
				LocalityConfigSpecifier: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
					LocalityWeightedLbConfig: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig{}},
				ConsistentHashingLbConfig: &clusterv3.Cluster_CommonLbConfig_ConsistentHashingLbConfig{
					HashBalanceFactor: wrapperspb.UInt32(uint32(policy.BoundedLoadFactor * 100))},
			},
			// A server that is gone is gone at once, whatever health checks a proxy does of its own.
			IgnoreHealthOnHostRemoval: true,
			CircuitBreakers: &clusterv3.CircuitBreakers{Thresholds: []*clusterv3.CircuitBreakers_Thresholds{{
				MaxConnections: wrapperspb.UInt32(maxConnections),
				MaxRequests:    wrapperspb.UInt32(uint32(openCap(&s.Settings))),
				// Where there is no server to be had a request waits here; soon it is turned away.
				MaxPendingRequests: wrapperspb.UInt32(maxPending),
				RetryBudget: &clusterv3.CircuitBreakers_Thresholds_RetryBudget{
					BudgetPercent:       &typev3.Percent{Value: r.RetryBudgetPercent},
					MinRetryConcurrency: wrapperspb.UInt32(uint32(againMost))},
				TrackRemaining: true,
			}}},
			LrsServer: &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
				ConfigSourceSpecifier: &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}}},
		}
		if s.Balancer == "maglev" {
			c.LbPolicy, c.LbConfig = clusterv3.Cluster_MAGLEV, nil
		}
		res, err := New(Cluster, c.Name, c)
		if err != nil {
			return nil, fmt.Errorf("cluster %s: %w", c.Name, err)
		}
		out = append(out, res)
	}
	byName(out)
	return out, nil
}

const (
	// againMost is the further attempts that a proxy may have under way however little it carries.
	againMost = 3
	// maxPending bounds the requests of a class that wait at one proxy for a connection.
	maxPending = 1024
)

func openCap(s *policy.Settings) int {
	if s.Limits.MaxOpenRequests > 0 && s.Limits.MaxOpenRequests < math.MaxInt32 {
		return s.Limits.MaxOpenRequests
	}
	return 1024
}

// RouteConfig renders the routes by class.
func (s *Service) RouteConfig() (*Resource, error) {
	host := &routev3.VirtualHost{Name: s.Name, Domains: []string{"*"}}
	for i := range s.Routes {
		r := &s.Routes[i]
		action := &routev3.RouteAction{
			ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: s.ClusterName(r.Class)},
			Timeout:          duration(r.TimeoutMs),
			// gRPC clients know this one in place of the time-out.
			MaxStreamDuration: &routev3.RouteAction_MaxStreamDuration{MaxStreamDuration: duration(r.TimeoutMs)},
			RetryPolicy:       retryPolicy(r, s.Settings.Limits.MaxRetryAfterMs),
			HashPolicy:        s.hashPolicy(),
		}
		match := &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: "/"}}
		name := "rest"
		if r.Class != "" {
			name = r.Class
			match.Headers = []*routev3.HeaderMatcher{{Name: "request-class",
				HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
					MatchPattern: &matcherv3.StringMatcher_Exact{Exact: r.Class}}}}}
		}
		host.Routes = append(host.Routes, &routev3.Route{Name: name, Match: match, Action: &routev3.Route_Route{Route: action}})
	}
	return New(Route, s.Name, &routev3.RouteConfiguration{Name: s.Name, VirtualHosts: []*routev3.VirtualHost{host}})
}

func (s *Service) hashPolicy() []*routev3.RouteAction_HashPolicy {
	var out []*routev3.RouteAction_HashPolicy
	if s.AffinityHeader != "" {
		out = append(out, &routev3.RouteAction_HashPolicy{Terminal: true,
			PolicySpecifier: &routev3.RouteAction_HashPolicy_Header_{Header: &routev3.RouteAction_HashPolicy_Header{
				HeaderName: strings.ToLower(s.AffinityHeader)}}})
	}
	return append(out, &routev3.RouteAction_HashPolicy{
		PolicySpecifier: &routev3.RouteAction_HashPolicy_Header_{Header: &routev3.RouteAction_HashPolicy_Header{
			HeaderName: ":path", RegexRewrite: &matcherv3.RegexMatchAndSubstitute{
				Pattern: &matcherv3.RegexMatcher{Regex: lastOfPath}, Substitution: `\1`}}}})
}

// NotStarted is the header of an answer that says the attempt never ran.
const NotStarted = "not-started"

// retryPolicy never asks for a second attempt beside one that is out: no hedging, no time for a try.
func retryPolicy(r *assign.Route, maxRetryAfterMs float64) *routev3.RetryPolicy {
	p := &routev3.RetryPolicy{
		NumRetries: wrapperspb.UInt32(uint32(r.MaxRetries)),
		// What never ran: no connection came up, the stream was refused, or the answer says so.
		RetryOn: "connect-failure,refused-stream,retriable-headers",
		RetriableHeaders: []*routev3.HeaderMatcher{{Name: NotStarted,
			HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
				MatchPattern: &matcherv3.StringMatcher_Exact{Exact: "1"}}}}},
		RetryBackOff: &routev3.RetryPolicy_RetryBackOff{
			BaseInterval: duration(r.BackoffBaseMs), MaxInterval: duration(r.BackoffMaxMs)},
		// A server that says when to come back is not asked before.
		RateLimitedRetryBackOff: &routev3.RetryPolicy_RateLimitedRetryBackOff{MaxInterval: duration(max(maxRetryAfterMs, 1)),
			ResetHeaders: []*routev3.RetryPolicy_ResetHeader{{Name: "Retry-After", Format: routev3.RetryPolicy_SECONDS}}},
		HostSelectionRetryMaxAttempts: 3, // further attempts go elsewhere
		RetryHostPredicate: []*routev3.RetryPolicy_RetryHostPredicate{{Name: "envoy.retry_host_predicates.previous_hosts",
			ConfigType: &routev3.RetryPolicy_RetryHostPredicate_TypedConfig{TypedConfig: mustAny(&previousv3.PreviousHostsPredicate{})}}},
	}
	if r.RetryOn == assign.AnyFailure {
		p.RetryOn = "5xx,reset," + p.RetryOn
	}
	return p
}

// Listeners renders the listener for gRPC clients and, where it is asked for, one with a socket.
func (s *Service) Listeners() ([]*Resource, error) {
	hcm := &hcmv3.HttpConnectionManager{
		StatPrefix: s.Name,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{
			ConfigSource: ads(), RouteConfigName: s.Name}},
		HttpFilters: []*hcmv3.HttpFilter{{Name: "envoy.filters.http.router",
			ConfigType: &hcmv3.HttpFilter_TypedConfig{TypedConfig: mustAny(&routerv3.Router{})}}},
	}
	api := &listenerv3.Listener{Name: s.Name, ApiListener: &listenerv3.ApiListener{ApiListener: mustAny(hcm)}}
	first, err := New(Listener, api.Name, api)
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", api.Name, err)
	}
	out := []*Resource{first}
	if s.Listen != "" {
		addr, err := address(s.Listen)
		if err != nil {
			return nil, err
		}
		l := &listenerv3.Listener{Name: s.Name + "/socket", Address: addr,
			FilterChains: []*listenerv3.FilterChain{{Filters: []*listenerv3.Filter{{
				Name:       "envoy.filters.network.http_connection_manager",
				ConfigType: &listenerv3.Filter_TypedConfig{TypedConfig: mustAny(hcm)}}}}}}
		second, err := New(Listener, l.Name, l)
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", l.Name, err)
		}
		out = append(out, second)
	}
	return out, nil
}

func duration(ms float64) *durationpb.Duration {
	return durationpb.New(time.Duration(ms * float64(time.Millisecond)))
}

// mustAny packs a message made here; that can't fail.
func mustAny(m proto.Message) *anypb.Any {
	a := &anypb.Any{}
	if err := anypb.MarshalFrom(a, m, proto.MarshalOptions{Deterministic: true}); err != nil {
		panic("resource: " + err.Error())
	}
	return a
}
