package resource

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/control/assign"
)

// cachedEndpoint is the last rendering of an endpoint.
type cachedEndpoint struct {
	endpoint  assign.Endpoint
	value     []byte               // a marshalled LbEndpoint
	resources map[string]*Resource // by collection, whose name is part of the resource name
}

// endpoint returns the rendering of an endpoint, including its resource in a collection. It renders the
// endpoint only if it changed.
func (r *Renderer) endpoint(e *assign.Endpoint, collection string) (cachedEndpoint, error) {
	cached, ok := r.endpoints[e.ID]
	if !ok || cached.endpoint != *e {
		value, err := marshalEndpoint(e)
		if err != nil {
			return cached, fmt.Errorf("%s: %w", e.ID, err)
		}
		cached = cachedEndpoint{endpoint: *e, value: value, resources: map[string]*Resource{}}
	}
	if cached.resources[collection] == nil {
		name := strings.TrimSuffix(collection, "*") + escape(strings.ToValidUTF8(e.ID, "?"))
		cached.resources[collection] = fromValue(LbEndpoint, name, cached.value, version(cached.value))
	}
	r.endpoints[e.ID] = cached
	return cached, nil
}

// marshalEndpoint encodes an LbEndpoint. Its hash key is the server's ID, so that a server keeps its keys
// when its address changes.
func marshalEndpoint(e *assign.Endpoint) ([]byte, error) {
	addr, err := parseAddress(e.Addr)
	if err != nil {
		return nil, err
	}
	health := corev3.HealthStatus_HEALTHY
	if e.Draining {
		health = corev3.HealthStatus_DRAINING
	}
	hashKey, err := structpb.NewStruct(map[string]any{"hash_key": strings.ToValidUTF8(e.ID, "?")})
	if err != nil {
		return nil, err
	}
	return marshal(&endpointv3.LbEndpoint{
		HostIdentifier:      &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: addr}},
		HealthStatus:        health,
		Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"envoy.lb": hashKey}},
		LoadBalancingWeight: wrapperspb.UInt32(max(e.Weight, 1)),
	})
}

// parseAddress converts host:port to an address resource.
func parseAddress(hostPort string) (*corev3.Address, error) {
	host, port, err := net.SplitHostPort(hostPort)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil {
		return nil, fmt.Errorf("%q is not a host:port address", hostPort)
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)},
	}}}, nil
}

// adsSource returns a config source that refers to the proxy's ADS stream.
func adsSource() *corev3.ConfigSource {
	return &corev3.ConfigSource{
		ResourceApiVersion:    corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
	}
}
