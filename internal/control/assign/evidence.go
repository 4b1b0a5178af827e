package assign

import (
	"math"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// ServerLoad is what a proxy saw of one server since its last report.
type ServerLoad struct {
	Addr                       string // host:port
	Served, Failed, InProgress float64
	Issued                     float64
	Rejected                   float64 // by a named metric, where there is one
}

// Report is what a proxy saw since its last report.
type Report struct {
	IntervalMs float64 // how long that is, as the proxy says
	Issued     float64 // requests that it told of without naming the server
	Loads      []ServerLoad
}

const (
	// absurd is more attempts than any proxy makes on one server between two reports.
	absurd = 1e9
	// hungAfter is the number of windows in a row in which requests were in progress at a server and
	// none ended, after which that counts as silence.
	hungAfter = 3
	// rateSmooth is the weight of a new report in a proxy's rate.
	rateSmooth = 0.3
)

// sight is what was seen of a server since the evidence was judged last: a line a proxy.
type sight struct {
	lines map[string]ServerLoad // by proxy
	hung  int
}

// sound tells whether a figure can be one.
func sound(xs ...float64) bool {
	return !slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0 && x <= absurd) })
}

// Report takes a proxy's report; one that is not connected, and lines about what is not listed, are
// counted and dropped.
func (a *Assigner) Report(now float64, id string, r *Report) {
	p := a.proxies[id]
	if p == nil {
		a.counts.Unknown++
		return
	}
	a.counts.Reports++
	if !(r.IntervalMs > 0) || r.IntervalMs > 1e9 {
		r.IntervalMs = a.cfg.ReportMs
	}
	from, issued := now-r.IntervalMs, 0.0
	if sound(r.Issued) {
		issued = r.Issued
	}
	for i := range r.Loads {
		l := r.Loads[i]
		s := a.byAddr[l.Addr]
		switch {
		case !sound(l.Served, l.Failed, l.InProgress, l.Issued, l.Rejected):
			a.counts.Invalid++
			continue
		case s == nil:
			a.counts.Unknown++
			continue
		}
		issued += max(l.Issued, l.Served+l.Failed)
		if since, ok := a.bad[s.entry.ID]; ok && from < since {
			// It began before the failure: what was served then says nothing about after.
			if l.Served > 0 {
				a.counts.Late++
			}
			l.Served, l.Rejected = 0, 0
		}
		if s.sight.lines == nil {
			s.sight.lines = map[string]ServerLoad{}
		}
		old := s.sight.lines[id]
		old.Served, old.Failed, old.Rejected = old.Served+l.Served, old.Failed+l.Failed, old.Rejected+l.Rejected
		old.InProgress = l.InProgress
		s.sight.lines[id] = old
	}
	rate := issued / r.IntervalMs * 1000
	if p.ratedMs == 0 {
		p.rate = rate
	} else {
		p.rate += rateSmooth * (rate - p.rate)
	}
	p.ratedMs = now
}

// judge hands the module what was seen, a line a server: each proxy has one voice, whatever it
// sends, and what only a minority sees to fail is theirs, not the server's.
func (a *Assigner) judge(now float64) {
	var seen []policy.Evidence
	missed, tries := map[string]float64{}, map[string]float64{} // by zone, of own servers
	ids := make([]string, 0, len(a.servers))
	for id := range a.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := a.servers[id]
		if len(s.sight.lines) == 0 {
			continue
		}
		e, contradicted := s.sight.weigh()
		a.counts.Contradicted += uint64(contradicted)
		e.Server = s.name
		for pid, l := range s.sight.lines {
			if p := a.proxies[pid]; p != nil && p.zone == s.entry.Zone {
				missed[p.zone] += l.Failed
				tries[p.zone] += l.Served + l.Failed
			}
		}
		clear(s.sight.lines)
		seen = append(seen, e)
	}
	for zone, g := range a.groups {
		if n := tries[zone]; n > 0 {
			g.own = policy.NextLocalityWeight(g.own, a.cfg.Settings.Prices.CrossZone, missed[zone]/n)
		}
	}
	a.module.Observe(now, a.cfg.EjectionMs, seen)
	a.dirty = true
}

// weigh sums up the voices about one server.
func (s *sight) weigh() (e policy.Evidence, contradicted int) {
	var counts []float64
	dead, well := 0, 0
	inProgress := 0.0
	for _, l := range s.lines {
		inProgress += l.InProgress
		n := l.Served + l.Failed + l.Rejected
		if n == 0 {
			continue
		}
		counts = append(counts, n)
		if l.Failed > n/2 {
			dead++
		} else {
			well++
		}
	}
	if len(counts) == 0 {
		// Nothing ended. Requests that stay in progress for long mean a server that hangs.
		if s.hung++; inProgress == 0 {
			s.hung = 0
		}
		if s.hung >= hungAfter {
			e.Failed, e.Silent = math.Min(inProgress, 10), true
		}
		return e, 0
	}
	s.hung = 0
	slices.Sort(counts)
	most := max(counts[len(counts)/2], 1) // no proxy counts for more than the middle one
	for _, l := range s.lines {
		n := l.Served + l.Failed + l.Rejected
		if n == 0 {
			continue
		}
		k := min(most/n, 1)
		e.Served += l.Served * k
		e.Rejected += l.Rejected * k
		if l.Failed > n/2 && 2*dead <= dead+well {
			contradicted++ // seen by a minority, or by as many as see it well
			continue
		}
		e.Failed += l.Failed * k
	}
	e.Silent = e.Served == 0 && e.Rejected == 0
	return e, contradicted
}
