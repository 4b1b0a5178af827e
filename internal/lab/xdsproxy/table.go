package xdsproxy

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
)

const (
	// weightScale makes Endpoint.Weight of a share of requests.
	weightScale = 1e6
	// defaultMinRingSize is Envoy's, for clusters that do not set one.
	defaultMinRingSize = 1024
)

// Table has the endpoints and routes that a proxy selects servers by. It is immutable.
type Table struct {
	Endpoints    []Endpoint // sorted by ID
	DropFraction float64    // of the requests

	routes       map[string]Route // by class
	defaultRoute *Route
	boundedLoad  float64            // factor of the bounded load; 0: unbounded
	ring         func() []ringEntry // built at the first use
	shares       map[string]float64 // of the requests, by address, in the priority in use
}

// Endpoint is a server of the table.
type Endpoint struct {
	ID, Addr string
	Zone     string
	Priority uint32
	Draining bool
	Weight   float64 // its share of the priority's requests, times 1e6
}

// Route is what the proxy may do with a request of a class.
type Route struct {
	Cluster          string
	Timeout          time.Duration
	RetryOn          string
	MaxRetries       int
	Hedged           bool
	PerTryTimeout    time.Duration
	NotStartedHeader string // of answers that say that the attempt never ran; "": none
}

// Find returns a server by ID.
func (t *Table) Find(id string) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(t.Endpoints, id, func(e Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return Endpoint{}, false
	}
	return t.Endpoints[i], true
}

// Usable reports whether the picker may send requests to a server.
func (t *Table) Usable(id string) bool {
	e, ok := t.Find(id)
	return ok && !e.Draining && t.shares[e.Addr] > 0
}

// Route returns the route of a class, or that of all other requests; nil if there is none.
func (t *Table) Route(class string) *Route {
	if r, ok := t.routes[class]; ok {
		return &r
	}
	return t.defaultRoute
}

// Shares returns the shares of the requests by server ID, in the priority in use.
func (t *Table) Shares() map[string]float64 {
	shares := map[string]float64{}
	for i := range t.Endpoints {
		if e := &t.Endpoints[i]; !e.Draining && t.shares[e.Addr] > 0 {
			shares[e.ID] = t.shares[e.Addr]
		}
	}
	return shares
}

// locality is one LocalityLbEndpoints.
type locality struct {
	priority  uint32
	weight    float64
	endpoints []Endpoint
	weights   []float64 // of the endpoints
	sum       float64   // of the weights of those that are not draining
}

// buildTable returns the table of the cached resources.
func (s *state) buildTable() *Table {
	t := &Table{routes: map[string]Route{}, shares: map[string]float64{}}
	for _, config := range s.routes {
		for _, host := range config.GetVirtualHosts() {
			for _, r := range host.GetRoutes() {
				t.addRoute(r)
			}
		}
	}
	minRingSize := uint64(defaultMinRingSize)
	for _, c := range s.clusters {
		t.boundedLoad = float64(c.GetCommonLbConfig().GetConsistentHashingLbConfig().GetHashBalanceFactor().GetValue()) / 100
		minRingSize = max(c.GetRingHashLbConfig().GetMinimumRingSize().GetValue(), 1)
	}
	var localities []*locality
	for _, assignment := range s.endpoints {
		for _, drop := range assignment.GetPolicy().GetDropOverloads() {
			t.DropFraction = max(t.DropFraction, float64(drop.GetDropPercentage().GetNumerator())/100)
		}
		for _, l := range assignment.GetEndpoints() {
			localities = append(localities, s.locality(l))
		}
	}
	shares, smallest := t.addEndpoints(localities)
	slices.SortFunc(t.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	t.ring = sync.OnceValue(func() []ringEntry { return t.buildRing(shares, smallest, minRingSize) })
	return t
}

// addRoute adds a route by the class that it matches, or as the default.
func (t *Table) addRoute(r *routev3.Route) {
	action := r.GetRoute()
	retry := action.GetRetryPolicy()
	route := Route{
		Cluster:       action.GetCluster(),
		Timeout:       action.GetTimeout().AsDuration(),
		RetryOn:       retry.GetRetryOn(),
		MaxRetries:    int(retry.GetNumRetries().GetValue()),
		Hedged:        action.GetHedgePolicy() != nil,
		PerTryTimeout: retry.GetPerTryTimeout().AsDuration(),
	}
	for _, header := range retry.GetRetriableHeaders() {
		route.NotStartedHeader = header.GetName()
	}
	if headers := r.GetMatch().GetHeaders(); len(headers) == 1 {
		t.routes[headers[0].GetStringMatch().GetExact()] = route
	} else if t.defaultRoute == nil {
		t.defaultRoute = &route
	}
}

// locality reads a LocalityLbEndpoints, with the endpoints of its collection if it has one.
func (s *state) locality(l *endpointv3.LocalityLbEndpoints) *locality {
	read := &locality{priority: l.GetPriority(), weight: float64(l.GetLoadBalancingWeight().GetValue())}
	members := l.GetLbEndpoints()
	if c := l.GetLedsClusterLocalityConfig(); c != nil {
		for _, e := range s.collections[c.GetLedsCollectionName()] {
			members = append(members, e)
		}
	}
	for _, member := range members {
		health := member.GetHealthStatus()
		e := Endpoint{
			ID:       hashKeyOf(member),
			Addr:     addressOf(member),
			Zone:     l.GetLocality().GetZone(),
			Priority: l.GetPriority(),
			Draining: health != corev3.HealthStatus_UNKNOWN && health != corev3.HealthStatus_HEALTHY,
		}
		weight := float64(max(member.GetLoadBalancingWeight().GetValue(), 1))
		read.endpoints = append(read.endpoints, e)
		read.weights = append(read.weights, weight)
		if !e.Draining {
			read.sum += weight
		}
	}
	return read
}

// addEndpoints adds the endpoints and their shares. The first priority with a server that is not draining
// gets all requests. It returns the shares by ID and the smallest of them.
func (t *Table) addEndpoints(localities []*locality) (shares map[string]float64, smallest float64) {
	priority := uint32(math.MaxUint32)
	for _, l := range localities {
		if l.sum > 0 {
			priority = min(priority, l.priority)
		}
	}
	total := 0.0
	for _, l := range localities {
		if l.priority == priority && l.sum > 0 {
			total += l.weight
		}
	}
	shares = map[string]float64{}
	smallest = 1.0
	for _, l := range localities {
		for i := range l.endpoints {
			e := &l.endpoints[i]
			if l.priority == priority && !e.Draining && l.sum > 0 && total > 0 {
				share := l.weight / total * l.weights[i] / l.sum
				e.Weight = share * weightScale
				t.shares[e.Addr] += share
				shares[e.ID] = share
				smallest = min(smallest, share)
			}
			t.Endpoints = append(t.Endpoints, *e)
		}
	}
	return shares, smallest
}

// hashKeyOf returns an endpoint's key on the ring, its address by default.
func hashKeyOf(e *endpointv3.LbEndpoint) string {
	if key := e.GetMetadata().GetFilterMetadata()["envoy.lb"].GetFields()["hash_key"].GetStringValue(); key != "" {
		return key
	}
	return addressOf(e)
}
