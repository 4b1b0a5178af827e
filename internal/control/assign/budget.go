package assign

import (
	"cmp"
	"math"
	"slices"

	"ringtrack.example/ringtrack/policy"
)

// proxy is what is known of one proxy.
type proxy struct {
	zone      string
	connected int // streams
	leftMs    float64
	rate      float64 // requests a second, by its reports; 0: none yet
	ratedMs   float64
	held      *Assignment // acknowledged last; nil: none by this process
	unsure    bool        // it came with an assignment that this process did not make
}

// Connect notes a stream of a proxy. fresh tells that it came with nothing, so that it holds no
// assignment of an older process.
func (a *Assigner) Connect(now float64, id, zone string, fresh bool) {
	p := a.proxies[id]
	if p == nil {
		if len(a.proxies) >= MaxProxies {
			a.dropOldest()
		}
		p = &proxy{unsure: !fresh}
		a.proxies[id] = p
	}
	p.zone = zone
	p.connected++
	a.group(zone)
	a.dirty = true
}

// dropOldest forgets the proxy that left longest ago; connected ones are never forgotten, as the
// service bounds them itself.
func (a *Assigner) dropOldest() {
	oldest := ""
	for id, p := range a.proxies {
		if p.connected == 0 && (oldest == "" || p.leftMs < a.proxies[oldest].leftMs ||
			p.leftMs == a.proxies[oldest].leftMs && id < oldest) {
			oldest = id
		}
	}
	delete(a.proxies, oldest)
}

// Disconnect notes the end of a stream. The proxy goes on sending by what it holds.
func (a *Assigner) Disconnect(now float64, id string) {
	if p := a.proxies[id]; p != nil && p.connected > 0 {
		if p.connected--; p.connected == 0 {
			p.leftMs = now
			a.dirty = true
		}
	}
}

// Acknowledge notes the assignment that a proxy acknowledged last.
func (a *Assigner) Acknowledge(id string, held *Assignment) {
	if p := a.proxies[id]; p != nil && p.held != held {
		p.held, p.unsure = held, false
		a.dirty = a.dirty || len(a.starts) > 0 // only a cold server's share depends on it
	}
}

// forget drops proxies that left too long ago, and groups without any proxy.
func (a *Assigner) forget(now float64) {
	for id, p := range a.proxies {
		if p.connected == 0 && now-p.leftMs >= a.cfg.DisconnectGraceMs {
			delete(a.proxies, id)
			a.dirty = true
		}
	}
}

// sender is proxies that send alike: of one group, holding one assignment.
type sender struct {
	zone string
	held *Assignment
	rate float64
	lost bool // none of them will take a new assignment
	wild bool // holds what this process did not make
}

// senders sums the proxies up. One whose rate is not known counts as the mean of those whose is.
func (a *Assigner) senders() ([]sender, float64) {
	// In whole thousandths: sums of these do not depend on the order of a map.
	known, n := int64(0), int64(0)
	for _, p := range a.proxies {
		if p.rate > 0 {
			known, n = known+int64(p.rate*1000), n+1
		}
	}
	mean := int64(1000)
	if n > 0 {
		mean = max(known/n, 1)
	}
	type key struct {
		zone       string
		held       *Assignment
		lost, wild bool
	}
	sums := map[key]int64{}
	total := int64(0)
	for _, p := range a.proxies {
		r := int64(p.rate * 1000)
		if p.rate <= 0 {
			r = mean
		}
		sums[key{p.zone, p.held, p.connected == 0, p.unsure}] += r
		total += r
	}
	out := make([]sender, 0, len(sums))
	for k, r := range sums {
		out = append(out, sender{k.zone, k.held, float64(r) / 1000, k.lost, k.wild})
	}
	return out, float64(total) / 1000
}

// budget divides the fall budget of each cold server over the proxies: the level, of levels, of its
// full weight in all assignments. All proxies together, each counted with the larger of what it holds
// and what it is about to get, are to send it no more than the part of an even share that the module
// allows. Level 0 holds it back: those on older assignments send it all it may have, or nobody knows
// yet what is out.
func (a *Assigner) budget(now float64, base []baseLine) map[string]int {
	var cold []*baseLine
	warm := 0.0
	for i := range base {
		switch l := &base[i]; {
		case l.Draining || l.Tier != Healthy:
		case l.SlowStart:
			cold = append(cold, l)
		default:
			warm += l.full
		}
	}
	levelOf := make(map[string]int, len(cold))
	if len(cold) == 0 {
		return levelOf
	}
	// Without a warm server there is no measure of what a cold one may have, and nobody else to
	// send to: by their ramps they share alike.
	if warm == 0 {
		for _, l := range cold {
			levelOf[l.ID] = max(int(l.share*levels), 1)
		}
		return levelOf
	}
	if now-a.bornMs < a.cfg.StartupHoldMs {
		return levelOf
	}
	senders, total := a.senders()
	// What stands beside a cold server in each group's best tier, own zone counted.
	beside := map[string]float64{}
	for zone, g := range a.groups {
		own := math.Round(g.own*10) / 10
		for i := range base {
			if l := &base[i]; !l.Draining && l.Tier == Healthy && !l.SlowStart {
				w := l.full
				if l.Zone == zone {
					w *= own
				}
				beside[zone] += w
			}
		}
	}
	slices.SortFunc(cold, func(x, y *baseLine) int { return cmp.Compare(x.ID, y.ID) })
	for _, l := range cold {
		allowed := l.share * l.full / warm * total
		for level := int(l.share * levels); level > 0; level-- {
			if a.sentAt(l, level, senders, beside) <= allowed {
				levelOf[l.ID] = level
				break
			}
		}
	}
	return levelOf
}

// sentAt is what all senders send a cold server in a second, at most, while its new level is on its
// way: any of them may hold the old assignment or the new.
func (a *Assigner) sentAt(l *baseLine, level int, senders []sender, beside map[string]float64) float64 {
	terms := make([]float64, 0, len(senders))
	for i := range senders {
		s := &senders[i]
		w := l.full * float64(level) / levels
		if l.Zone == s.zone {
			w *= math.Round(a.groups[s.zone].own*10) / 10
		}
		next := w / (w + beside[s.zone])
		held := s.held.Share(l.ID)
		switch {
		case s.wild && s.held == nil:
			// It may hold the server at its full weight.
			full := l.full * policyOwnMost(l.Zone == s.zone)
			held = full / (full + beside[s.zone])
		case s.lost:
			next = 0
		}
		terms = append(terms, s.rate*max(next, held))
	}
	slices.Sort(terms) // so that the sum does not depend on the order of a map
	sum := 0.0
	for _, t := range terms {
		sum += t
	}
	return sum
}

// policyOwnMost is the most that the module ever weighs a server of the own zone.
func policyOwnMost(own bool) float64 {
	if own {
		return policy.MaxLocalityWeight
	}
	return 1
}
