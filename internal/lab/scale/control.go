package scale

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// The target size, and the limits of what the control plane may use of an agent's machine.
const (
	targetAgents               = 470
	targetChangesPerDay        = 280 // a day
	maxInForceTime             = 8 * time.Second
	maxAgentCPU                = 4.9 // % of a core
	maxAgentMB, maxAgentKBPerS = 32.0, 7.0
)

const (
	// Below quickScale, leases and the interval of first discovery polls are shorter than deployed, so that
	// waiting for them fits into the run. Below smokeScale the test only shows that it works, and its figures
	// mean nothing.
	quickScale, smokeScale = 0.3, 0.05
)

// times returns the times for the scale: as in deploy/keeper.toml and in the contract's settings, or shorter.
func (o *Options) times() controlTimes {
	switch {
	case o.Scale < smokeScale:
		return controlTimes{pollSlots: 4, pollIntervalMs: 2000, leaseMs: 400, serverRulesMs: 200}
	case o.Scale < quickScale:
		return controlTimes{pollSlots: 4, pollIntervalMs: 2000, leaseMs: 900, serverRulesMs: 900}
	}
	return controlTimes{pollSlots: o.scaled(2*targetAgents, 1), pollIntervalMs: 10_000, leaseMs: 2000, serverRulesMs: 3000}
}

// scaled returns n at the scale, but at least the minimum.
func (o *Options) scaled(n, minimum int) int { return max(int(float64(n)*o.Scale), minimum) }

// sizeCost is what was measured at one size: an idle interval, and what a change used in addition.
type sizeCost struct {
	rate
	replicaMs, busiestReplicaMs float64 // processor time per change
	realMs, hollowMs            float64 // per change and agent
	realKB, hollowKB            float64 // bytes per change and agent
	renewalsPerAgent            float64 // renewals per change and agent
	immediatePerAgent           float64 // renewals without waiting, as after a failed one
	elections                   float64 // new terms of replicas during all changes
	latencies                   changeLatencies
	toolCosts                   map[string]toolCost
}

// Control measures what the control plane of a deployment uses. It measures agents, replicas and discovery,
// idle and during changes, at three sizes, at the target size and at twice that. At the target size it also
// measures how long a change takes to be in force everywhere while parts of the deployment are down, and what
// their return costs.
func Control(ctx context.Context, o *Options) (*Report, error) {
	if o.SlowDisk {
		return measureSlowDisks(ctx, o)
	}
	defect := ""
	if o.Defect {
		defect = defectNoWait
	}
	r := &Report{Test: "control", Seed: o.Seed, Scale: o.Scale}
	sizes := []int{o.scaled(60, 7), o.scaled(120, 9), o.scaled(240, 12)}
	target, beyondTarget := o.scaled(targetAgents, 18), o.scaled(2*targetAgents, 0)
	realAgents := o.scaled(10, 1)
	rig, err := newControlRig(ctx, o, defect, o.times())
	if err != nil {
		return nil, err
	}
	defer rig.stop()
	checkedSizes := []int{target}
	if beyondTarget > target && o.Scale >= smokeScale {
		checkedSizes = append(checkedSizes, beyondTarget)
	}
	costs, elections := map[int]*sizeCost{}, 0
	for _, n := range slices.Concat(sizes, checkedSizes) {
		if err := rig.grow(ctx, n, realAgents); err != nil {
			r.addShort("at %d agents: %v", n, err)
			break // report what was measured so far
		}
		changes := o.scaled(10, 1)
		if n > target {
			changes = o.scaled(3, 1)
		}
		c, err := rig.measure(ctx, changes)
		if err != nil {
			r.addShort("at %d agents: %v", n, err)
			break
		}
		costs[n] = c
		if c.toolCosts, err = rig.measureTools(ctx); err != nil {
			r.addShort("at %d agents: tools: %v", n, err)
		}
		o.logf("%d agents: %.1f renewals/s, agent %.2f %%, replicas %.1f %%; per change: in force after %v, busiest replica %.0f ms, %.2f renewals per agent, %.2f of them without waiting; %.0f new terms",
			n, c.renewals, c.realCPU, c.replicaCPU, percentile(c.latencies.slowestAgent(), 0.5), c.busiestReplicaMs, c.renewalsPerAgent, c.immediatePerAgent, c.elections)
		elections += rig.logElections(ctx, fmt.Sprintf("growth to %d agents", n))
		if n == target {
			elections += rig.runPhases(ctx, r, c)
		}
	}
	checkedSizes = slices.DeleteFunc(checkedSizes, func(n int) bool { return costs[n] == nil })
	if len(checkedSizes) == 0 {
		return r, ctx.Err()
	}
	for _, at := range checkedSizes {
		for _, l := range slices.Concat(controlLines, toolLines()) {
			var points []Point
			for _, n := range sizes {
				points = append(points, Point{float64(n), l.of(costs[n])})
			}
			r.Lines = append(r.Lines, Fit(l.name, l.unit, points, float64(at), l.of(costs[at])))
		}
	}
	c := costs[target]
	perDay := func(of float64) float64 { return of * targetChangesPerDay }
	r.add(fmt.Sprintf("%d changes a day (by %d measured), processor of an agent", targetChangesPerDay, len(c.latencies)), perDay(c.realMs)/1000, "s a day")
	r.add("bytes of an agent", perDay(c.realKB)/1024, "MB a day")
	r.add("processor of all keepers", perDay(c.replicaMs)/1000, "s a day")
	r.add("quiet, by the hour (from a shorter time): processor of an agent", c.realCPU*36, "s an hour")
	r.add("bytes of an agent", c.rate.realKB*3600/1024, "MB an hour")
	r.add("processor of all keepers", c.replicaCPU*36, "s an hour")
	r.add("elections that keepers told of, those of keepers that were killed among them", float64(elections), "")
	r.add("state of a keeper on its disk", c.replicaStateKB, "KB")
	if o.Scale < smokeScale { // the interval is 0.1 s: a single 10 ms tick of processor time exceeds the limit
		c.realCPU, c.hollowCPU = 0, 0
	}
	for _, b := range []struct {
		what        string
		value, most float64
	}{{"processor of an agent, % of a core", c.realCPU, maxAgentCPU}, {"memory of an agent, MB", c.realMB, maxAgentMB}, {"bytes of an agent, KB/s", c.rate.realKB, maxAgentKBPerS},
		{"processor of a hollow agent, % of a core", c.hollowCPU, maxAgentCPU}, {"memory of a hollow agent, MB", c.hollowMB, maxAgentMB},
		{"bytes of a hollow agent, KB/s", c.rate.hollowKB, maxAgentKBPerS}} {
		if b.value > b.most {
			r.addShort("at %d agents: %s: %.3g, limit %.3g", target, b.what, b.value, b.most)
		}
	}
	return r, rig.checkConfigs(r)
}

func (r *Report) addShort(format string, args ...any) {
	r.Short = append(r.Short, fmt.Sprintf(format, args...))
}

// controlLine is a figure that grows with the number of agents.
type controlLine struct {
	name, unit string
	of         func(*sizeCost) float64
}

var controlLines = []controlLine{
	{"agent, processor", "% of a core", func(c *sizeCost) float64 { return c.realCPU }},
	{"agent, memory", "MB", func(c *sizeCost) float64 { return c.realMB }},
	{"agent, bytes", "KB/s", func(c *sizeCost) float64 { return c.rate.realKB }},
	{"hollow agent, processor", "% of a core", func(c *sizeCost) float64 { return c.hollowCPU }},
	{"hollow agent, memory kept", "MB", func(c *sizeCost) float64 { return c.hollowMB }},
	{"hollow agent, bytes", "KB/s", func(c *sizeCost) float64 { return c.rate.hollowKB }},
	{"discovery, calls", "/s", func(c *sizeCost) float64 { return c.discoveryCalls }},
	{"discovery, bytes", "KB/s", func(c *sizeCost) float64 { return c.discoveryKB }},
	{"keepers, asks", "/s", func(c *sizeCost) float64 { return c.renewals }},
	{"keepers, processor of all 5", "% of a core", func(c *sizeCost) float64 { return c.replicaCPU }},
	{"keeper, processor of the busiest", "% of a core", func(c *sizeCost) float64 { return c.busiestReplicaCPU }},
	{"keeper, memory of the largest", "MB", func(c *sizeCost) float64 { return c.replicaMB }},
	{"keepers, bytes with agents", "KB/s", func(c *sizeCost) float64 { return c.agentReplicaKB }},
	{"keepers, bytes among them", "KB/s", func(c *sizeCost) float64 { return c.replicaKB }},
	{"a change, processor of all 5 keepers", "ms", func(c *sizeCost) float64 { return c.replicaMs }},
	{"a change, processor of the busiest keeper", "ms", func(c *sizeCost) float64 { return c.busiestReplicaMs }},
	{"a change, asks of an agent", "", func(c *sizeCost) float64 { return c.renewalsPerAgent }},
	{"a change, asks of an agent behind a failed one", "", func(c *sizeCost) float64 { return c.immediatePerAgent }},
	{"changes, terms of keepers that began meanwhile", "", func(c *sizeCost) float64 { return c.elections }},
	{"a change, processor of an agent", "ms", func(c *sizeCost) float64 { return c.realMs }},
	{"a change, processor of a hollow agent", "ms", func(c *sizeCost) float64 { return c.hollowMs }},
	{"a change, bytes of a hollow agent", "KB", func(c *sizeCost) float64 { return c.hollowKB }},
}

// measure measures an interval without changes, and then some changes.
func (r *controlRig) measure(ctx context.Context, changes int) (*sizeCost, error) {
	idleBegan := r.takeSnapshot()
	select {
	case <-time.After(time.Duration(max(8*r.o.Scale, 0.1) * float64(time.Second))):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	idleEnded, before := r.takeSnapshot(), r.term(ctx)
	latencies, err := r.publishChanges(ctx, changes, r.Replicas, r.names(nil))
	if err != nil {
		return nil, err
	}
	changesEnded, elections := r.takeSnapshot(), r.term(ctx)-before
	// Hollow agents' memory is measured after a garbage collection: in a process with many agents the
	// uncollected memory says nothing about one agent.
	idleEnded.hollowRSS = 0
	for _, z := range r.zones {
		if err := r.callZone(z, http.MethodPost, "/collect", nil); err != nil {
			return nil, err
		}
		idleEnded.hollowRSS += z.p.RSS() - z.baseRSS
	}
	c := &sizeCost{rate: r.rate(&idleBegan, &idleEnded), latencies: latencies, elections: elections}
	during := r.rate(&idleEnded, &changesEnded)
	// Converts percent of a core or KB/s during the changes to what one change used beyond the idle rate.
	spanPerChange := during.span / float64(changes)
	// Negative differences are within the 10 ms resolution of the processor times, and count as 0.
	beyond := func(during, idle, unit float64) float64 { return max(unit*spanPerChange*(during-idle), 0) }
	c.replicaMs, c.busiestReplicaMs = beyond(during.replicaCPU, c.replicaCPU, 10), beyond(during.busiestReplicaCPU, c.busiestReplicaCPU, 10)
	c.realMs, c.hollowMs = beyond(during.realCPU, c.realCPU, 10), beyond(during.hollowCPU, c.hollowCPU, 10)
	c.renewalsPerAgent, c.immediatePerAgent = float64(changesEnded.renewals-idleEnded.renewals)/float64(changes*r.n), float64(changesEnded.immediateRenewals-idleEnded.immediateRenewals)/float64(changes*r.n)
	c.realKB, c.hollowKB = beyond(during.realKB, c.rate.realKB, 1), beyond(during.hollowKB, c.rate.hollowKB, 1)
	return c, nil
}

// checkConfigs reports hollow agents that received a configuration other than the published one, and zones
// whose agents received none, or several, of the last version.
func (r *controlRig) checkConfigs(rep *Report) error {
	for _, z := range r.zones {
		s, err := r.state(z)
		if err != nil {
			return err
		}
		for epoch, digests := range s.Configs {
			for digest, n := range digests {
				if epoch%2 == 0 && digest != configOf(epoch/2).Digest() {
					rep.addShort("%s: %d agents received configuration %s as version %d", z.p.Name, n, digest, epoch/2)
				}
			}
		}
		if n := s.Configs[sharedconfig.EpochOf(r.version)]; len(n) != 1 {
			rep.addShort("%s: agents by digest received as the last version: %v", z.p.Name, n)
		}
	}
	return nil
}

// leaseExpiries returns how many leases of hollow agents were renewed after their expiry since their last
// start.
func (r *controlRig) leaseExpiries() (n int, err error) {
	for _, z := range r.zones {
		s, err := r.state(z)
		if err != nil {
			return 0, err
		}
		n += s.Expiries
	}
	return n, nil
}
