package assign

// rateUnit is the resolution in which request rates are summed, per request a second: integer sums do not
// depend on the order of a map.
const rateUnit = 1000

// proxy is what is known of one proxy.
type proxy struct {
	zone           string
	streams        int // connected ones
	disconnectedMs float64
	rate           float64 // requests a second by its load reports; 0: none yet
	ratedMs        float64 // when it last reported; 0: never
	acknowledged   *Assignment
	// foreign reports that it connected with an assignment of another process and has acknowledged none
	// of this one.
	foreign bool
}

// Connect records a stream of a proxy. fresh reports that the proxy came without resources, so that it
// cannot hold an assignment of another process.
func (a *Assigner) Connect(now float64, id, zone string, fresh bool) {
	p := a.proxies[id]
	if p == nil {
		if len(a.proxies) >= MaxProxies {
			a.forgetOldestProxy()
		}
		p = &proxy{foreign: !fresh}
		a.proxies[id] = p
	}
	p.zone = zone
	p.streams++
	a.group(zone)
	a.dirty = true
}

// forgetOldestProxy forgets the proxy that disconnected longest ago. Connected proxies are never forgotten;
// the service bounds them.
func (a *Assigner) forgetOldestProxy() {
	oldest := ""
	for id, p := range a.proxies {
		if p.streams == 0 && (oldest == "" || p.disconnectedMs < a.proxies[oldest].disconnectedMs ||
			p.disconnectedMs == a.proxies[oldest].disconnectedMs && id < oldest) {
			oldest = id
		}
	}
	delete(a.proxies, oldest)
}

// Disconnect records the end of a stream. The proxy continues to send by the assignment that it holds.
func (a *Assigner) Disconnect(now float64, id string) {
	p := a.proxies[id]
	if p == nil || p.streams == 0 {
		return
	}
	p.streams--
	if p.streams == 0 {
		p.disconnectedMs = now
		a.dirty = true
	}
}

// Acknowledge records the assignment that a proxy accepted last.
func (a *Assigner) Acknowledge(id string, assignment *Assignment) {
	p := a.proxies[id]
	if p == nil || p.acknowledged == assignment {
		return
	}
	p.acknowledged = assignment
	p.foreign = false
	if len(a.starts) > 0 { // only slow start depends on what proxies hold
		a.dirty = true
	}
}

// forgetProxies drops proxies whose grace period after the disconnect is over.
func (a *Assigner) forgetProxies(now float64) {
	for id, p := range a.proxies {
		if p.streams == 0 && now-p.disconnectedMs >= a.cfg.DisconnectGraceMs {
			delete(a.proxies, id)
			a.dirty = true
		}
	}
}

// senderKey tells proxies apart that send requests by different weights.
type senderKey struct {
	zone         string
	acknowledged *Assignment
	disconnected bool // will not take a new assignment
	foreign      bool
}

// sender is all proxies of one key and the sum of their request rates.
type sender struct {
	senderKey
	rate float64 // requests a second
}

// senders groups the proxies and returns the groups, in no particular order, and the total rate. A proxy
// whose rate is not known counts with the mean of the known rates.
func (a *Assigner) senders() (senders []sender, totalRate float64) {
	mean := a.meanRate()
	rates := map[senderKey]int64{}
	total := int64(0)
	for _, p := range a.proxies {
		rate := int64(p.rate * rateUnit)
		if p.rate <= 0 {
			rate = mean
		}
		key := senderKey{p.zone, p.acknowledged, p.streams == 0, p.foreign}
		rates[key] += rate
		total += rate
	}
	senders = make([]sender, 0, len(rates))
	for key, rate := range rates {
		senders = append(senders, sender{key, float64(rate) / rateUnit})
	}
	return senders, float64(total) / rateUnit
}

// meanRate returns the mean of the known request rates, in 1/rateUnit; one request a second if none is known.
func (a *Assigner) meanRate() int64 {
	sum := int64(0)
	known := int64(0)
	for _, p := range a.proxies {
		if p.rate > 0 {
			sum += int64(p.rate * rateUnit)
			known++
		}
	}
	if known == 0 {
		return rateUnit
	}
	return max(sum/known, 1)
}
