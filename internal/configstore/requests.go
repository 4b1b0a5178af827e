package configstore

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"go.etcd.io/raft/v3"

	"ringtrack.example/ringtrack/internal/lease"
)

// maxPendingRequests bounds the requests that wait in a replica.
const maxPendingRequests = lease.MaxHolders

// request waits for a lease, or for a confirmed read.
type request struct {
	lease.Request
	read     bool
	deadline float64            // until when a renewal waits for a new epoch, ms of the monotonic clock
	answer   chan requestResult // of capacity one
}

type requestResult struct {
	grant   lease.Grant
	encoded []byte // the complete response, shared and read only, if the holder needs the configuration too; else nil
	err     error
}

// requestQueues are the requests that a leader has. They are answered in batches: a majority confirms, after the batch
// began, that this replica still leads (raft's ReadIndex). It belongs to the loop.
type requestQueues struct {
	waiting    []*request // hold the epoch in force and wait for the next one
	pending    []*request // wait for the next batch
	confirming []*request // the batch that waits for its confirmation
	batch      uint64     // number of the confirming batch
	startedAt  float64    // of the confirming batch, ms
	readIndex  uint64     // must be applied before the batch is answered; 0: not confirmed yet
}

func (q *requestQueues) len() int { return len(q.waiting) + len(q.pending) + len(q.confirming) }

// requeueWaiting moves the requests that wait for a new epoch to the next batch.
func (q *requestQueues) requeueWaiting() {
	q.pending = append(q.pending, q.waiting...)
	q.waiting = nil
}

// expire moves the requests that have waited long enough to the next batch, and fails a batch that is not confirmed
// within the timeout.
func (q *requestQueues) expire(now, confirmTimeoutMs float64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r *request) bool {
		if now < r.deadline {
			return false
		}
		q.pending = append(q.pending, r)
		return true
	})
	if len(q.confirming) > 0 && now-q.startedAt > confirmTimeoutMs {
		failRequests(q.confirming, errNoQuorum)
		q.confirming = nil
	}
}

// confirmed takes raft's answer to ReadIndex.
func (q *requestQueues) confirmed(state raft.ReadState) {
	if string(state.RequestCtx) == strconv.FormatUint(q.batch, 10) {
		q.readIndex = max(state.Index, 1)
	}
}

func failRequests(requests []*request, err error) {
	for _, r := range requests {
		r.answer <- requestResult{err: err}
	}
}

// failRequests fails all requests.
func (r *Replica) failRequests(err error) {
	q := &r.requests
	failRequests(q.waiting, err)
	failRequests(q.pending, err)
	failRequests(q.confirming, err)
	q.waiting = nil
	q.pending = nil
	q.confirming = nil
}

// wait gives the loop a request and waits for its answer. It may be called from any goroutine.
func (r *Replica) wait(ctx context.Context, req *request) requestResult {
	req.answer = make(chan requestResult, 1)
	if !r.post(ctx, func() { r.enqueue(req) }) {
		return requestResult{err: errNotLeading}
	}
	select {
	case result := <-req.answer:
		return result
	case <-ctx.Done():
		return requestResult{err: ctx.Err()}
	case <-r.ctx.Done():
		return requestResult{err: errNotLeading}
	}
}

// enqueue takes a request. A renewal of the epoch in force waits for a new epoch, until its deadline.
func (r *Replica) enqueue(req *request) {
	switch {
	case r.softState.RaftState != raft.StateLeader:
		req.answer <- requestResult{err: errNotLeading}
		return
	case r.requests.len() >= maxPendingRequests:
		req.answer <- requestResult{err: errTooManyRequests}
		return
	}
	now := r.now()
	if r.lessor != nil && !req.read {
		r.lessor.Observe(now, req.Request)
	}
	if !req.read && req.Epoch == r.state.History.Epoch && req.deadline > now && r.lessor != nil {
		r.requests.waiting = append(r.requests.waiting, req)
		return
	}
	r.requests.pending = append(r.requests.pending, req)
}

// serveRequests answers a batch that is confirmed and begins the next one.
func (r *Replica) serveRequests() {
	now := r.now()
	r.advance(now)
	if r.lessor == nil {
		return
	}
	q := &r.requests
	if len(q.confirming) > 0 && q.readIndex > 0 && r.applied >= q.readIndex {
		for _, req := range q.confirming {
			r.answer(now, req)
		}
		q.confirming = nil
	}
	if len(q.confirming) == 0 && len(q.pending) > 0 {
		q.confirming = q.pending
		q.pending = nil
		q.batch++
		q.readIndex = 0
		q.startedAt = now
		r.node.ReadIndex([]byte(strconv.FormatUint(q.batch, 10)))
		r.runAgain() // a single replica confirms at once, and HasReady has to be checked once more
	}
}

// answer answers a request of a confirmed batch.
func (r *Replica) answer(now float64, req *request) {
	if req.read {
		req.answer <- requestResult{}
		return
	}
	versions := &r.state.History
	if t := r.transitions.get(versions); t != nil && !t.Config.AllowsAgent(req.Name) {
		req.answer <- requestResult{err: fmt.Errorf("agent %q is not in the list of agents", req.Name)}
		return
	}
	grant, ok := r.lessor.Grant(now, req.Request, versions.Epoch)
	if !ok {
		req.answer <- requestResult{err: fmt.Errorf("no lease: the agent has epoch %d, in force is %d", req.Epoch, versions.Epoch)}
		return
	}
	result := requestResult{grant: grant}
	if req.Epoch != grant.Epoch {
		result.encoded, result.err = r.transitions.encodedResponse(versions, grant)
	}
	req.answer <- result
}
