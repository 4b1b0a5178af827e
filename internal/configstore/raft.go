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
	// heartbeatTicks and electionTicks are raft's, in ticks of tick_ms: a leader that is not heard for 0.4 to 0.8 s, as
	// deployed, is replaced.
	heartbeatTicks = 2
	electionTicks  = 16
	// Bounds of raft's own queues.
	maxEntriesPerMessageBytes = 1 << 20
	maxInflightMessages       = 64
	maxUncommittedBytes       = 64 << 20
)

func (k *Replica) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        k.identity.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   k.storage,
		Applied:                   k.applied,
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

// handleTick runs a tick. What has arrived by then is handled before it: a leader whose message has arrived is not
// silent, nor is a disk that has answered.
func (k *Replica) handleTick() error {
	k.runPosted(nil)
	for range len(k.writer.done) {
		if err := k.jobFinished(<-k.writer.done); err != nil {
			return err
		}
	}
	k.tick()
	return nil
}

func (k *Replica) tick() {
	now := k.now()
	k.delays.tick(now, k.cfg.TickMs, k.cfg.TickMs*electionTicks*2)
	k.node.Tick()
	k.disk.tick()
	k.requests.expire(now, k.electionTimeoutMs())
	k.recordWatermarks()
	if k.lessor == nil {
		return
	}
	k.promoteLearners(now)
}

func (k *Replica) electionTimeoutMs() float64 { return k.cfg.TickMs * electionTicks }

// processReady carries out what raft wants: the writer makes records durable, and messages that depend on them wait.
// All else goes on, so that a slow disk delays neither ticks nor heartbeats.
func (k *Replica) processReady() error {
	for k.node.HasReady() && !k.disk.full() {
		ready := k.node.Ready()
		if err := k.handleReady(&ready); err != nil {
			return err
		}
	}
	k.serveRequests()
	return k.snapshotIfDue()
}

func (k *Replica) handleReady(ready *raft.Ready) error {
	if ready.SoftState != nil {
		k.softStateChanged(*ready.SoftState)
	}
	var outgoing, whenApplied []*pb.Message
	for _, m := range ready.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			if err := k.submitReady(ready, m.GetResponses()); err != nil {
				return err
			}
		case raft.LocalApplyThread:
			whenApplied = m.GetResponses()
		default:
			outgoing = append(outgoing, m)
		}
	}
	k.sendWhenDurable(outgoing)
	for _, entry := range ready.CommittedEntries {
		if err := k.apply(entry); err != nil {
			return err
		}
	}
	for _, m := range whenApplied {
		k.node.Step(m)
	}
	for _, readState := range ready.ReadStates {
		k.requests.confirmed(readState)
	}
	return nil
}

// softStateChanged follows who leads.
func (k *Replica) softStateChanged(next raft.SoftState) {
	if next.RaftState != k.softState.RaftState || next.Lead != k.softState.Lead {
		slog.Info("raft", "state", next.RaftState.String(), "leader", k.state.Members[next.Lead].Name)
	}
	k.countElection(k.softState, next)
	k.softState = next
	if next.RaftState != raft.StateLeader {
		k.lessor = nil
		k.failRequests(errNotLeading)
	}
}

// apply applies one committed entry.
func (k *Replica) apply(entry *pb.Entry) error {
	k.applied = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryNormal:
		if len(entry.GetData()) > 0 {
			if err := k.applyCommand(entry); err != nil {
				return err
			}
		}
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		change, err := decodeConfChange(entry)
		if err != nil {
			return err
		}
		k.confState = k.node.ApplyConfChange(change)
		k.applyMemberChange(change)
		k.membersChanged = true
	}
	k.becomeLessor(entry)
	return nil
}

func (k *Replica) applyCommand(entry *pb.Entry) error {
	var command history.Command
	if err := json.Unmarshal(entry.GetData(), &command); err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrCorrupt, entry.GetIndex(), err)
	}
	previous := k.state.History.Epoch
	version, err := k.state.History.Apply(&command)
	k.answerProposals(command.ID(), proposalResult{version: version, err: err, applied: true})
	if k.state.History.Epoch != previous {
		slog.Info("epoch in force", "epoch", k.state.History.Epoch)
		k.requests.requeueWaiting()
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

// becomeLessor begins to grant leases once the leader has applied an entry of its own term: then it has applied all that
// was committed before.
func (k *Replica) becomeLessor(entry *pb.Entry) {
	term := k.node.BasicStatus().GetTerm()
	if k.softState.RaftState != raft.StateLeader || entry.GetTerm() != term {
		return
	}
	if k.lessor == nil || k.lessorTerm != term {
		k.lessor = lease.NewLessor(k.now(), k.cfg.LeaseMs, k.cfg.EndpointsMs)
		k.lessorTerm = term
	}
}

// transferLeadership hands the leadership to another voter, if this replica leads and there is one.
func (k *Replica) transferLeadership() {
	if to := k.transferTarget(); to != 0 {
		slog.Info("transferring leadership", "to", k.state.Members[to].Name)
		k.node.TransferLeader(to)
	}
}

// transferTarget is the voter that is most up to date; 0: this replica does not lead, or there is none.
func (k *Replica) transferTarget() uint64 {
	if k.softState.RaftState != raft.StateLeader {
		return 0
	}
	var target, bestMatch uint64
	for id, progress := range k.node.Status().Progress {
		if id != k.identity.ID && !progress.IsLearner && progress.RecentActive && progress.Match >= bestMatch {
			bestMatch = progress.Match
			target = id
		}
	}
	return target
}

// raftLogger is raft's log. What raft finds impossible ends the process by a panic.
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
