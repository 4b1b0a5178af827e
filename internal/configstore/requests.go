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

// request is a request for a lease or for a confirmed read.
type request struct {
	lease.Request
	read     bool
	deadline float64            // end of a renewal's wait for a new epoch, ms of the monotonic clock
	answer   chan requestResult // has a capacity of one
}

type requestResult struct {
	grant   lease.Grant
	encoded []byte // the complete response if it includes the configuration, else nil; shared and read only
	err     error
}

// requestQueues queues the requests of a leader. They are answered in batches: after a batch has been
// started, a majority has to confirm that this replica still leads (raft's ReadIndex). Only the event loop
// uses it.
type requestQueues struct {
	waiting    []*request // renewals of the epoch in force, which wait for the next epoch
	pending    []*request // requests for the next batch
	confirming []*request // the current batch, which waits for its confirmation
	batch      uint64     // number of the current batch
	startedAt  float64    // when the current batch was started, ms
	readIndex  uint64     // index that must be applied before the batch is answered; 0: not confirmed yet
}

func (q *requestQueues) len() int { return len(q.waiting) + len(q.pending) + len(q.confirming) }

// requeueWaiting moves the requests that wait for a new epoch to the next batch.
func (q *requestQueues) requeueWaiting() {
	q.pending = append(q.pending, q.waiting...)
	q.waiting = nil
}

// expire moves the renewals whose deadline has passed to the next batch, and fails the current batch if it
// was not confirmed within the timeout.
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

// confirmed handles raft's answer to ReadIndex. Answers for earlier batches are ignored.
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

// failRequests answers all queued requests with an error.
func (r *Replica) failRequests(err error) {
	q := &r.requests
	failRequests(q.waiting, err)
	failRequests(q.pending, err)
	failRequests(q.confirming, err)
	q.waiting = nil
	q.pending = nil
	q.confirming = nil
}

// wait passes a request to the event loop and waits for its answer. It may be called from any goroutine.
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

// enqueue queues a request. A renewal of the epoch in force waits for a new epoch until its deadline.
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

// serveRequests answers the current batch if it is confirmed, and starts the next one.
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
		r.runAgain() // a single replica confirms immediately, so HasReady has to be checked again
	}
}

// answer answers one request of a confirmed batch.
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
