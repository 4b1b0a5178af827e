package control

// maxUncheckedUpdates bounds the urgent updates that wait for their acknowledgement timeout; of more the
// oldest is checked with the next.
const maxUncheckedUpdates = 1024

// checkRetryMs is when the check is repeated after the close limiter was exhausted.
const checkRetryMs = 50

// urgentUpdate is a publication with the drain or removal of a server.
type urgentUpdate struct {
	seq         uint64 // of the publication; 0: there was none
	publishedMs float64
	server      string
}

// urgentUpdates keeps track of which urgent updates proxies should have acknowledged by now.
type urgentUpdates struct {
	last       urgentUpdate
	unchecked  []urgentUpdate // whose timeout is not over, oldest first
	overdue    urgentUpdate   // the last one whose timeout is over
	checkDueMs float64        // when the next timeout is over; 0: none runs
}

// add records an urgent update that streams have to acknowledge within timeoutMs.
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

// expire moves the updates whose timeout is over to overdue and sets when the next one is.
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

// checkAcknowledgements closes the streams of proxies that have not acknowledged the overdue update, so that
// they reconnect, as fast as the limiter allows. A proxy that answered, be it with a NACK, reads its stream
// and stays connected.
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
