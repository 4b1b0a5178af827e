package configstore

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// diskStallTicks is for how many ticks a replica whose disk does not answer behaves like any other; after that it sends
// nothing, so that a leader is replaced. A shorter stall costs less than an election. See "Timers of a configuration
// change" in docs/ARCHITECTURE.md.
const diskStallTicks = 60

// submitJob gives the writer a job. Lab builds can replace it by one that waits for the job.
var submitJob = (*Replica).enqueueJob

// diskProgress counts the writer's jobs and holds the messages that wait for one. It belongs to the loop.
type diskProgress struct {
	submitted   uint64        // jobs given to the writer
	done        uint64        // jobs that it gave back
	voteJob     uint64        // number of the last job with a term or vote
	unsent      []*pb.Message // wait for voteJob
	silentTicks int           // since a job came back, while some are pending
	doneAtTick  uint64        // done at the last tick
}

// full reports whether as many jobs are pending as may be.
func (d *diskProgress) full() bool { return d.submitted-d.done >= maxPendingJobs }

// stalled reports whether the disk has not answered for so long that the replica has to be silent.
func (d *diskProgress) stalled() bool { return d.silentTicks >= diskStallTicks }

// voteDurable reports whether the last term and vote are durable.
func (d *diskProgress) voteDurable() bool { return d.done >= d.voteJob }

func (d *diskProgress) tick() {
	d.silentTicks++
	if d.submitted == d.done || d.done != d.doneAtTick {
		d.silentTicks = 0
		d.doneAtTick = d.done
	}
}

// submitReady has the writer make raft's new records durable; then raft and the other replicas get the responses.
func (r *Replica) submitReady(ready *raft.Ready, responses []*pb.Message) error {
	j, hasVote, err := r.storage.save(ready)
	if err != nil {
		return err
	}
	if hasVote {
		r.disk.voteJob = r.disk.submitted + 1
	}
	storageDurable := j.onDurable
	snapshot := ready.Snapshot
	j.onDurable = func() error {
		if err := storageDurable(); err != nil {
			return err
		}
		if !raft.IsEmptySnap(snapshot) {
			if err := r.restore(snapshot); err != nil {
				return err
			}
		}
		r.deliver(responses)
		return nil
	}
	return submitJob(r, j)
}

// deliver gives raft's responses to the local node and to other replicas.
func (r *Replica) deliver(responses []*pb.Message) {
	for _, m := range responses {
		if m.GetTo() == r.identity.ID {
			r.node.Step(m)
		} else {
			r.send(m)
		}
	}
}

// enqueueJob gives the writer a job.
func (r *Replica) enqueueJob(j *job) error {
	r.disk.submitted++
	r.writer.jobs <- j
	return nil
}

// runJob gives the writer a job and waits until it has come back.
func (r *Replica) runJob(j *job) error {
	r.disk.submitted++
	r.writer.jobs <- j
	for {
		finished := <-r.writer.done
		if err := r.jobFinished(finished); err != nil || finished == j {
			return err
		}
	}
}

// jobFinished takes a job back from the writer.
func (r *Replica) jobFinished(j *job) error {
	r.disk.done++
	kind := delaySave
	if j.replace != nil {
		kind = delayReplace
	}
	r.delays.record(kind, j.startedAt, j.finishedAt)
	if j.err != nil {
		return fmt.Errorf("configstore: stopping, as the content of the disk is not known after a failed write: %w", j.err)
	}
	if r.disk.done == r.disk.voteJob {
		unsent := r.disk.unsent
		r.disk.unsent = nil
		r.sendWhenDurable(unsent)
	}
	if j.onDurable != nil {
		return j.onDurable()
	}
	return nil
}

// sendWhenDurable sends messages that do not depend on entries being durable. They do depend on the term and vote: a
// replica that lost these could lead, or vote, twice in one term.
func (r *Replica) sendWhenDurable(messages []*pb.Message) {
	for _, m := range messages {
		switch {
		case r.disk.stalled():
			if m.GetType() == pb.MsgSnap {
				r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
			}
		case !r.disk.voteDurable():
			r.disk.unsent = append(r.disk.unsent, m)
		default:
			r.send(m)
		}
	}
}
