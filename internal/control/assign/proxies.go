package assign

// rateUnit is the number of units per request/s in which request rates are summed. Integer sums do not depend
// on the iteration order of a map.
const rateUnit = 1000

// proxy is the state of one proxy.
type proxy struct {
	zone           string
	streams        int // number of open streams
	disconnectedMs float64
	rate           float64 // requests per second according to its load reports; 0: unknown
	reportedMs     float64 // time of its last load report; 0: none yet
	acknowledged   *Assignment
	// unknownAssignment reports that the proxy connected with an assignment of another process, whose content
	// is unknown here, and has not acknowledged one of this process yet.
	unknownAssignment bool
}

// Connect records a new stream of a proxy. withoutResources reports that the proxy has no resources, so that
// it cannot use an assignment of another process.
func (a *Assigner) Connect(now float64, id, zone string, withoutResources bool) {
	p := a.proxies[id]
	if p == nil {
		if len(a.proxies) >= MaxProxies {
			a.evictOldestProxy()
		}
		p = &proxy{unknownAssignment: !withoutResources}
		a.proxies[id] = p
	}
	p.zone = zone
	p.streams++
	a.group(zone)
	a.dirty = true
}

// evictOldestProxy evicts the proxy that disconnected longest ago. Connected proxies are never evicted; the
// service bounds their number.
func (a *Assigner) evictOldestProxy() {
	oldest := ""
	for id, p := range a.proxies {
		if p.streams == 0 && (oldest == "" || p.disconnectedMs < a.proxies[oldest].disconnectedMs ||
			p.disconnectedMs == a.proxies[oldest].disconnectedMs && id < oldest) {
			oldest = id
		}
	}
	delete(a.proxies, oldest)
}

// Disconnect records the end of a stream. The proxy continues to send requests by its last assignment.
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

// Acknowledge records the last assignment that a proxy accepted.
func (a *Assigner) Acknowledge(id string, assignment *Assignment) {
	p := a.proxies[id]
	if p == nil || p.acknowledged == assignment {
		return
	}
	p.acknowledged = assignment
	p.unknownAssignment = false
	if len(a.startTimes) > 0 { // only slow start depends on the acknowledged assignments
		a.dirty = true
	}
}

// expireProxies removes the proxies whose grace period after the disconnect has expired.
func (a *Assigner) expireProxies(now float64) {
	for id, p := range a.proxies {
		if p.streams == 0 && now-p.disconnectedMs >= a.cfg.DisconnectGraceMs {
			delete(a.proxies, id)
			a.dirty = true
		}
	}
}

// senderKey identifies a set of proxies that send requests by the same weights.
type senderKey struct {
	zone              string
	acknowledged      *Assignment
	disconnected      bool // cannot receive a new assignment
	unknownAssignment bool
}

// sender represents all proxies with the same key.
type sender struct {
	senderKey
	rate float64 // total requests per second
}

// senders groups the proxies by key and returns the groups, in no particular order, and the total rate. A
// proxy with an unknown rate counts with the mean of the known rates.
func (a *Assigner) senders() (senders []sender, totalRate float64) {
	mean := a.meanRate()
	rates := map[senderKey]int64{}
	total := int64(0)
	for _, p := range a.proxies {
		rate := int64(p.rate * rateUnit)
		if p.rate <= 0 {
			rate = mean
		}
		key := senderKey{p.zone, p.acknowledged, p.streams == 0, p.unknownAssignment}
		rates[key] += rate
		total += rate
	}
	senders = make([]sender, 0, len(rates))
	for key, rate := range rates {
		senders = append(senders, sender{key, float64(rate) / rateUnit})
	}
	return senders, float64(total) / rateUnit
}

// meanRate returns the mean of the known request rates in units of 1/rateUnit, or one request per second if
// none is known.
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
