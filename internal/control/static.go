package control

import (
	"maps"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/control/resource"
)

// clusterRetirementDelay is how long clusters are served after the routes stopped referring to them, for
// proxies that have not applied the new routes yet.
const clusterRetirementDelay = 5 * time.Second

// staticResources contains the listeners, routes and clusters, which depend only on the configuration and the
// number of servers.
type staticResources struct {
	sets     map[string]*resource.Set // by type URL
	ringSize uint64
	// remaining is the set of clusters without those to be retired; nil: none are to be retired.
	remaining *resource.Set
}

// resizeRing renders the clusters again if the number of servers requires another ring size.
func (p *publisher) resizeRing(servers int) {
	if resource.RingSize(servers) == p.static.ringSize {
		return
	}
	if err := p.renderStatic(servers); err != nil {
		p.log.Error("clusters could not be rendered; keeping the previous ones", "err", err)
	}
}

// renderStatic renders listeners, routes and clusters from the configuration. Clusters that only earlier
// routes refer to are kept until their retirement.
func (p *publisher) renderStatic(servers int) error {
	service := p.cfg().service()
	clusters, err := service.Clusters(servers)
	if err != nil {
		return err
	}
	routes, err := service.RouteConfig()
	if err != nil {
		return err
	}
	listeners, err := service.Listeners()
	if err != nil {
		return err
	}
	next := map[string]*resource.Set{
		resource.Listener: resource.NewSet(listeners...),
		resource.Route:    resource.NewSet(routes),
		resource.Cluster:  p.withRetiringClusters(clusters),
	}
	for typeURL, set := range next {
		if old := p.static.sets[typeURL]; old != nil && old.Version == set.Version {
			next[typeURL] = old
		}
	}
	p.static.sets = next
	p.static.ringSize = resource.RingSize(servers)
	return nil
}

// withRetiringClusters returns a set of the clusters and of those that were in the previous set but are no
// longer among them, and schedules the retirement of the latter.
func (p *publisher) withRetiringClusters(clusters []*resource.Resource) *resource.Set {
	remaining := resource.NewSet(clusters...)
	old := p.static.sets[resource.Cluster]
	if old == nil {
		return remaining
	}
	_, removed := remaining.Diff(old)
	if len(removed) == 0 {
		return remaining
	}
	p.static.remaining = remaining
	both := slices.Clone(clusters)
	for _, name := range removed {
		both = append(both, old.Get(name))
	}
	time.AfterFunc(clusterRetirementDelay, func() {
		p.post(func() { p.retireClusters(remaining) })
	})
	return resource.NewSet(both...)
}

// retireClusters publishes the remaining clusters, unless a newer configuration has replaced them since.
func (p *publisher) retireClusters(remaining *resource.Set) {
	if p.static.remaining != remaining {
		return
	}
	sets := maps.Clone(p.static.sets)
	sets[resource.Cluster] = remaining
	p.static.sets = sets
	p.static.remaining = nil
	p.publish(p.clock.Ms(), "")
}
