package xdsproxy

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/grpc/backoff"
)

func backoffConfig() backoff.Config {
	return backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}
}

// Table is what a proxy picks by. It is never changed once made.
type Table struct {
	Endpoints    []Endpoint // by id
	DropFraction float64    // part of requests to drop
	routes       map[string]Route
	rest         *Route
	factor       float64            // of the bounded load; 0: none
	ring         func() []point     // made when it is first picked from
	usable       map[string]float64 // part of the requests, by address, in the priority in use
}

type point struct {
	hash uint64
	addr string
}

// Route is what the proxy may do with a request of a class.
type Route struct {
	Cluster          string
	Timeout          time.Duration
	RetryOn          string
	MaxRetries       int
	Hedged           bool
	PerTryTimeout    time.Duration
	NotStartedHeader string // header of an answer that says so
}

// Find returns a server by id.
func (t *Table) Find(id string) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(t.Endpoints, id, func(e Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return Endpoint{}, false
	}
	return t.Endpoints[i], true
}

// Usable tells whether the picker may send anything to a server.
func (t *Table) Usable(id string) bool {
	e, ok := t.Find(id)
	return ok && !e.Draining && t.usable[e.Addr] > 0
}

// Route returns that of a class, or that of all others.
func (t *Table) Route(class string) *Route {
	if r, ok := t.routes[class]; ok {
		return &r
	}
	return t.rest
}

// build makes the table of what the proxy holds.
func (p *Proxy) build() *Table {
	t := &Table{routes: map[string]Route{}, usable: map[string]float64{}}
	for _, rc := range p.routes {
		for _, vh := range rc.GetVirtualHosts() {
			for _, r := range vh.GetRoutes() {
				a := r.GetRoute()
				rp := a.GetRetryPolicy()
				route := Route{Cluster: a.GetCluster(), Timeout: a.GetTimeout().AsDuration(), RetryOn: rp.GetRetryOn(),
					MaxRetries: int(rp.GetNumRetries().GetValue()), Hedged: a.GetHedgePolicy() != nil,
					PerTryTimeout: rp.GetPerTryTimeout().AsDuration()}
				for _, h := range rp.GetRetriableHeaders() {
					route.NotStartedHeader = h.GetName()
				}
				if hs := r.GetMatch().GetHeaders(); len(hs) == 1 {
					t.routes[hs[0].GetStringMatch().GetExact()] = route
				} else if t.rest == nil {
					t.rest = &route
				}
			}
		}
	}
	minimum := uint64(1024)
	for _, c := range p.clusters {
		t.factor = float64(c.GetCommonLbConfig().GetConsistentHashingLbConfig().GetHashBalanceFactor().GetValue()) / 100
		minimum = max(c.GetRingHashLbConfig().GetMinimumRingSize().GetValue(), 1)
	}
	type place struct {
		weight float64 // of the locality
		sum    float64 // of its usable servers
		all    []Endpoint
		raw    []float64
		prio   uint32
	}
	var places []*place
	for _, set := range p.sets {
		for _, d := range set.GetPolicy().GetDropOverloads() {
			t.DropFraction = max(t.DropFraction, float64(d.GetDropPercentage().GetNumerator())/100)
		}
		for _, l := range set.GetEndpoints() {
			pl := &place{weight: float64(l.GetLoadBalancingWeight().GetValue()), prio: l.GetPriority()}
			list := l.GetLbEndpoints()
			if c := l.GetLedsClusterLocalityConfig(); c != nil {
				for _, e := range p.single[c.GetLedsCollectionName()] {
					list = append(list, e)
				}
			}
			for _, e := range list {
				ep := Endpoint{ID: keyOf(e), Addr: addrOf(e), Zone: l.GetLocality().GetZone(), Priority: l.GetPriority(),
					Draining: e.GetHealthStatus() != 0 && e.GetHealthStatus() != 1}
				w := float64(max(e.GetLoadBalancingWeight().GetValue(), 1))
				pl.all, pl.raw = append(pl.all, ep), append(pl.raw, w)
				if !ep.Draining {
					pl.sum += w
				}
			}
			places = append(places, pl)
		}
	}
	// The first priority that has a usable server takes all: over-provisioned as the service says.
	best, total := uint32(math.MaxUint32), 0.0
	for _, pl := range places {
		if pl.sum > 0 {
			best = min(best, pl.prio)
		}
	}
	for _, pl := range places {
		if pl.prio == best && pl.sum > 0 {
			total += pl.weight
		}
	}
	parts := map[string]float64{}
	least := 1.0
	for _, pl := range places {
		for i := range pl.all {
			e := &pl.all[i]
			if pl.prio == best && !e.Draining && pl.sum > 0 && total > 0 {
				part := pl.weight / total * pl.raw[i] / pl.sum
				e.Weight = part * 1e6
				t.usable[e.Addr] += part
				parts[e.ID] = part
				least = min(least, part)
			}
			t.Endpoints = append(t.Endpoints, *e)
		}
	}
	slices.SortFunc(t.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	t.ring = sync.OnceValue(func() []point { return t.makeRing(parts, least, minimum) })
	return t
}

func keyOf(e *endpointv3.LbEndpoint) string {
	if k := e.GetMetadata().GetFilterMetadata()["envoy.lb"].GetFields()["hash_key"].GetStringValue(); k != "" {
		return k
	}
	return addrOf(e)
}

// makeRing places each server in proportion to its part, as ketama rings do: so many points that the
// smallest has one at least.
func (t *Table) makeRing(parts map[string]float64, least float64, minimum uint64) (ring []point) {
	if len(parts) == 0 {
		return nil
	}
	scale := math.Ceil(least*float64(minimum)) / least
	scale = min(scale, 8*float64(minimum))
	current, target := 0.0, 0.0
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		part, ok := parts[e.ID]
		if !ok {
			continue
		}
		target += part * scale
		for n := 0; current < target; n++ {
			ring = append(ring, point{hash(fmt.Sprintf("%s_%d", e.ID, n)), e.Addr})
			current++
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Pick walks the ring from the key's place to a server that is not over its bound; inflight tells how
// many requests an address has. "" where there is nobody.
func (t *Table) Pick(key string, inflight func(addr string) int, avoid map[string]bool) string {
	if t.ring == nil {
		return ""
	}
	ring := t.ring()
	h := hash(key)
	start := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= h })
	total := 0
	if t.factor > 0 && inflight != nil {
		for addr := range t.usable {
			total += inflight(addr)
		}
	}
	seen, last := map[string]bool{}, ""
	for i := range ring {
		addr := ring[(start+i)%len(ring)].addr
		if seen[addr] {
			continue
		}
		seen[addr] = true
		if last == "" || !avoid[addr] {
			last = addr
		}
		bound := math.Ceil(t.factor * float64(total+1) * t.usable[addr])
		if !avoid[addr] && (t.factor == 0 || inflight == nil || float64(inflight(addr)) < bound) {
			return addr
		}
		if len(seen) == len(t.usable) {
			break
		}
	}
	return last
}

// Shares are the parts of requests by server id, in the priority in use.
func (t *Table) Shares() map[string]float64 {
	out := map[string]float64{}
	for i := range t.Endpoints {
		if e := &t.Endpoints[i]; !e.Draining && t.usable[e.Addr] > 0 {
			out[e.ID] = t.usable[e.Addr]
		}
	}
	return out
}
