package resource

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/control/assign"
)

const (
	// overprovision makes a priority take all requests as long as 1 in 100 of its servers is healthy:
	// with the usual 140 a fourth of them draining would send requests to the next tier. In percent.
	overprovision = 10_000
	// authority is that of the names of collections.
	authority = "ringtrack"
)

// Renderer makes the servers' resources of a service. It remembers each server's bytes, so that a
// change of one costs that one and a copy. It belongs to one goroutine.
type Renderer struct {
	Service string // the name that clusters know the servers by
	cache   map[string]cached
	places  map[place]*part
	round   uint64
}

// part is one zone and priority as it was rendered last. It is the same for all groups, and after a
// drain for all zones but one.
type part struct {
	members []assign.Endpoint
	body    []byte // the servers as they stand in a LocalityLbEndpoints
	digest  []byte // of body, so that it is hashed once for all groups
	set     *Set
	round   uint64
}

type cached struct {
	e     assign.Endpoint
	value []byte               // a marshalled LbEndpoint
	res   map[string]*Resource // by collection: the name is its path
}

// NewRenderer returns a renderer for a service of this name.
func NewRenderer(service string) *Renderer {
	return &Renderer{Service: service, cache: map[string]cached{}, places: map[place]*part{}}
}

// RenderedEndpoints is an assignment as resources: whole, for proxies that take servers in one piece, and split
// in collections, one a zone and priority, for those that take them one by one (LEDS).
type RenderedEndpoints struct {
	Complete     *Resource       // a ClusterLoadAssignment with all servers in it
	ByCollection *Resource       // one that names collections instead
	Collections  map[string]*Set // of LbEndpoint, by the collection's glob name
}

type place struct {
	priority uint32
	zone     string
}

// Render makes the resources of an assignment. Collections that are as they were last are the same
// sets, and so cost nothing to compare.
func (r *Renderer) Render(a *assign.Assignment) (*RenderedEndpoints, error) {
	r.round++
	priorityOf := priorities(a)
	members := map[place][]*assign.Endpoint{}
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		p := uint32(0)
		if !e.Draining {
			p = priorityOf[e.Tier]
		}
		at := place{p, e.Zone}
		members[at] = append(members[at], e)
	}
	places := make([]place, 0, len(members))
	for at := range members {
		places = append(places, at)
	}
	slices.SortFunc(places, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.zone, y.zone))
	})
	out := &RenderedEndpoints{Collections: make(map[string]*Set, len(places))}
	var whole, split []byte
	var stamp [][]byte
	whole = protowire.AppendTag(whole, 1, protowire.BytesType)
	whole = protowire.AppendString(whole, r.Service)
	split = append(split, whole...)
	for _, at := range places {
		collection := r.collection(at)
		head, err := locality(a, at, members[at])
		if err != nil {
			return nil, err
		}
		p, err := r.part(at, members[at], collection)
		if err != nil {
			return nil, err
		}
		whole = protowire.AppendTag(whole, 2, protowire.BytesType)
		whole = protowire.AppendVarint(whole, uint64(len(head)+len(p.body)))
		whole = append(whole, head...)
		whole = append(whole, p.body...)
		stamp = append(stamp, head, p.digest)
		leds, err := proto.MarshalOptions{Deterministic: true}.Marshal(&endpointv3.LocalityLbEndpoints{
			LbConfig: &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{
				LedsClusterLocalityConfig: &endpointv3.LedsClusterLocalityConfig{
					LedsConfig: ads(), LedsCollectionName: collection}}})
		if err != nil {
			return nil, fmt.Errorf("collection %s: %w", collection, err)
		}
		split = protowire.AppendTag(split, 2, protowire.BytesType)
		split = protowire.AppendBytes(split, append(head, leds...))
		out.Collections[collection] = p.set
	}
	policy, err := proto.MarshalOptions{Deterministic: true}.Marshal(&endpointv3.ClusterLoadAssignment{Policy: dropPolicy(a.ShedPercent)})
	if err != nil {
		return nil, fmt.Errorf("drop policy: %w", err)
	}
	whole, split = append(whole, policy...), append(split, policy...)
	out.Complete = fromValue(Endpoints, r.Service, whole, version(append(stamp, policy)...))
	out.ByCollection = fromValue(Endpoints, r.Service, split, version(split))
	return out, nil
}

// part renders one zone and priority, or returns it as it was where nothing of it changed.
func (r *Renderer) part(at place, members []*assign.Endpoint, collection string) (*part, error) {
	p := r.places[at]
	if p != nil && slices.EqualFunc(p.members, members, func(a assign.Endpoint, b *assign.Endpoint) bool { return a == *b }) {
		p.round = r.round
		return p, nil
	}
	p = &part{members: make([]assign.Endpoint, 0, len(members)), round: r.round}
	set := make([]*Resource, 0, len(members))
	size := 0
	for _, e := range members {
		c, err := r.endpoint(e, collection)
		if err != nil {
			return nil, err
		}
		p.members = append(p.members, *e)
		set = append(set, c.res[collection])
		size += fieldSize(2, len(c.value))
	}
	p.body = make([]byte, 0, size)
	for _, e := range members {
		p.body = protowire.AppendTag(p.body, 2, protowire.BytesType)
		p.body = protowire.AppendBytes(p.body, r.cache[e.ID].value)
	}
	p.set, p.digest = NewSet(set...), []byte(version(p.body))
	r.places[at] = p
	return p, nil
}

// Sweep forgets what no assignment had lately.
func (r *Renderer) Sweep() {
	for at, p := range r.places {
		if r.round-p.round > sweepAfter {
			delete(r.places, at)
		}
	}
	in := make(map[string]bool, len(r.cache))
	for _, p := range r.places {
		for i := range p.members {
			in[p.members[i].ID] = true
		}
	}
	for id := range r.cache {
		if !in[id] {
			delete(r.cache, id)
		}
	}
}

// sweepAfter is the number of renderings after which a place that none of them had is forgotten.
const sweepAfter = 16

// priorities numbers the tiers that have a usable server, without gaps: proxies reject a set with one.
// Where no server is usable all stand in the first.
func priorities(a *assign.Assignment) [3]uint32 {
	var used [3]bool
	for i := range a.Endpoints {
		if e := &a.Endpoints[i]; !e.Draining {
			used[e.Tier] = true
		}
	}
	var out [3]uint32
	n := uint32(0)
	for t := range out {
		out[t] = n
		if used[t] {
			n++
		}
	}
	return out
}

// locality is the part of a LocalityLbEndpoints beside its servers. Its weight is that of its usable
// servers, times the group's preference for its own zone: proxies divide a zone's weight by its
// servers'. It is not rounded, though a drain then changes two resources and not one: rounded to two
// per cent it moved 9 of 100 keys where one server of 30 left, as all shares shifted a little.
func locality(a *assign.Assignment, at place, es []*assign.Endpoint) ([]byte, error) {
	sum := 0.0
	for _, e := range es {
		if !e.Draining {
			sum += float64(e.Weight)
		}
	}
	if at.zone == a.Zone {
		sum *= float64(a.LocalityWeightPercent) / 100
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&endpointv3.LocalityLbEndpoints{
		Locality:            &corev3.Locality{Zone: at.zone},
		LoadBalancingWeight: wrapperspb.UInt32(uint32(min(max(math.Round(sum), 1), 1<<30))),
		Priority:            at.priority,
	})
}

func (r *Renderer) collection(at place) string {
	return "xdstp://" + authority + "/envoy.config.endpoint.v3.LbEndpoint/" + escape(r.Service) + "/" +
		escape(at.zone) + "/" + strconv.Itoa(int(at.priority)) + "/*"
}

// escape keeps a name from being taken for more than one part of a path.
func escape(s string) string {
	return strings.NewReplacer("%", "%25", "/", "%2F", "*", "%2A", "#", "%23", "?", "%3F").Replace(s)
}

// endpoint returns a server's bytes, made anew only where it changed.
func (r *Renderer) endpoint(e *assign.Endpoint, collection string) (cached, error) {
	c, ok := r.cache[e.ID]
	if !ok || c.e != *e {
		addr, err := address(e.Addr)
		if err != nil {
			return c, fmt.Errorf("%s: %w", e.ID, err)
		}
		health := corev3.HealthStatus_HEALTHY
		if e.Draining {
			health = corev3.HealthStatus_DRAINING
		}
		// The id is the key on the ring: a server that moves to another address keeps its keys.
		key, err := structpb.NewStruct(map[string]any{"hash_key": strings.ToValidUTF8(e.ID, "?")})
		if err != nil {
			return c, fmt.Errorf("%s: %w", e.ID, err)
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&endpointv3.LbEndpoint{
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: addr}},
			HealthStatus:        health,
			Metadata:            &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"envoy.lb": key}},
			LoadBalancingWeight: wrapperspb.UInt32(max(e.Weight, 1)),
		})
		if err != nil {
			return c, fmt.Errorf("%s: %w", e.ID, err)
		}
		c = cached{e: *e, value: value, res: map[string]*Resource{}}
	}
	if c.res[collection] == nil {
		name := strings.TrimSuffix(collection, "*") + escape(strings.ToValidUTF8(e.ID, "?"))
		c.res[collection] = fromValue(LbEndpoint, name, c.value, version(c.value))
	}
	r.cache[e.ID] = c
	return c, nil
}

func dropPolicy(shed int) *endpointv3.ClusterLoadAssignment_Policy {
	p := &endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(overprovision)}
	if shed > 0 {
		p.DropOverloads = []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{Category: "shed",
			DropPercentage: &typev3.FractionalPercent{Numerator: uint32(min(shed, 100)), Denominator: typev3.FractionalPercent_HUNDRED}}}
	}
	return p
}

func ads() *corev3.ConfigSource {
	return &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}
}

// address is a host:port as proxies are told it.
func address(s string) (*corev3.Address, error) {
	host, port, err := net.SplitHostPort(s)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err != nil || perr != nil {
		return nil, fmt.Errorf("%q is no host:port", s)
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}, nil
}
