package control

// maxUncheckedUpdates bounds the urgent updates whose acknowledgement timeout has not expired. Beyond that,
// the oldest is dropped, and checked together with the next one.
const maxUncheckedUpdates = 1024

// checkRetryMs is the delay before the check is repeated when the close limiter was exhausted.
const checkRetryMs = 50

// urgentUpdate is a publication that contains the drain or removal of a server.
type urgentUpdate struct {
	seq         uint64 // sequence number of the publication; 0: none yet
	publishedMs float64
	server      string
}

// urgentUpdates tracks the acknowledgement timeouts of urgent updates.
type urgentUpdates struct {
	last       urgentUpdate
	unchecked  []urgentUpdate // those whose timeout has not expired, oldest first
	overdue    urgentUpdate   // the last one whose timeout has expired
	checkDueMs float64        // when the next timeout expires; 0: none is pending
}

// add adds an urgent update that streams have to acknowledge within timeoutMs.
func (u *urgentUpdates) add(update urgentUpdate, timeoutMs float64) {
	u.last = update
	if len(u.unchecked) >= maxUncheckedUpdates {
		u.unchecked = u.unchecked[1:]
	}
	u.unchecked = append(u.unchecked, update)
	if u.checkDueMs == 0 {
		u.checkDueMs = update.publishedMs + timeoutMs
	}
}

// expire sets overdue to the last update whose timeout has expired, and checkDueMs to the next expiry.
func (u *urgentUpdates) expire(now, timeoutMs float64) {
	for len(u.unchecked) > 0 && u.unchecked[0].publishedMs+timeoutMs <= now {
		u.overdue = u.unchecked[0]
		u.unchecked = u.unchecked[1:]
	}
	u.checkDueMs = 0
	if len(u.unchecked) > 0 {
		u.checkDueMs = u.unchecked[0].publishedMs + timeoutMs
	}
}

// checkAcknowledgements closes the streams of proxies that have not answered the overdue update, so that they
// reconnect. The limiter bounds how fast streams are closed. A proxy that answered, even with a NACK, still
// reads its stream and stays connected.
func (p *publisher) checkAcknowledgements(now float64) {
	p.urgent.expire(now, p.cfg().Proxies.AckTimeoutMs)
	overdue := &p.urgent.overdue
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		if !s.behind(overdue) {
			continue
		}
		if !s.unresponsive.Swap(true) {
			p.counts.unresponsive.Add(1)
			p.log.Warn("proxy has not acknowledged a drain",
				"node", s.node, "after_ms", now-overdue.publishedMs, "server", overdue.server)
		}
		if !p.closeLimiter.Allow() {
			p.urgent.checkDueMs = now + checkRetryMs
			continue
		}
		p.counts.closed.Add(1)
		s.close("a drain was not acknowledged in time")
	}
}
