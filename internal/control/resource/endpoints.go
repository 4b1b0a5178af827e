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
	// overprovisioningPercent makes a priority take all requests as long as 1 in 100 of its servers is
	// healthy: with the default of 140 a fourth of them draining would spill over to the next priority.
	overprovisioningPercent = 10_000
	// maxLocalityWeight keeps the sum of the weights of all localities in 32 bits, as proxies require.
	maxLocalityWeight = 1 << 30
	// collectionAuthority is the authority in the names of collections.
	collectionAuthority = "ringtrack"
	// sweepAfterRenders is the number of renderings without a locality after which it is forgotten.
	sweepAfterRenders = 16
)

// Renderer renders the endpoint resources of a service. It caches each server's bytes, so that a change of one
// server costs that server and a copy. It is not safe for concurrent use: one goroutine owns it.
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

// cachedLocality is a locality as it was rendered last. It is the same for all groups, and after a drain for
// all zones but one.
type cachedLocality struct {
	members    []assign.Endpoint
	body       []byte // the endpoints as they stand in a LocalityLbEndpoints
	digest     []byte // hash of body, made once for all groups
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

// RenderedEndpoints is an assignment as resources: complete, for proxies that take all endpoints in one
// resource, and by collection, one for each zone and priority, for those that take single endpoints (LEDS).
type RenderedEndpoints struct {
	Complete     *Resource       // a ClusterLoadAssignment with all endpoints
	ByCollection *Resource       // a ClusterLoadAssignment that names the collections
	Collections  map[string]*Set // of LbEndpoint, by the collection's glob name
}

// Render renders an assignment. A collection that has not changed is the same Set as before.
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
	var digests [][]byte // of the parts of complete, which is not hashed itself
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

// membersByLocality groups the endpoints of an assignment; draining ones are in the first priority.
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

// priorities numbers the tiers that have a server in use, without gaps, as proxies reject a resource with
// one. Where no server is in use, all tiers have priority 0.
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

// locality renders the endpoints of a locality, or returns it from the cache where none of them changed.
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

// Sweep forgets localities and endpoints that no assignment had lately.
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

// localityHeader is a LocalityLbEndpoints without its endpoints. Its weight is the sum of those in use, times
// the group's locality weight: proxies divide it by the weights of the endpoints. It is not rounded, though a
// drain then changes two resources and not one, since rounding would migrate keys of other servers.
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

// collectionReference is the part of a LocalityLbEndpoints that names a collection in place of endpoints.
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

// collectionName is the glob name of a locality's collection.
func (r *Renderer) collectionName(key localityKey) string {
	return "xdstp://" + collectionAuthority + "/envoy.config.endpoint.v3.LbEndpoint/" + escape(r.service) + "/" +
		escape(key.zone) + "/" + strconv.Itoa(int(key.priority)) + "/*"
}

// escape makes a name one segment of a path.
func escape(s string) string {
	return strings.NewReplacer("%", "%25", "/", "%2F", "*", "%2A", "#", "%23", "?", "%3F").Replace(s)
}

// dropPolicy sets the overprovisioning and the percentage of requests that proxies drop.
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
