package control

import (
	"maps"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/control/resource"
)

// clusterRetirement is how long clusters stay that the routes no longer refer to, for proxies that have not
// taken the new routes yet.
const clusterRetirement = 5 * time.Second

// staticResources are the listeners, routes and clusters: what depends on the configuration and the number of
// servers only.
type staticResources struct {
	sets     map[string]*resource.Set // by type URL
	ringSize uint64
	// remaining is the set of clusters without those that wait for their retirement; nil: none wait.
	remaining *resource.Set
}

// resizeRing renders the clusters again where the number of servers needs another ring size.
func (p *publisher) resizeRing(servers int) {
	if resource.RingSize(servers) == p.static.ringSize {
		return
	}
	if err := p.renderStatic(servers); err != nil {
		p.log.Error("clusters not rendered, the last ones stay in use", "err", err)
	}
}

// renderStatic renders listeners, routes and clusters from the configuration. Clusters that only older routes
// name stay until their retirement.
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
		resource.Cluster:  p.keepRetiring(clusters),
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

// keepRetiring returns the set of the clusters, with those of the last set that are no longer among them, and
// schedules the retirement of these.
func (p *publisher) keepRetiring(clusters []*resource.Resource) *resource.Set {
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
	time.AfterFunc(clusterRetirement, func() {
		p.post(func() { p.retireClusters(remaining) })
	})
	return resource.NewSet(both...)
}

// retireClusters publishes the remaining clusters, unless a newer configuration has replaced them.
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
