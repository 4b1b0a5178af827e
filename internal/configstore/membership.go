package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// learnerLagEntries is the number of entries by which a learner may lag behind the commit index to be
// promoted to voter.
const learnerLagEntries = retainedEntries / 4

// member describes a replica in the replicated state.
type member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// MembersRequest is a request to add a replica, first as a learner, or to remove one.
type MembersRequest struct {
	Add    string `json:"add,omitempty"` // name
	Addr   string `json:"addr,omitempty"`
	Remove string `json:"remove,omitempty"` // name
}

// changeMembers proposes a membership change unless another one is in progress. added is the identity of the
// replica to add.
func (r *Replica) changeMembers(change *MembersRequest, added *Identity) error {
	if r.softState.RaftState != raft.StateLeader {
		return errNotLeading
	}
	if r.now() < r.memberChangeUntil || len(r.confState.GetLearners()) > 0 && change.Add != "" {
		return invalidCallError{errors.New("members: another change is going on")}
	}
	if change.Add != "" {
		return r.addMember(change, added)
	}
	return r.removeMember(change.Remove)
}

func (r *Replica) addMember(change *MembersRequest, added *Identity) error {
	for id, m := range r.state.Members {
		if id == added.ID {
			return nil // already a member
		}
		if m.Name == change.Add {
			return invalidCallError{fmt.Errorf("members: there is a replica %q with another data directory: remove it first", change.Add)}
		}
	}
	return r.proposeMemberChange(pb.ConfChangeAddLearnerNode, added.ID, &member{Name: change.Add, Addr: change.Addr})
}

func (r *Replica) removeMember(name string) error {
	for id, m := range r.state.Members {
		if m.Name != name {
			continue
		}
		if voters := r.confState.GetVoters(); len(voters) == 1 && slices.Contains(voters, id) {
			return invalidCallError{errors.New("members: the last one can't be removed")}
		}
		return r.proposeMemberChange(pb.ConfChangeRemoveNode, id, nil)
	}
	return invalidCallError{fmt.Errorf("members: there is no replica %q", name)}
}

// proposeMemberChange proposes a membership change of one replica.
func (r *Replica) proposeMemberChange(kind pb.ConfChangeType, id uint64, m *member) error {
	var details []byte
	if m != nil {
		var err error
		if details, err = json.Marshal(m); err != nil {
			return err
		}
	}
	r.memberChangeUntil = r.now() + r.electionTimeoutMs()*4
	change := &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
	return r.node.ProposeConfChange(&pb.ConfChangeV2{Context: details, Changes: []*pb.ConfChangeSingle{change}})
}

// applyMemberChange applies a committed membership change.
func (r *Replica) applyMemberChange(change *pb.ConfChangeV2) {
	r.memberChangeUntil = longAgo
	for _, c := range change.GetChanges() {
		id := c.GetNodeId()
		if c.GetType() == pb.ConfChangeRemoveNode {
			slog.Info("member removed", "name", r.state.Members[id].Name, "id", id)
			delete(r.state.Members, id)
			continue
		}
		var m member
		if json.Unmarshal(change.GetContext(), &m) == nil && m.Name != "" {
			r.state.Members[id] = m
		}
		slog.Info("member changed", "change", c.GetType().String(), "name", r.state.Members[id].Name, "id", id)
	}
	r.updatePeers()
}

// promoteLearners proposes to promote learners that have caught up to voters.
func (r *Replica) promoteLearners(now float64) {
	if now < r.memberChangeUntil {
		return
	}
	status := r.node.Status()
	for id, p := range status.Progress {
		caughtUp := p.State == tracker.StateReplicate && p.Match+learnerLagEntries >= status.GetCommit()
		if p.IsLearner && p.RecentActive && caughtUp {
			r.proposeMemberChange(pb.ConfChangeAddNode, id, nil)
		}
	}
}
