package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// controlPhase is an event in a deployment's operation, such as the loss of a zone.
type controlPhase struct {
	name     string
	minScale float64 // smallest scale at which the phase runs
	run      func(*controlRig, context.Context, *Report, *sizeCost) error
}

// controlPhases are the frequent and rare events that are measured at the target size.
var controlPhases = []controlPhase{
	{"zone", 0, (*controlRig).loseZone},
	{"dead agents", smokeScale, (*controlRig).killAgents},
	{"region", smokeScale, (*controlRig).partitionRegions},
	{"start", smokeScale, (*controlRig).restartAll},
	{"keepers", smokeScale, (*controlRig).loseReplicas},
}

// runPhases runs the phases and returns the number of elections. A phase that fails is reported.
func (r *controlRig) runPhases(ctx context.Context, rep *Report, idle *sizeCost) (elections int) {
	r.reportLatencies(rep, "healthy", idle.latencies)
	for _, p := range controlPhases {
		if r.o.Scale < p.minScale {
			continue
		}
		from := time.Now()
		if err := p.run(r, ctx, rep, idle); err != nil {
			rep.addShort("%s: %v", p.name, err)
		}
		r.o.logf("%s: %v", p.name, time.Since(from).Round(time.Millisecond))
		elections += r.logElections(ctx, p.name)
	}
	return elections
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// reportLatencies adds how long changes took until they were in force everywhere. With election ticks that
// are longer than deployed this is not compared with the limit.
func (r *controlRig) reportLatencies(rep *Report, phase string, latencies changeLatencies) {
	all := latencies.slowestAgent()
	rep.add(fmt.Sprintf("%s: in force everywhere, %d changes, p50", phase, len(all)), ms(percentile(all, 0.5)), "ms")
	rep.add("p99", ms(percentile(all, 0.99)), "ms")
	rep.add("max", ms(percentile(all, 1)), "ms")
	rep.add("at an agent p50", ms(percentile(latencies.perAgent(), 0.5)), "ms")
	if longest := percentile(all, 1); longest > maxInForceTime && r.times.tickMs == 0 {
		rep.addShort("%s: a change was in force everywhere after %v, limit %v", phase, longest.Round(time.Millisecond), maxInForceTime)
	}
}

// realAgentsIn returns the processes of real agents in zones.
func (r *controlRig) realAgentsIn(in func(zone int) bool) (ps []*cluster.Process) {
	for i, p := range r.Agents {
		if in(i % len(zoneNames)) {
			ps = append(ps, p)
		}
	}
	return ps
}

// loseZone kills a zone, a sixth of all agents and backends, publishes changes meanwhile, and starts the zone
// again all at once.
func (r *controlRig) loseZone(ctx context.Context, rep *Report, idle *sizeCost) error {
	lostZone := int(r.o.Seed % uint64(len(zoneNames)))
	inLostZone := func(zone int) bool { return zone == lostZone }
	z, realAgents := r.zones[lostZone], r.realAgentsIn(inLostZone)
	names, rest := r.names(inLostZone), r.names(func(zone int) bool { return zone != lostZone })
	var removed, restored []membership.Entry
	for _, e := range r.discovery.List().Entries {
		if e.Zone == zoneNames[lostZone] {
			restored = append(restored, e)
			e.State = membership.Removed
			removed = append(removed, e)
		}
	}
	z.p.Kill()
	for _, p := range realAgents {
		p.Kill()
	}
	r.discovery.Update(removed...)
	latencies, err := r.publishChanges(ctx, 2, r.Replicas, rest)
	if err != nil {
		return err
	}
	r.reportLatencies(rep, fmt.Sprintf("a zone of %d gone", len(names)), latencies)
	r.renewals.forget(names)
	before := r.takeSnapshot()
	for _, p := range append(realAgents, z.p) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	r.discovery.Update(restored...)
	times, err := r.awaitEpoch(ctx, names, sharedconfig.EpochOf(r.version), before.at, 60*time.Second)
	if err != nil {
		return err
	}
	return r.reportReturn(ctx, rep, "the zone's return", times, before, idle)
}

// reportReturn adds how long returning agents took and what they used until all follow discovery again.
func (r *controlRig) reportReturn(ctx context.Context, rep *Report, phase string, times []time.Duration, before usageSnapshot, idle *sizeCost) error {
	rep.add(phase+": until an agent holds a lease on the last version, p50", ms(percentile(times, 0.5)), "ms")
	rep.add("p99", ms(percentile(times, 0.99)), "ms")
	rep.add("max", ms(percentile(times, 1)), "ms")
	rep.add("asks in the busiest 100 ms", float64(r.renewals.peak(before.at)), "")
	if err := r.awaitDiscovery(ctx); err != nil {
		return err
	}
	after := r.takeSnapshot()
	x := r.rate(&before, &after)
	rep.add("until all follow discovery", x.span, "s")
	rep.add("processor of all keepers until then, beyond a quiet time", 10*x.span*(x.replicaCPU-idle.replicaCPU), "ms")
	rep.add("calls at discovery until then", x.discoveryCalls, "/s")
	rep.add("bytes at discovery until then", float64(after.discoveryBytes-before.discoveryBytes)/1024, "KB")
	return nil
}

// killAgents kills two agents just before a change, which has to wait for the expiry of their leases.
func (r *controlRig) killAgents(ctx context.Context, rep *Report, _ *sizeCost) error {
	var latencies changeLatencies
	killed := r.Agents[max(len(r.Agents)-2, 0):]
	var names []string
	for _, p := range killed {
		names = append(names, p.Name)
	}
	rest := slices.DeleteFunc(r.names(nil), func(n string) bool { return slices.Contains(names, n) })
	for range r.o.scaled(4, 2) {
		for _, p := range killed {
			p.Kill()
		}
		one, err := r.publishChanges(ctx, 1, r.Replicas, rest)
		if err != nil {
			return err
		}
		latencies = append(latencies, one...)
		r.renewals.forget(names)
		for _, p := range killed {
			if err := p.Start(); err != nil {
				return err
			}
		}
		if _, err := r.awaitEpoch(ctx, names, sharedconfig.EpochOf(r.version), time.Now(), 30*time.Second); err != nil {
			return err
		}
	}
	r.reportLatencies(rep, fmt.Sprintf("%d agents dead", len(killed)), latencies)
	return nil
}

// partitionRegions cuts the links between the two regions; the first has three replicas, the second two. A
// real partition may last an hour. The test covers the time until leases and server rules have expired and
// the changes of half an hour.
func (r *controlRig) partitionRegions(ctx context.Context, rep *Report, idle *sizeCost) error {
	side := func(region int) (ps []*cluster.Process) {
		for i, z := range r.zones {
			if regionOf(i) == region {
				ps = append(ps, z.p)
			}
		}
		ps = append(ps, r.realAgentsIn(func(zone int) bool { return regionOf(zone) == region })...)
		if region == 0 {
			return append(ps, r.Replicas[:3]...)
		}
		return append(ps, r.Replicas[3:]...)
	}
	setLinks := func(m cluster.Mode) {
		for _, p := range side(0) {
			r.SetLinks(p.Name, side(1), m, m)
		}
	}
	majorityAgents, minorityAgents := r.names(func(zone int) bool { return regionOf(zone) == 0 }), r.names(func(zone int) bool { return regionOf(zone) == 1 })
	leader, _ := r.Leader(ctx)
	leaderRegion := 1.0
	if leader != nil && slices.Contains(r.Replicas[:3], leader) {
		leaderRegion = 0
	}
	began := r.takeSnapshot()
	mode := cluster.Stall
	if r.times.syncDelayMs > 0 {
		// With slow disks the partition lasts longer, and each renewal that is abandoned on a stalled
		// connection keeps descriptors of the lab open: 20,000 were in use after 30 s with 470 agents.
		mode = cluster.Drop
	}
	setLinks(mode)
	// The first change waits for the leases of the minority; the others are published one after another.
	first, err := r.publishChanges(ctx, 1, r.Replicas[:3], majorityAgents)
	if err != nil {
		setLinks(cluster.Pass)
		return err
	}
	rest, err := r.publishChanges(ctx, r.o.scaled(targetChangesPerDay/48, 2), r.Replicas[:3], majorityAgents)
	if err != nil {
		setLinks(cluster.Pass)
		return err
	}
	// Leases and server rules of the minority side have expired by now, as the first change waited for that.
	rejecting, hollows, rulesEnd := 0, 0, time.Time{}
	for i, z := range r.zones {
		if regionOf(i) == 0 {
			continue
		}
		s, err := r.state(z)
		if err != nil {
			return err
		}
		rejecting, hollows = rejecting+s.Rejecting, hollows+len(z.names)
		if s.ServerRulesEnd.After(rulesEnd) {
			rulesEnd = s.ServerRulesEnd
		}
	}
	during := r.takeSnapshot()
	last := r.version
	from := time.Now()
	setLinks(cluster.Pass)
	back, err := r.awaitEpoch(ctx, minorityAgents, sharedconfig.EpochOf(last), from, 30*time.Second)
	if err != nil {
		return err
	}
	rep.add("regions cut: region of the keeper that led (0: with the majority)", leaderRegion, "")
	r.reportLatencies(rep, "regions cut, side with the majority, first change", first)
	r.reportLatencies(rep, "regions cut, side with the majority, further changes", rest)
	rep.add("regions cut, other side: refuses behind the cut after", ms(rulesEnd.Sub(began.at)), "ms")
	rep.add("hollow agents there that refuse", float64(rejecting), fmt.Sprintf("of %d", hollows))
	x := r.rate(&began, &during)
	rep.add("asks of both sides while cut", x.renewals, "/s")
	rep.add("processor of all keepers while cut", x.replicaCPU, "% of a core")
	r.reportLatencies(rep, "regions joined again, other side, the last version", changeLatencies{back})
	if rejecting != hollows {
		rep.addShort("regions cut: %d of %d hollow agents without a majority reject requests", rejecting, hollows)
	}
	if limit := time.Duration((r.times.leaseMs + r.times.serverRulesMs + 250) * float64(time.Millisecond)); rulesEnd.Sub(began.at) > limit {
		rep.addShort("regions cut: the minority side used its last server rules for %v, limit %v", rulesEnd.Sub(began.at), limit)
	}
	return nil
}

// restartAll kills all agents and starts them at once.
func (r *controlRig) restartAll(ctx context.Context, rep *Report, idle *sizeCost) error {
	for _, z := range r.zones {
		z.p.Kill()
	}
	for _, p := range r.Agents {
		p.Kill()
	}
	names := r.names(nil)
	r.renewals.forget(names)
	before := r.takeSnapshot()
	for _, z := range r.zones {
		if err := z.p.Start(); err != nil {
			return err
		}
	}
	for _, p := range r.Agents {
		if err := p.Start(); err != nil {
			return err
		}
	}
	times, err := r.awaitEpoch(ctx, names, sharedconfig.EpochOf(r.version), before.at, 60*time.Second)
	if err != nil {
		return err
	}
	return r.reportReturn(ctx, rep, fmt.Sprintf("%d agents started at once", len(names)), times, before, idle)
}

// loseReplicas kills the leader, and in a second round another replica too, publishes, and restarts them.
func (r *controlRig) loseReplicas(ctx context.Context, rep *Report, _ *sizeCost) error {
	for _, n := range []int{1, 2} {
		var leader *cluster.Process
		if err := cluster.Until(ctx, "a replica leads", 20*time.Second, func() bool { leader, _ = r.Leader(ctx); return leader != nil }); err != nil {
			return err
		}
		lost := []*cluster.Process{leader}
		var rest []*cluster.Process
		for _, replica := range r.Replicas {
			switch {
			case replica == leader:
			case len(lost) < n:
				lost = append(lost, replica)
			default:
				rest = append(rest, replica)
			}
		}
		leaseExpiries, err := r.leaseExpiries()
		if err != nil {
			return err
		}
		from := time.Now()
		for _, replica := range lost {
			replica.Kill()
		}
		first, err := r.publishChanges(ctx, 1, rest, r.names(nil))
		if err != nil {
			return err
		}
		peak := r.renewals.peak(from)
		further, err := r.publishChanges(ctx, 3, rest, r.names(nil))
		if err != nil {
			return err
		}
		phase := fmt.Sprintf("%d keepers lost, the leader among them", n)
		r.reportLatencies(rep, phase+", first change", first)
		r.reportLatencies(rep, phase+", further changes", further)
		rep.add("asks in the busiest 100 ms", float64(peak), "")
		after, err := r.leaseExpiries()
		if err != nil {
			return err
		}
		rep.add("leases renewed behind their end, of hollow agents", float64(after-leaseExpiries), "")
		for _, replica := range lost {
			if err := replica.Start(); err != nil {
				return err
			}
		}
		if err := cluster.Until(ctx, "the restarted replicas are up to date", 30*time.Second, func() bool { return r.replicasReached(ctx, lost, sharedconfig.EpochOf(r.version)) }); err != nil {
			return err
		}
	}
	return nil
}
