package core

// SharedIDs are the ids of requests that any process of the agent has accepted. Its methods never block.
type SharedIDs interface {
	// Claim claims an id. It returns false if a request of another process has the id, or had it and may
	// have run.
	Claim(id string) bool
	// Release releases an id whose request has not run.
	Release(id string)
	// Retain keeps an id claimed for another minute.
	Retain(id string)
}

// claimID claims a request's id. It returns false if another process has it.
func (l *EventLoop) claimID(r *Request) bool {
	if l.cfg.SharedIDs == nil || !l.dedup.mustTrack(l.class(r), r.call) {
		return true
	}
	r.idClaimed = l.cfg.SharedIDs.Claim(r.call.ID)
	return r.idClaimed
}

// releaseID releases the id of a request that has not run.
func (l *EventLoop) releaseID(r *Request) {
	if r.idClaimed {
		l.cfg.SharedIDs.Release(r.call.ID)
	}
}

// retainID keeps the id of a completed request that may have run.
func (l *EventLoop) retainID(r *Request) {
	if r.idClaimed {
		l.cfg.SharedIDs.Retain(r.call.ID)
	}
}
