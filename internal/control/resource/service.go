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
	BalancerRingHash = "ring_hash" // the only one that gRPC clients support
)

// Service is the configuration of proxies apart from the endpoints: the listeners, the routes by class, and
// how clusters select servers.
type Service struct {
	Name string // name of the listener, route and endpoint resources, to which proxies subscribe
	// Listen is the host:port for the socket listener of proxies; "": none. Proxyless gRPC clients use the
	// same routes without a socket.
	Listen   string
	Balancer string
	// AffinityHeader is the request header with the affinity key. If it is "", or a request does not have the
	// header, the key is the last segment of the path.
	AffinityHeader string
	Settings       policy.Settings
	Routes         []assign.Route
}

// ClusterName returns the name of the cluster of a class; "" stands for requests without a known class.
func (s *Service) ClusterName(class string) string {
	if class == "" {
		return s.Name + "/-"
	}
	return s.Name + "/" + class
}

func duration(ms float64) *durationpb.Duration {
	return durationpb.New(time.Duration(ms * float64(time.Millisecond)))
}

// mustAny packs a message. It panics on an error, which only a defect in this package can cause.
func mustAny(m proto.Message) *anypb.Any {
	packed := &anypb.Any{}
	if err := anypb.MarshalFrom(packed, m, proto.MarshalOptions{Deterministic: true}); err != nil {
		panic("resource: " + err.Error())
	}
	return packed
}
