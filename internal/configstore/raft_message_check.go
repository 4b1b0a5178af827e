package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Reasons to reject a single message. Raft would panic on such a message at once, or later when it acts on
// it.
var (
	errMessageType     = errors.New("a message of a type that replicas do not send each other")
	errMessageTerm     = errors.New("a message without a term")
	errReadIndexFormat = errors.New("a read index message without its one entry")
	errEntryOrder      = errors.New("entries that do not follow each other")
	errSnapshotFormat  = errors.New("a snapshot that is incomplete")
	errCommitBeyondLog = errors.New("the leader has this replica acknowledge entries that it does not have: its data directory was rolled back; " +
		"replace this replica")
	errAckBeyondLog = errors.New("an acknowledgement of entries that were never sent")
)

// checkRaftMessage returns an error if a message of another replica must not be passed to raft. Raft assumes
// that messages come from its own code and panics on others, and one replica must not be able to terminate
// another.
func (r *Replica) checkRaftMessage(m *pb.Message) error {
	switch m.GetType() {
	case pb.MsgReadIndex, pb.MsgReadIndexResp:
		if len(m.GetEntries()) != 1 {
			return errReadIndexFormat
		}
		return nil // a forwarded read index has no term
	case pb.MsgApp:
		return errors.Join(checkTerm(m), checkEntries(m))
	case pb.MsgSnap:
		return errors.Join(checkTerm(m), checkSnapshot(m.GetSnapshot()))
	case pb.MsgHeartbeat:
		return errors.Join(checkTerm(m), r.checkHeartbeat(m))
	case pb.MsgAppResp:
		return errors.Join(checkTerm(m), r.checkAppendResponse(m))
	case pb.MsgVote, pb.MsgVoteResp, pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgHeartbeatResp, pb.MsgTimeoutNow:
		return checkTerm(m)
	}
	return fmt.Errorf("%w: %d", errMessageType, m.GetType())
}

// checkTerm checks that the message has a term: raft takes a message without one for a message of its own
// process.
func checkTerm(m *pb.Message) error {
	if m.GetTerm() == 0 {
		return errMessageTerm
	}
	return nil
}

// checkEntries checks that the entries are consecutive and that none has a later term than the message.
func checkEntries(m *pb.Message) error {
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, entry := range m.GetEntries() {
		follows := entry.GetIndex() == index+1 && entry.GetIndex() > index
		if !follows || entry.GetTerm() < max(term, 1) || entry.GetTerm() > m.GetTerm() {
			return errEntryOrder
		}
		index, term = entry.GetIndex(), entry.GetTerm()
	}
	return nil
}

// checkSnapshot checks that a snapshot has a state and members that raft can restore. It only checks that the
// state is valid JSON, because decoding it twice would delay the event loop.
func checkSnapshot(snapshot *pb.Snapshot) error {
	metadata := snapshot.GetMetadata()
	members := metadata.GetConfState()
	ids := slices.Concat(members.GetVoters(), members.GetLearners())
	slices.Sort(ids)
	unique := len(slices.Compact(slices.Clone(ids))) == len(ids)
	joint := len(members.GetVotersOutgoing())+len(members.GetLearnersNext()) > 0
	if metadata.GetIndex() == 0 || metadata.GetTerm() == 0 || len(members.GetVoters()) == 0 || ids[0] == 0 || !unique || joint {
		return errSnapshotFormat
	}
	if !json.Valid(snapshot.GetData()) {
		return fmt.Errorf("%w: its state is no JSON", errSnapshotFormat)
	}
	return nil
}

// checkHeartbeat checks that this replica has the entries that the leader believes it has acknowledged. They
// are missing if the data directory was rolled back. Heartbeats of former leaders are accepted because raft
// ignores them.
func (r *Replica) checkHeartbeat(m *pb.Message) error {
	last, err := r.storage.LastIndex()
	if err != nil {
		return err
	}
	if m.GetTerm() >= r.node.BasicStatus().GetTerm() && m.GetCommit() > last {
		return fmt.Errorf("%w (up to entry %d, the last is %d)", errCommitBeyondLog, m.GetCommit(), last)
	}
	return nil
}

// checkAppendResponse checks that the acknowledged entries exist. A rejection may name entries that do not.
func (r *Replica) checkAppendResponse(m *pb.Message) error {
	leads := r.node.BasicStatus().RaftState == raft.StateLeader && m.GetTerm() == r.node.BasicStatus().GetTerm()
	if leads && !m.GetReject() && m.GetIndex() > r.storage.submittedIndex {
		return fmt.Errorf("%w (up to entry %d, the last is %d)", errAckBeyondLog, m.GetIndex(), r.storage.submittedIndex)
	}
	return nil
}
