package resource

import (
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/policy"
)

// BalancerMaglev and BalancerRingHash are the values of Service.Balancer.
const (
	BalancerMaglev   = "maglev"
	BalancerRingHash = "ring_hash" // the only one that gRPC clients know
)

// Service is what proxies are configured with beside the endpoints: the listener, the routes by class, and
// how clusters select servers.
type Service struct {
	Name string // of the listener, the routes and the endpoints, by which proxies subscribe
	// Listen is host:port on which proxies that open sockets listen; "": no such listener. Proxies inside a
	// client (gRPC) use the same routes without one.
	Listen   string
	Balancer string
	// AffinityHeader is the request header with the affinity key. Without the header, or where it is "", the
	// key is the last segment of the path.
	AffinityHeader string
	Settings       policy.Settings
	Routes         []assign.Route
}

// ClusterName returns the name of the cluster of a class; "" is the class of all other requests.
func (s *Service) ClusterName(class string) string {
	if class == "" {
		return s.Name + "/-"
	}
	return s.Name + "/" + class
}

func duration(ms float64) *durationpb.Duration {
	return durationpb.New(time.Duration(ms * float64(time.Millisecond)))
}

// mustAny packs a message of this package, which cannot fail.
func mustAny(m proto.Message) *anypb.Any {
	packed := &anypb.Any{}
	if err := anypb.MarshalFrom(packed, m, proto.MarshalOptions{Deterministic: true}); err != nil {
		panic("resource: " + err.Error())
	}
	return packed
}
