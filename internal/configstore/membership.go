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

// learnerLagEntries is how many entries a learner may be behind the commit index to become a voter.
const learnerLagEntries = retainedEntries / 4

// member is one replica as the log knows it.
type member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// MembersRequest adds a replica, first as a learner, or removes one.
type MembersRequest struct {
	Add    string `json:"add,omitempty"` // name
	Addr   string `json:"addr,omitempty"`
	Remove string `json:"remove,omitempty"` // name
}

// changeMembers proposes a change of members, unless one is going on. added is the identity of the replica to add.
func (k *Replica) changeMembers(r *MembersRequest, added *Identity) error {
	if k.softState.RaftState != raft.StateLeader {
		return errNotLeading
	}
	if k.now() < k.memberChangeUntil || len(k.confState.GetLearners()) > 0 && r.Add != "" {
		return invalidCallError{errors.New("members: another change is going on")}
	}
	if r.Add != "" {
		return k.addMember(r, added)
	}
	return k.removeMember(r.Remove)
}

func (k *Replica) addMember(r *MembersRequest, added *Identity) error {
	for id, m := range k.state.Members {
		if id == added.ID {
			return nil // it is a member already
		}
		if m.Name == r.Add {
			return invalidCallError{fmt.Errorf("members: there is a keeper %q with another folder: remove it first", r.Add)}
		}
	}
	return k.proposeMemberChange(pb.ConfChangeAddLearnerNode, added.ID, &member{Name: r.Add, Addr: r.Addr})
}

func (k *Replica) removeMember(name string) error {
	for id, m := range k.state.Members {
		if m.Name != name {
			continue
		}
		if voters := k.confState.GetVoters(); len(voters) == 1 && slices.Contains(voters, id) {
			return invalidCallError{errors.New("members: the last one can't be removed")}
		}
		return k.proposeMemberChange(pb.ConfChangeRemoveNode, id, nil)
	}
	return invalidCallError{fmt.Errorf("members: there is no keeper %q", name)}
}

// proposeMemberChange proposes a change of one member.
func (k *Replica) proposeMemberChange(kind pb.ConfChangeType, id uint64, m *member) error {
	var details []byte
	if m != nil {
		var err error
		if details, err = json.Marshal(m); err != nil {
			return err
		}
	}
	k.memberChangeUntil = k.now() + k.electionTimeoutMs()*4
	change := &pb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(id)}
	return k.node.ProposeConfChange(&pb.ConfChangeV2{Context: details, Changes: []*pb.ConfChangeSingle{change}})
}

// applyMemberChange applies a committed change of members.
func (k *Replica) applyMemberChange(change *pb.ConfChangeV2) {
	k.memberChangeUntil = longAgo
	for _, c := range change.GetChanges() {
		id := c.GetNodeId()
		if c.GetType() == pb.ConfChangeRemoveNode {
			slog.Info("member removed", "name", k.state.Members[id].Name, "id", id)
			delete(k.state.Members, id)
			continue
		}
		var m member
		if json.Unmarshal(change.GetContext(), &m) == nil && m.Name != "" {
			k.state.Members[id] = m
		}
		slog.Info("member changed", "change", c.GetType().String(), "name", k.state.Members[id].Name, "id", id)
	}
	k.updatePeers()
}

// promoteLearners makes a learner that has caught up a voter.
func (k *Replica) promoteLearners(now float64) {
	if now < k.memberChangeUntil {
		return
	}
	status := k.node.Status()
	for id, p := range status.Progress {
		caughtUp := p.State == tracker.StateReplicate && p.Match+learnerLagEntries >= status.GetCommit()
		if p.IsLearner && p.RecentActive && caughtUp {
			k.proposeMemberChange(pb.ConfChangeAddNode, id, nil)
		}
	}
}
