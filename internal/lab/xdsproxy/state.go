package xdsproxy

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	"google.golang.org/protobuf/proto"
)

// state has the resources that the proxy has cached. Proxy.mu protects it.
type state struct {
	hasListener bool
	clusters    map[string]*clusterv3.Cluster
	routes      map[string]*routev3.RouteConfiguration // nil: referred to by the listener, not received yet
	endpoints   map[string]*endpointv3.ClusterLoadAssignment
	collections map[string]map[string]*endpointv3.LbEndpoint // by glob name and name
	versions    map[string]map[string]string                 // incremental: by type and name
	accepted    map[string]string                            // state of the world: version by type
}

func newState() state {
	return state{
		clusters:    map[string]*clusterv3.Cluster{},
		routes:      map[string]*routev3.RouteConfiguration{},
		endpoints:   map[string]*endpointv3.ClusterLoadAssignment{},
		collections: map[string]map[string]*endpointv3.LbEndpoint{},
		versions:    map[string]map[string]string{},
		accepted:    map[string]string{},
	}
}

// references returns the names that the cached resources refer to, sorted, by type.
func (s *state) references() map[string][]string {
	references := map[string][]string{}
	add := func(typeURL, name string) {
		if !slices.Contains(references[typeURL], name) {
			references[typeURL] = append(references[typeURL], name)
		}
	}
	for _, c := range s.clusters {
		add(endpointsType, c.GetEdsClusterConfig().GetServiceName())
	}
	for name := range s.routes {
		add(routeType, name)
	}
	for _, assignment := range s.endpoints {
		for _, l := range assignment.GetEndpoints() {
			if c := l.GetLedsClusterLocalityConfig(); c != nil {
				add(lbEndpointType, c.GetLedsCollectionName())
			}
		}
	}
	for typeURL := range references {
		slices.Sort(references[typeURL])
	}
	return references
}

// update applies a response, or nothing of it and returns an error if a resource is not valid.
func (s *state) update(r *response) error {
	decoded := map[string]proto.Message{}
	for name, packed := range r.resources {
		m, err := packed.UnmarshalNew()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if assignment, ok := m.(*endpointv3.ClusterLoadAssignment); ok {
			if err := checkAssignment(assignment); err != nil {
				return err
			}
		}
		decoded[name] = m
	}
	if r.sotw {
		switch r.typeURL { // responses of these types are complete
		case clusterType:
			s.clusters = map[string]*clusterv3.Cluster{}
		case listenerType:
			s.hasListener = false
		}
	}
	for name, m := range decoded {
		if err := s.set(name, m); err != nil {
			return err
		}
	}
	for _, name := range r.removed {
		s.remove(r.typeURL, name)
	}
	s.updateVersions(r)
	return nil
}

// set adds or replaces a resource.
func (s *state) set(name string, m proto.Message) error {
	switch m := m.(type) {
	case *clusterv3.Cluster:
		s.clusters[name] = m
	case *listenerv3.Listener:
		s.setListener(m)
	case *routev3.RouteConfiguration:
		s.routes[name] = m
	case *endpointv3.ClusterLoadAssignment:
		s.endpoints[name] = m
	case *endpointv3.LbEndpoint:
		glob := globOf(name)
		if s.collections[glob] == nil {
			s.collections[glob] = map[string]*endpointv3.LbEndpoint{}
		}
		s.collections[glob][name] = m
	default:
		return fmt.Errorf("%s: not subscribed to type %T", name, m)
	}
	return nil
}

// setListener reads the reference to the routes from an API listener and ignores other listeners.
func (s *state) setListener(l *listenerv3.Listener) {
	manager := &hcmv3.HttpConnectionManager{}
	if err := l.GetApiListener().GetApiListener().UnmarshalTo(manager); err != nil {
		return
	}
	s.hasListener = true
	if name := manager.GetRds().GetRouteConfigName(); s.routes[name] == nil {
		s.routes[name] = nil
	}
}

// remove removes a resource.
func (s *state) remove(typeURL, name string) {
	switch typeURL {
	case clusterType:
		delete(s.clusters, name)
	case endpointsType:
		delete(s.endpoints, name)
	case lbEndpointType:
		delete(s.collections[globOf(name)], name)
	}
}

// updateVersions records the versions of a response.
func (s *state) updateVersions(r *response) {
	versions := s.versions[r.typeURL]
	if versions == nil {
		versions = map[string]string{}
		s.versions[r.typeURL] = versions
	}
	for name, version := range r.versions {
		versions[name] = version
	}
	for _, name := range r.removed {
		delete(versions, name)
	}
	if r.sotw {
		s.accepted[r.typeURL] = r.version
	}
}

// globOf returns the glob name of the collection that a name is in.
func globOf(name string) string { return name[:strings.LastIndex(name, "/")+1] + "*" }

// checkAssignment rejects what Envoy and gRPC reject.
func checkAssignment(assignment *endpointv3.ClusterLoadAssignment) error {
	priorities := map[uint32]bool{}
	lowest := uint32(0)
	addrs := map[string]bool{}
	for _, l := range assignment.GetEndpoints() {
		priorities[l.GetPriority()] = true
		lowest = max(lowest, l.GetPriority())
		if l.GetLocality() == nil {
			return errors.New("a locality without an id")
		}
		for _, e := range l.GetLbEndpoints() {
			addr := addressOf(e)
			if addrs[addr] {
				return fmt.Errorf("duplicate address %s", addr)
			}
			addrs[addr] = true
			if w := e.GetLoadBalancingWeight(); w != nil && w.GetValue() == 0 {
				return fmt.Errorf("%s: weight 0", addr)
			}
		}
	}
	for priority := range lowest {
		if !priorities[priority] {
			return fmt.Errorf("priority %d is missing", priority)
		}
	}
	return nil
}

// addressOf returns the host:port of an endpoint.
func addressOf(e *endpointv3.LbEndpoint) string {
	addr := e.GetEndpoint().GetAddress().GetSocketAddress()
	return net.JoinHostPort(addr.GetAddress(), strconv.Itoa(int(addr.GetPortValue())))
}
