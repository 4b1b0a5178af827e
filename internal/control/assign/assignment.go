package assign

import (
	"cmp"
	"math"
	"slices"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// recoveryWeightFraction is the fraction of its weight that a server gets when its ejection time has expired
// but no request has succeeded since: enough requests to detect its recovery, few that can fail.
const recoveryWeightFraction = 0.1

// Tier ranks the servers of an assignment by preference. Proxies receive it as a priority.
type Tier uint8

// The tiers, best first.
const (
	Healthy    Tier = iota // Connected or Unknown
	Pending                // UnhealthyPending
	LastResort             // Unhealthy, or in slow start with no load allowed yet
)

// Endpoint is one server in an assignment. The JSON keys are those of the admin endpoint.
type Endpoint struct {
	ID, Addr, Zone string
	Tier           Tier
	Draining       bool   // remains in the assignment, but gets no new requests
	Weight         uint32 // at least 1
	SlowStart      bool   `json:"Cold"`
}

// Assignment is the desired endpoint configuration of all proxies in a group. It is immutable once returned
// and may be read from any goroutine.
type Assignment struct {
	Zone      string // zone of the group's proxies
	Endpoints []Endpoint
	// ShedPercent is the percentage of requests that proxies reject without sending them to a server.
	ShedPercent int `json:"Shed"`
	// LocalityWeightPercent is the weight of a server in the group's own zone, as a percentage of the
	// weight in another zone.
	LocalityWeightPercent int `json:"Own"`

	index       map[string]int // index into Endpoints, by ID
	bestTier    Tier           // the best tier with a server that is not draining
	totalWeight float64        // total weight of the best tier, locality weight included
}

// Share returns the fraction of a proxy's requests, 0 to 1, that a server gets by the weights of the
// assignment. The actual fraction deviates from it with hot keys and bounded loads. It is 0 for a nil
// assignment.
func (a *Assignment) Share(id string) float64 {
	if a == nil {
		return 0
	}
	i, ok := a.index[id]
	if !ok || a.totalWeight == 0 {
		return 0
	}
	e := &a.Endpoints[i]
	if e.Draining || e.Tier != a.bestTier {
		return 0
	}
	return a.weight(e) / a.totalWeight
}

// weight returns the weight of a server, locality weight included.
func (a *Assignment) weight(e *Endpoint) float64 {
	w := float64(e.Weight)
	if e.Zone == a.Zone {
		w *= float64(a.LocalityWeightPercent) / 100
	}
	return w
}

// buildIndex computes the fields that Share reads, and returns the assignment.
func (a *Assignment) buildIndex() *Assignment {
	a.index = make(map[string]int, len(a.Endpoints))
	a.bestTier = LastResort
	for i := range a.Endpoints {
		e := &a.Endpoints[i]
		a.index[e.ID] = i
		if !e.Draining {
			a.bestTier = min(a.bestTier, e.Tier)
		}
	}
	for i := range a.Endpoints {
		if e := &a.Endpoints[i]; !e.Draining && e.Tier == a.bestTier {
			a.totalWeight += a.weight(e)
		}
	}
	return a
}

func (a *Assignment) equal(b *Assignment) bool {
	return b != nil &&
		a.Zone == b.Zone &&
		a.ShedPercent == b.ShedPercent &&
		a.LocalityWeightPercent == b.LocalityWeightPercent &&
		slices.Equal(a.Endpoints, b.Endpoints)
}

// baseEndpoint contains the properties of an endpoint that are the same for all groups.
type baseEndpoint struct {
	Endpoint
	fullWeight float64 // weight outside slow start, in units of the constant fullWeight
	loadShare  float64 // fraction of an even share that the server may get, 0 to 1
}

// baseEndpoints returns the servers in the last balancer view, sorted by ID, and records which of them are
// Unhealthy.
func (a *Assigner) baseEndpoints() []baseEndpoint {
	base := make([]baseEndpoint, 0, len(a.servers))
	clear(a.unhealthySince)
	for id, s := range a.servers {
		if s.entry.Health() != policy.Ready {
			// The balancer drops draining servers, but proxies that use one have to be notified that it
			// drains.
			base = append(base, baseEndpoint{
				Endpoint:   Endpoint{ID: id, Addr: s.entry.Addr, Zone: s.entry.Zone, Draining: true},
				fullWeight: max(listedWeight(s.entry.Weight)*fullWeight, 1),
			})
		}
	}
	for i := range a.views {
		view := &a.views[i]
		if s := a.byPolicyAddr[view.Server]; s != nil && view.Usable {
			base = append(base, a.baseEndpoint(view, &s.entry))
		}
	}
	slices.SortFunc(base, func(x, y baseEndpoint) int { return cmp.Compare(x.ID, y.ID) })
	return base
}

// baseEndpoint maps the balancer's view of a usable server to its tier and weight.
func (a *Assigner) baseEndpoint(view *policy.View, entry *membership.Entry) baseEndpoint {
	e := baseEndpoint{
		Endpoint:   Endpoint{ID: entry.ID, Addr: entry.Addr, Zone: entry.Zone, SlowStart: view.WarmUpFraction < 1},
		fullWeight: max(view.Weight*fullWeight, 1),
		loadShare:  view.LoadShare,
	}
	switch {
	case view.State == policy.UnhealthyPending:
		e.Tier = Pending
	case view.State == policy.Unhealthy:
		e.Tier = LastResort
		a.unhealthySince[entry.ID] = view.StateSinceMs
	case view.State == policy.Unknown && view.Ejections > 0:
		e.fullWeight = max(e.fullWeight*recoveryWeightFraction, 1)
	}
	return e
}

// listedWeight returns the weight from the endpoint list, or 1 where it is missing, as in the balancer.
func listedWeight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// build returns the assignment of a group, given the base endpoints and the slow-start level of each server
// in slow start.
func (a *Assigner) build(zone string, g *group, base []baseEndpoint, levels map[string]int) *Assignment {
	assignment := &Assignment{
		Zone:                  zone,
		Endpoints:             make([]Endpoint, 0, len(base)),
		ShedPercent:           int(math.Round(a.balancer.ShedFraction() * 100)),
		LocalityWeightPercent: int(math.Round(g.localityWeight*10)) * 10,
	}
	for i := range base {
		e := base[i].Endpoint
		w := base[i].fullWeight
		if e.SlowStart {
			level := levels[e.ID]
			if level == 0 {
				e.Tier = LastResort
				level = 1
			}
			w *= float64(level) / slowStartLevels
		}
		e.Weight = uint32(max(w, 1))
		assignment.Endpoints = append(assignment.Endpoints, e)
	}
	return assignment
}
