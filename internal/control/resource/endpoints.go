package resource

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ringtrack.example/ringtrack/internal/control/assign"
)

const (
	// overprovisioningPercent makes a priority receive all requests as long as 1 in 100 of its servers is
	// healthy. With the default of 140, requests would spill over to the next priority once more than about a
	// fourth of the servers drain.
	overprovisioningPercent = 10_000
	// maxLocalityWeight keeps the sum of the weights of all localities within 32 bits, as proxies require.
	maxLocalityWeight = 1 << 30
	// collectionAuthority is the authority in the names of collections.
	collectionAuthority = "ringtrack"
	// sweepAfterRenders is the number of renderings without a locality after which Sweep evicts it.
	sweepAfterRenders = 16
)

// Renderer renders the endpoint resources of a service. It caches the encoded endpoints, so that after a
// change of one server only that server is encoded again and the rest is copied. It is not safe for
// concurrent use.
type Renderer struct {
	service    string
	endpoints  map[string]cachedEndpoint // by server ID
	localities map[localityKey]*cachedLocality
	renders    uint64
}

// localityKey identifies one LocalityLbEndpoints of an assignment.
type localityKey struct {
	priority uint32
	zone     string
}

// cachedLocality is the last rendering of a locality. All groups share it, and a drain invalidates only that
// of the server's own zone.
type cachedLocality struct {
	members    []assign.Endpoint
	body       []byte // the endpoints, encoded as fields of a LocalityLbEndpoints
	digest     []byte // hash of body, computed once for all groups
	collection *Set
	lastRender uint64
}

// NewRenderer returns a renderer for the service of this name.
func NewRenderer(service string) *Renderer {
	return &Renderer{
		service:    service,
		endpoints:  map[string]cachedEndpoint{},
		localities: map[localityKey]*cachedLocality{},
	}
}

// RenderedEndpoints is an assignment rendered in two forms: as one complete resource, and as collections of
// single endpoints, one for each zone and priority, for proxies that use LEDS.
type RenderedEndpoints struct {
	Complete     *Resource       // a ClusterLoadAssignment with all endpoints
	ByCollection *Resource       // a ClusterLoadAssignment that refers to the collections
	Collections  map[string]*Set // of LbEndpoint, by the collection's glob name
}

// Render renders an assignment. For an unchanged collection, it returns the same Set as before.
func (r *Renderer) Render(a *assign.Assignment) (*RenderedEndpoints, error) {
	r.renders++
	members := membersByLocality(a)
	keys := make([]localityKey, 0, len(members))
	for key := range members {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y localityKey) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.zone, y.zone))
	})
	rendered := &RenderedEndpoints{Collections: make(map[string]*Set, len(keys))}
	complete := appendString(nil, 1, r.service)
	byCollection := slices.Clone(complete)
	var digests [][]byte // digests of the parts of complete, which are hashed in place of it
	for _, key := range keys {
		collection := r.collectionName(key)
		header, err := localityHeader(a, key, members[key])
		if err != nil {
			return nil, err
		}
		locality, err := r.locality(key, members[key], collection)
		if err != nil {
			return nil, err
		}
		reference, err := collectionReference(collection)
		if err != nil {
			return nil, err
		}
		complete = protowire.AppendTag(complete, 2, protowire.BytesType)
		complete = protowire.AppendVarint(complete, uint64(len(header)+len(locality.body)))
		complete = append(complete, header...)
		complete = append(complete, locality.body...)
		digests = append(digests, header, locality.digest)
		byCollection = appendBytes(byCollection, 2, slices.Concat(header, reference))
		rendered.Collections[collection] = locality.collection
	}
	policy, err := marshal(&endpointv3.ClusterLoadAssignment{Policy: dropPolicy(a.ShedPercent)})
	if err != nil {
		return nil, fmt.Errorf("drop policy: %w", err)
	}
	complete = append(complete, policy...)
	byCollection = append(byCollection, policy...)
	rendered.Complete = fromValue(Endpoints, r.service, complete, version(append(digests, policy)...))
	rendered.ByCollection = fromValue(Endpoints, r.service, byCollection, version(byCollection))
	return rendered, nil
}

// membersByLocality groups the endpoints of an assignment by locality. Draining endpoints are in the first
// priority.
func membersByLocality(a *assign.Assignment) map[localityKey][]*assign.Endpoint {
	priorityOf := priorities(a)
	members := map[localityKey][]*assign.Endpoint{}
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		priority := uint32(0)
		if !e.Draining {
			priority = priorityOf[e.Tier]
		}
		key := localityKey{priority, e.Zone}
		members[key] = append(members[key], e)
	}
	return members
}

// priorities returns the priority of each tier. The tiers with a server that is not draining are numbered
// without gaps, since proxies reject a resource with a gap. If all servers are draining, all tiers have
// priority 0.
func priorities(a *assign.Assignment) [3]uint32 {
	var used [3]bool
	for i := range a.Endpoints {
		if e := &a.Endpoints[i]; !e.Draining {
			used[e.Tier] = true
		}
	}
	var numbers [3]uint32
	next := uint32(0)
	for tier := range numbers {
		numbers[tier] = next
		if used[tier] {
			next++
		}
	}
	return numbers
}

// locality renders the endpoints of a locality, or returns the cached rendering if none of them changed.
func (r *Renderer) locality(key localityKey, members []*assign.Endpoint, collection string) (*cachedLocality, error) {
	cached := r.localities[key]
	equal := func(x assign.Endpoint, y *assign.Endpoint) bool { return x == *y }
	if cached != nil && slices.EqualFunc(cached.members, members, equal) {
		cached.lastRender = r.renders
		return cached, nil
	}
	l := &cachedLocality{members: make([]assign.Endpoint, 0, len(members)), lastRender: r.renders}
	resources := make([]*Resource, 0, len(members))
	size := 0
	for _, e := range members {
		endpoint, err := r.endpoint(e, collection)
		if err != nil {
			return nil, err
		}
		l.members = append(l.members, *e)
		resources = append(resources, endpoint.resources[collection])
		size += fieldSize(2, len(endpoint.value))
	}
	l.body = make([]byte, 0, size)
	for _, e := range members {
		l.body = appendBytes(l.body, 2, r.endpoints[e.ID].value)
	}
	l.collection = NewSet(resources...)
	l.digest = []byte(version(l.body))
	r.localities[key] = l
	return l, nil
}

// Sweep evicts the localities and endpoints that no recent assignment contained from the cache.
func (r *Renderer) Sweep() {
	for key, l := range r.localities {
		if r.renders-l.lastRender > sweepAfterRenders {
			delete(r.localities, key)
		}
	}
	used := make(map[string]bool, len(r.endpoints))
	for _, l := range r.localities {
		for i := range l.members {
			used[l.members[i].ID] = true
		}
	}
	for id := range r.endpoints {
		if !used[id] {
			delete(r.endpoints, id)
		}
	}
}

// localityHeader encodes a LocalityLbEndpoints without its endpoints. Its weight is the sum of the weights of
// the endpoints that are not draining, times the group's locality weight; proxies divide it among the
// endpoints by their weights. The weight is not rounded to coarser steps: with them, a drain would change one
// resource and not two, but would also migrate keys of other servers.
func localityHeader(a *assign.Assignment, key localityKey, members []*assign.Endpoint) ([]byte, error) {
	sum := 0.0
	for _, e := range members {
		if !e.Draining {
			sum += float64(e.Weight)
		}
	}
	if key.zone == a.Zone {
		sum *= float64(a.LocalityWeightPercent) / 100
	}
	return marshal(&endpointv3.LocalityLbEndpoints{
		Locality:            &corev3.Locality{Zone: key.zone},
		LoadBalancingWeight: wrapperspb.UInt32(uint32(min(max(math.Round(sum), 1), maxLocalityWeight))),
		Priority:            key.priority,
	})
}

// collectionReference encodes the part of a LocalityLbEndpoints that refers to a collection in place of
// endpoints.
func collectionReference(collection string) ([]byte, error) {
	b, err := marshal(&endpointv3.LocalityLbEndpoints{
		LbConfig: &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{
			LedsClusterLocalityConfig: &endpointv3.LedsClusterLocalityConfig{
				LedsConfig:         adsSource(),
				LedsCollectionName: collection,
			},
		},
	})
	if err != nil {
		return nil, fmt.Errorf("collection %s: %w", collection, err)
	}
	return b, nil
}

// collectionName returns the glob name of a locality's collection.
func (r *Renderer) collectionName(key localityKey) string {
	return "xdstp://" + collectionAuthority + "/envoy.config.endpoint.v3.LbEndpoint/" + escape(r.service) + "/" +
		escape(key.zone) + "/" + strconv.Itoa(int(key.priority)) + "/*"
}

// escape encodes a name as one path segment.
func escape(s string) string {
	return strings.NewReplacer("%", "%25", "/", "%2F", "*", "%2A", "#", "%23", "?", "%3F").Replace(s)
}

// dropPolicy returns the policy with the overprovisioning factor and the percentage of requests to drop.
func dropPolicy(shedPercent int) *endpointv3.ClusterLoadAssignment_Policy {
	p := &endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(overprovisioningPercent)}
	if shedPercent > 0 {
		p.DropOverloads = []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "shed",
			DropPercentage: &typev3.FractionalPercent{
				Numerator:   uint32(min(shedPercent, 100)),
				Denominator: typev3.FractionalPercent_HUNDRED,
			},
		}}
	}
	return p
}
