package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	pathRaftMessages = "/v1/raft"
	// maxRaftMessagesBytes bounds the body of one call: an encoded snapshot and some overhead.
	maxRaftMessagesBytes = maxSnapshotBytes * 3 / 2
)

// Reasons to reject all messages of a call.
var (
	errOtherCluster  = errors.New("another cluster")
	errNotMember     = errors.New("no member has this id: it was removed, or its data directory is not the one that was added")
	errForeignSender = errors.New("a message of another replica")
)

// raftMessages is the body of a call from one replica to another.
type raftMessages struct {
	Cluster uint64            `json:"cluster"`
	From    uint64            `json:"from"`
	Name    string            `json:"name"` // of the sender: a joining replica knows the others by name only
	To      uint64            `json:"to"`
	Nonce   uint64            `json:"nonce"`           // identifies a start of the sender
	Last    uint64            `json:"last"`            // index of the sender's last durable entry
	Acked   map[uint64]uint64 `json:"acked,omitempty"` // watermarks of all replicas, if the sender leads
	Msgs    [][]byte          `json:"msgs"`            // encoded raftpb.Message values
}

// readRaftMessages decodes the body of a call, whose size is bounded.
func readRaftMessages(body io.Reader) (*raftMessages, error) {
	messages := &raftMessages{}
	if err := json.NewDecoder(io.LimitReader(body, maxRaftMessagesBytes)).Decode(messages); err != nil {
		return nil, err
	}
	return messages, nil
}

// setSender fills in this replica as the sender.
func (r *Replica) setSender(messages *raftMessages) {
	messages.Cluster = r.identity.Cluster
	messages.From = r.identity.ID
	messages.Name = r.identity.Name
	messages.Nonce = r.nonce
	messages.Last, _ = r.storage.LastIndex()
	if r.softState.RaftState == raft.StateLeader {
		messages.Acked = maps.Clone(r.watermarks.Acked)
	}
}

// receive handles the messages of a call. An error says why they were rejected.
func (r *Replica) receive(messages *raftMessages) error {
	if messages.To != r.identity.ID {
		return fmt.Errorf("this is replica %d, another data directory than %d; it was wiped or replaced", r.identity.ID, messages.To)
	}
	if r.identity.Cluster == 0 && r.cfg.Join {
		if err := r.joinCluster(messages.Cluster); err != nil {
			return err
		}
	}
	if messages.Cluster != r.identity.Cluster {
		return errOtherCluster
	}
	if _, isMember := r.state.Members[messages.From]; !isMember {
		if r.applied != 0 {
			return errNotMember
		}
		// This replica is joining and has no state yet: it answers the sender at the address in its
		// configuration file.
		r.state.Members[messages.From] = member{Name: messages.Name}
		r.updatePeers()
	}
	if err := r.watermarks.accept(messages.From, messages.Nonce, messages.Last); err != nil {
		return err
	}
	r.watermarks.merge(messages.Acked)
	for _, text := range messages.Msgs {
		if err := r.receiveMessage(messages.From, text); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) receiveMessage(from uint64, text []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(text, m); err != nil {
		return err
	}
	if m.GetFrom() != from || from == r.identity.ID {
		return errForeignSender
	}
	if err := r.checkRaftMessage(m); err != nil {
		return err
	}
	if from == r.softState.Lead && (m.GetType() == pb.MsgHeartbeat || m.GetType() == pb.MsgApp) {
		r.delays.heartbeat(r.now())
	}
	r.node.Step(m) // an error means that raft drops the message
	return nil
}

// joinCluster makes durable which cluster this replica has joined.
func (r *Replica) joinCluster(cluster uint64) error {
	joined := *r.identity
	joined.Cluster = cluster
	var writeErr error
	write := &job{replace: func() error {
		writeErr = writeJSON(r.dir, identityFile, &joined)
		return nil
	}}
	if err := r.runJob(write); err != nil || writeErr != nil {
		return errors.Join(err, writeErr)
	}
	*r.identity = joined
	return nil
}
