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
func (k *Replica) failRequests(err error) {
	q := &k.requests
	failRequests(q.waiting, err)
	failRequests(q.pending, err)
	failRequests(q.confirming, err)
	q.waiting = nil
	q.pending = nil
	q.confirming = nil
}

// wait gives the loop a request and waits for its answer. It may be called from any goroutine.
func (k *Replica) wait(ctx context.Context, r *request) requestResult {
	r.answer = make(chan requestResult, 1)
	if !k.post(ctx, func() { k.enqueue(r) }) {
		return requestResult{err: errNotLeading}
	}
	select {
	case result := <-r.answer:
		return result
	case <-ctx.Done():
		return requestResult{err: ctx.Err()}
	case <-k.ctx.Done():
		return requestResult{err: errNotLeading}
	}
}

// enqueue takes a request. A renewal of the epoch in force waits for a new epoch, until its deadline.
func (k *Replica) enqueue(r *request) {
	switch {
	case k.softState.RaftState != raft.StateLeader:
		r.answer <- requestResult{err: errNotLeading}
		return
	case k.requests.len() >= maxPendingRequests:
		r.answer <- requestResult{err: errTooManyRequests}
		return
	}
	now := k.now()
	if k.lessor != nil && !r.read {
		k.lessor.Observe(now, r.Request)
	}
	if !r.read && r.Epoch == k.state.History.Epoch && r.deadline > now && k.lessor != nil {
		k.requests.waiting = append(k.requests.waiting, r)
		return
	}
	k.requests.pending = append(k.requests.pending, r)
}

// serveRequests answers a batch that is confirmed and begins the next one.
func (k *Replica) serveRequests() {
	now := k.now()
	k.advance(now)
	if k.lessor == nil {
		return
	}
	q := &k.requests
	if len(q.confirming) > 0 && q.readIndex > 0 && k.applied >= q.readIndex {
		for _, r := range q.confirming {
			k.answer(now, r)
		}
		q.confirming = nil
	}
	if len(q.confirming) == 0 && len(q.pending) > 0 {
		q.confirming = q.pending
		q.pending = nil
		q.batch++
		q.readIndex = 0
		q.startedAt = now
		k.node.ReadIndex([]byte(strconv.FormatUint(q.batch, 10)))
		k.runAgain() // a single replica confirms at once, and HasReady has to be asked again
	}
}

// answer answers a request of a confirmed batch.
func (k *Replica) answer(now float64, r *request) {
	if r.read {
		r.answer <- requestResult{}
		return
	}
	log := &k.state.History
	if t := k.transitions.get(log); t != nil && !t.Config.AllowsAgent(r.Name) {
		r.answer <- requestResult{err: fmt.Errorf("agent %q is not in the list of agents", r.Name)}
		return
	}
	grant, ok := k.lessor.Grant(now, r.Request, log.Epoch)
	if !ok {
		r.answer <- requestResult{err: fmt.Errorf("no lease: the agent has epoch %d, in force is %d", r.Epoch, log.Epoch)}
		return
	}
	result := requestResult{grant: grant}
	if r.Epoch != grant.Epoch {
		result.encoded, result.err = k.transitions.encodedResponse(log, grant)
	}
	r.answer <- result
}
