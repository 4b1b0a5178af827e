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

// controlPhase is a day, compressed to seconds.
type controlPhase struct {
	name  string
	least float64 // the scale from which on it is run
	run   func(*controlRig, context.Context, *Report, *sizeCost) error
}

// controlPhases are the ordinary and the rare days of the aimed size.
var controlPhases = []controlPhase{
	{"zone", 0, (*controlRig).zoneGone},
	{"dead agents", small, (*controlRig).deadAgents},
	{"region", small, (*controlRig).regionCut},
	{"start", small, (*controlRig).startAll},
	{"keepers", small, (*controlRig).keepersLost},
}

// phases runs the days. One that does not come to its end falls short. It returns how many elections there were.
func (r *controlRig) phases(ctx context.Context, rep *Report, quiet *sizeCost) (elections int) {
	r.report(rep, "healthy", quiet.took)
	for _, p := range controlPhases {
		if r.o.Scale < p.least {
			continue
		}
		from := time.Now()
		if err := p.run(r, ctx, rep, quiet); err != nil {
			rep.short("%s: %v", p.name, err)
		}
		r.o.logf("%s: %v", p.name, time.Since(from).Round(time.Millisecond))
		elections += r.elections(ctx, p.name)
	}
	return elections
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// report adds how long changes took until they were in force everywhere. With ticks longer than deployed that means
// nothing, and is not judged.
func (r *controlRig) report(rep *Report, phase string, took inForce) {
	all := took.everywhere()
	rep.add(fmt.Sprintf("%s: in force everywhere, %d changes, p50", phase, len(all)), ms(percentile(all, 0.5)), "ms")
	rep.add("p99", ms(percentile(all, 0.99)), "ms")
	rep.add("max", ms(percentile(all, 1)), "ms")
	rep.add("at an agent p50", ms(percentile(took.agents(), 0.5)), "ms")
	if most := percentile(all, 1); most > aimInForce && r.times.tickMs == 0 {
		rep.short("%s: a change was in force everywhere after %v, %v at the most", phase, most.Round(time.Millisecond), aimInForce)
	}
}

// realsIn are the product's processes in zones.
func (r *controlRig) realsIn(in func(zone int) bool) (ps []*cluster.Process) {
	for i, p := range r.Agents {
		if in(i % len(zoneNames)) {
			ps = append(ps, p)
		}
	}
	return ps
}

// zoneGone has a zone vanish, a sixth of all, agents and backends; a change comes meanwhile; and it returns at once.
func (r *controlRig) zoneGone(ctx context.Context, rep *Report, quiet *sizeCost) error {
	gone := int(r.o.Seed % uint64(len(zoneNames)))
	in := func(zone int) bool { return zone == gone }
	z, reals := r.zones[gone], r.realsIn(in)
	names, rest := r.names(in), r.names(func(zone int) bool { return zone != gone })
	var out, back []membership.Entry
	for _, e := range r.roster.List().Entries {
		if e.Zone == zoneNames[gone] {
			back = append(back, e)
			e.State = membership.Removed
			out = append(out, e)
		}
	}
	z.p.Kill()
	for _, p := range reals {
		p.Kill()
	}
	r.roster.Update(out...)
	took, err := r.changes(ctx, 2, r.Replicas, rest)
	if err != nil {
		return err
	}
	r.report(rep, fmt.Sprintf("a zone of %d gone", len(names)), took)
	r.asks.forget(names)
	before := r.usage()
	for _, p := range append(reals, z.p) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	r.roster.Update(back...)
	times, err := r.held(ctx, names, sharedconfig.EpochOf(r.version), before.at, 60*time.Second)
	if err != nil {
		return err
	}
	return r.returned(ctx, rep, "the zone's return", times, before, quiet)
}

// returned adds what a return of agents took and cost, until all follow discovery again.
func (r *controlRig) returned(ctx context.Context, rep *Report, phase string, times []time.Duration, before counted, quiet *sizeCost) error {
	rep.add(phase+": until an agent holds a lease on the last version, p50", ms(percentile(times, 0.5)), "ms")
	rep.add("p99", ms(percentile(times, 0.99)), "ms")
	rep.add("max", ms(percentile(times, 1)), "ms")
	rep.add("asks in the busiest 100 ms", float64(r.asks.peak(before.at)), "")
	if err := r.followed(ctx); err != nil {
		return err
	}
	after := r.usage()
	x := r.rate(&before, &after)
	rep.add("until all follow discovery", x.span, "s")
	rep.add("processor of all keepers until then, beyond a quiet time", 10*x.span*(x.keeperCPU-quiet.keeperCPU), "ms")
	rep.add("calls at discovery until then", x.discoveryCalls, "/s")
	rep.add("bytes at discovery until then", float64(after.discoveryBytes-before.discoveryBytes)/1024, "KB")
	return nil
}

// deadAgents kills two agents just before a change, so that it waits for the end of their leases.
func (r *controlRig) deadAgents(ctx context.Context, rep *Report, _ *sizeCost) error {
	var took inForce
	dead := r.Agents[max(len(r.Agents)-2, 0):]
	var names []string
	for _, p := range dead {
		names = append(names, p.Name)
	}
	rest := slices.DeleteFunc(r.names(nil), func(n string) bool { return slices.Contains(names, n) })
	for range r.o.scaled(4, 2) {
		for _, p := range dead {
			p.Kill()
		}
		f, err := r.changes(ctx, 1, r.Replicas, rest)
		if err != nil {
			return err
		}
		took = append(took, f...)
		r.asks.forget(names)
		for _, p := range dead {
			if err := p.Start(); err != nil {
				return err
			}
		}
		if _, err := r.held(ctx, names, sharedconfig.EpochOf(r.version), time.Now(), 30*time.Second); err != nil {
			return err
		}
	}
	r.report(rep, fmt.Sprintf("%d agents dead", len(dead)), took)
	return nil
}

// regionCut has the two regions lose each other: three keepers are in the first, two in the second. Of the hour that it
// may last, the time in which leases and the word on servers end is played, and the changes of half an hour.
func (r *controlRig) regionCut(ctx context.Context, rep *Report, quiet *sizeCost) error {
	side := func(region int) (ps []*cluster.Process) {
		for i, z := range r.zones {
			if regionOf(i) == region {
				ps = append(ps, z.p)
			}
		}
		ps = append(ps, r.realsIn(func(zone int) bool { return regionOf(zone) == region })...)
		if region == 0 {
			return append(ps, r.Replicas[:3]...)
		}
		return append(ps, r.Replicas[3:]...)
	}
	cut := func(m cluster.Mode) {
		for _, p := range side(0) {
			r.SetLinks(p.Name, side(1), m, m)
		}
	}
	a, b := r.names(func(zone int) bool { return regionOf(zone) == 0 }), r.names(func(zone int) bool { return regionOf(zone) == 1 })
	lead, _ := r.Leader(ctx)
	leads := 1.0
	if lead != nil && slices.Contains(r.Replicas[:3], lead) {
		leads = 0
	}
	began := r.usage()
	mode := cluster.Stall
	if r.times.syncMs > 0 {
		// The cut lasts for longer then, and each ask that is given up on a connection that stalls keeps the lab's
		// descriptors: 20,000 were gone after 30 s of 470 agents.
		mode = cluster.Drop
	}
	cut(mode)
	// The first change waits for the leases on the other side; of the others one is published behind the other.
	first, err := r.changes(ctx, 1, r.Replicas[:3], a)
	if err != nil {
		cut(cluster.Pass)
		return err
	}
	rest, err := r.changes(ctx, r.o.scaled(aimChanges/48, 2), r.Replicas[:3], a)
	if err != nil {
		cut(cluster.Pass)
		return err
	}
	// Both leases and words on servers of the side without a majority are over by now: the first change waited for that.
	refusing, hollows, lists := 0, 0, time.Time{}
	for i, z := range r.zones {
		if regionOf(i) == 0 {
			continue
		}
		s, err := r.state(z)
		if err != nil {
			return err
		}
		refusing, hollows = refusing+s.Refusing, hollows+len(z.names)
		if s.ListsEnd.After(lists) {
			lists = s.ListsEnd
		}
	}
	during := r.usage()
	last := r.version
	from := time.Now()
	cut(cluster.Pass)
	back, err := r.held(ctx, b, sharedconfig.EpochOf(last), from, 30*time.Second)
	if err != nil {
		return err
	}
	rep.add("regions cut: region of the keeper that led (0: with the majority)", leads, "")
	r.report(rep, "regions cut, side with the majority, first change", first)
	r.report(rep, "regions cut, side with the majority, further changes", rest)
	rep.add("regions cut, other side: refuses behind the cut after", ms(lists.Sub(began.at)), "ms")
	rep.add("hollow agents there that refuse", float64(refusing), fmt.Sprintf("of %d", hollows))
	x := r.rate(&began, &during)
	rep.add("asks of both sides while cut", x.asks, "/s")
	rep.add("processor of all keepers while cut", x.keeperCPU, "% of a core")
	r.report(rep, "regions joined again, other side, the last version", inForce{back})
	if refusing != hollows {
		rep.short("regions cut: %d of %d hollow agents without a majority refuse", refusing, hollows)
	}
	if most := time.Duration((r.times.leaseMs + r.times.listMs + 250) * float64(time.Millisecond)); lists.Sub(began.at) > most {
		rep.short("regions cut: the other side went by the old word for %v, %v at the most", lists.Sub(began.at), most)
	}
	return nil
}

// startAll ends all agents and starts them at once.
func (r *controlRig) startAll(ctx context.Context, rep *Report, quiet *sizeCost) error {
	for _, z := range r.zones {
		z.p.Kill()
	}
	for _, p := range r.Agents {
		p.Kill()
	}
	names := r.names(nil)
	r.asks.forget(names)
	before := r.usage()
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
	times, err := r.held(ctx, names, sharedconfig.EpochOf(r.version), before.at, 60*time.Second)
	if err != nil {
		return err
	}
	return r.returned(ctx, rep, fmt.Sprintf("%d agents started at once", len(names)), times, before, quiet)
}

// keepersLost kills the keeper that leads, and a second one with it, publishes, and starts them again.
func (r *controlRig) keepersLost(ctx context.Context, rep *Report, _ *sizeCost) error {
	for _, n := range []int{1, 2} {
		var lead *cluster.Process
		if err := cluster.Until(ctx, "a keeper leads", 20*time.Second, func() bool { lead, _ = r.Leader(ctx); return lead != nil }); err != nil {
			return err
		}
		lost := []*cluster.Process{lead}
		var rest []*cluster.Process
		for _, k := range r.Replicas {
			switch {
			case k == lead:
			case len(lost) < n:
				lost = append(lost, k)
			default:
				rest = append(rest, k)
			}
		}
		lapses, err := r.lapses()
		if err != nil {
			return err
		}
		from := time.Now()
		for _, k := range lost {
			k.Kill()
		}
		took, err := r.changes(ctx, 1, rest, r.names(nil))
		if err != nil {
			return err
		}
		peak := r.asks.peak(from)
		more, err := r.changes(ctx, 3, rest, r.names(nil))
		if err != nil {
			return err
		}
		phase := fmt.Sprintf("%d keepers lost, the leader among them", n)
		r.report(rep, phase+", first change", took)
		r.report(rep, phase+", further changes", more)
		rep.add("asks in the busiest 100 ms", float64(peak), "")
		after, err := r.lapses()
		if err != nil {
			return err
		}
		rep.add("leases renewed behind their end, of hollow agents", float64(after-lapses), "")
		for _, k := range lost {
			if err := k.Start(); err != nil {
				return err
			}
		}
		if err := cluster.Until(ctx, "the keepers are back", 30*time.Second, func() bool { return r.up(ctx, lost, sharedconfig.EpochOf(r.version)) }); err != nil {
			return err
		}
	}
	return nil
}
