package configstore

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// diskStallTicks is the number of ticks without an answer of the disk after which a replica stops sending
// messages, so that a leader with a stalled disk is replaced. A shorter stall costs less than an election.
// See "Timers of a configuration change" in docs/ARCHITECTURE.md.
const diskStallTicks = 60

// submitJob gives the writer a job. Lab builds can replace it with a function that waits for the job.
var submitJob = (*Replica).enqueueJob

// diskProgress counts the jobs of the writer and queues the messages that wait for one of them. Only the
// event loop uses it.
type diskProgress struct {
	submitted   uint64        // number of jobs given to the writer
	done        uint64        // number of jobs that the writer has finished
	voteJob     uint64        // number of the last job with a term or vote
	unsent      []*pb.Message // messages to send once voteJob is done
	silentTicks int           // ticks since a job was finished, while jobs are pending
	doneAtTick  uint64        // value of done at the last tick
}

// full reports whether the maximum number of jobs is pending.
func (d *diskProgress) full() bool { return d.submitted-d.done >= maxPendingJobs }

// stalled reports whether the disk has been silent for so long that the replica has to stop sending.
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

// submitReady gives the writer a job that makes raft's new records durable. Afterwards the responses are
// delivered to raft and to the other replicas.
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

// deliver passes raft's responses to the local node or sends them to other replicas.
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

// runJob gives the writer a job and waits until it is finished.
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

// jobFinished handles a job that the writer has finished.
func (r *Replica) jobFinished(j *job) error {
	r.disk.done++
	kind := delaySave
	if j.replace != nil {
		kind = delayReplace
	}
	r.delays.record(kind, j.startedAt, j.finishedAt)
	if j.err != nil {
		return fmt.Errorf("configstore: stopping: the content of the disk is unknown after a failed write: %w", j.err)
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

// sendWhenDurable sends messages that do not depend on durable entries, but do depend on the durable term and
// vote: a replica that lost these in a crash could lead or vote twice in one term.
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
