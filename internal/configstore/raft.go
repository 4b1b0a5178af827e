package configstore

import (
	"encoding/json"
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/lease"
	"ringtrack.example/ringtrack/internal/sharedconfig/history"
)

const (
	// heartbeatTicks and electionTicks are raft's parameters, in ticks of tick_ms. With the deployed tick_ms
	// a leader is replaced after 0.4 to 0.8 s without a message from it.
	heartbeatTicks = 2
	electionTicks  = 16
	// Bounds of raft's queues.
	maxEntriesPerMessageBytes = 1 << 20
	maxInflightMessages       = 64
	maxUncommittedBytes       = 64 << 20
)

func (r *Replica) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        r.identity.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxEntriesPerMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		AsyncStorageWrites:        true,
		StepDownOnRemoval:         true,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{},
	}
}

// handleTick runs a tick. Messages and finished jobs that have already arrived are handled first, so that a
// leader or a disk does not count as silent while its answer is in a queue.
func (r *Replica) handleTick() error {
	r.runPosted(nil)
	for range len(r.writer.done) {
		if err := r.jobFinished(<-r.writer.done); err != nil {
			return err
		}
	}
	r.tick()
	return nil
}

func (r *Replica) tick() {
	now := r.now()
	r.delays.tick(now, r.cfg.TickMs, r.cfg.TickMs*electionTicks*2)
	r.node.Tick()
	r.disk.tick()
	r.requests.expire(now, r.electionTimeoutMs())
	r.recordWatermarks()
	if r.lessor == nil {
		return
	}
	r.promoteLearners(now)
}

func (r *Replica) electionTimeoutMs() float64 { return r.cfg.TickMs * electionTicks }

// processReady carries out the work that raft has ready. The writer makes records durable, and only messages
// that depend on them wait for it, so that a slow disk delays neither ticks nor heartbeats.
func (r *Replica) processReady() error {
	for r.node.HasReady() && !r.disk.full() {
		ready := r.node.Ready()
		if err := r.handleReady(&ready); err != nil {
			return err
		}
	}
	r.serveRequests()
	return r.snapshotIfDue()
}

func (r *Replica) handleReady(ready *raft.Ready) error {
	if ready.SoftState != nil {
		r.softStateChanged(*ready.SoftState)
	}
	var outgoing, whenApplied []*pb.Message
	for _, m := range ready.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			if err := r.submitReady(ready, m.GetResponses()); err != nil {
				return err
			}
		case raft.LocalApplyThread:
			whenApplied = m.GetResponses()
		default:
			outgoing = append(outgoing, m)
		}
	}
	r.sendWhenDurable(outgoing)
	for _, entry := range ready.CommittedEntries {
		if err := r.apply(entry); err != nil {
			return err
		}
	}
	for _, m := range whenApplied {
		r.node.Step(m)
	}
	for _, readState := range ready.ReadStates {
		r.requests.confirmed(readState)
	}
	return nil
}

// softStateChanged handles a change of the leader or of this replica's role.
func (r *Replica) softStateChanged(next raft.SoftState) {
	if next.RaftState != r.softState.RaftState || next.Lead != r.softState.Lead {
		slog.Info("raft", "state", next.RaftState.String(), "leader", r.state.Members[next.Lead].Name)
	}
	r.countElection(r.softState, next)
	r.softState = next
	if next.RaftState != raft.StateLeader {
		r.lessor = nil
		r.failRequests(errNotLeading)
	}
}

// apply applies one committed entry.
func (r *Replica) apply(entry *pb.Entry) error {
	r.applied = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryNormal:
		if len(entry.GetData()) > 0 {
			if err := r.applyCommand(entry); err != nil {
				return err
			}
		}
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		change, err := decodeConfChange(entry)
		if err != nil {
			return err
		}
		r.confState = r.node.ApplyConfChange(change)
		r.applyMemberChange(change)
		r.membersChanged = true
	}
	r.becomeLessor(entry)
	return nil
}

func (r *Replica) applyCommand(entry *pb.Entry) error {
	var command history.Command
	if err := json.Unmarshal(entry.GetData(), &command); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrCorrupt, entry.GetIndex(), err)
	}
	previous := r.state.History.Epoch
	version, err := r.state.History.Apply(&command)
	r.answerProposals(command.ID(), proposalResult{version: version, err: err, applied: true})
	if r.state.History.Epoch != previous {
		slog.Info("epoch in force", "epoch", r.state.History.Epoch)
		r.requests.requeueWaiting()
	}
	return nil
}

func decodeConfChange(entry *pb.Entry) (*pb.ConfChangeV2, error) {
	change := &pb.ConfChangeV2{}
	if entry.GetType() == pb.EntryConfChangeV2 {
		return change, proto.Unmarshal(entry.GetData(), change)
	}
	v1 := &pb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), v1); err != nil {
		return nil, err
	}
	return v1.AsV2(), nil
}

// becomeLessor makes the leader grant leases once it has applied an entry of its own term: by then it has
// applied all entries that were committed before.
func (r *Replica) becomeLessor(entry *pb.Entry) {
	term := r.node.BasicStatus().GetTerm()
	if r.softState.RaftState != raft.StateLeader || entry.GetTerm() != term {
		return
	}
	if r.lessor == nil || r.lessorTerm != term {
		r.lessor = lease.NewLessor(r.now(), r.cfg.LeaseMs, r.cfg.ServerRulesMs)
		r.lessorTerm = term
	}
}

// transferLeadership transfers the leadership to another voter, if this replica leads and there is one.
func (r *Replica) transferLeadership() {
	if to := r.transferTarget(); to != 0 {
		slog.Info("transferring leadership", "to", r.state.Members[to].Name)
		r.node.TransferLeader(to)
	}
}

// transferTarget returns the most up-to-date other voter, or 0 if there is none or this replica does not
// lead.
func (r *Replica) transferTarget() uint64 {
	if r.softState.RaftState != raft.StateLeader {
		return 0
	}
	var target, bestMatch uint64
	for id, progress := range r.node.Status().Progress {
		if id != r.identity.ID && !progress.IsLearner && progress.RecentActive && progress.Match >= bestMatch {
			bestMatch = progress.Match
			target = id
		}
	}
	return target
}

// raftLogger passes raft's log to slog. If raft detects a violated invariant the process panics, because it
// must not continue in an unknown state. Messages of other replicas that would cause this are rejected first
// (checkRaftMessage).
type raftLogger struct{}

func (raftLogger) Debug(...any)                {}
func (raftLogger) Debugf(string, ...any)       {}
func (raftLogger) Info(...any)                 {}
func (raftLogger) Infof(string, ...any)        {}
func (raftLogger) Warning(v ...any)            { slog.Warn("raft", "text", fmt.Sprint(v...)) }
func (raftLogger) Warningf(f string, v ...any) { slog.Warn("raft", "text", fmt.Sprintf(f, v...)) }
func (raftLogger) Error(v ...any)              { slog.Error("raft", "text", fmt.Sprint(v...)) }
func (raftLogger) Errorf(f string, v ...any)   { slog.Error("raft", "text", fmt.Sprintf(f, v...)) }
func (raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
