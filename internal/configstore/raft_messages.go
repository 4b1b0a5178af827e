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
	// maxRaftMessagesBytes bounds the text of one call: a snapshot and a little.
	maxRaftMessagesBytes = maxSnapshotBytes * 3 / 2
)

// Reasons to reject messages.
var (
	errOtherCluster  = errors.New("another cluster")
	errNotMember     = errors.New("no member has this id: it was removed, or its folder is not the one that was added")
	errForeignSender = errors.New("a message of another keeper")
)

// raftMessages is what one replica sends another in a call.
type raftMessages struct {
	Cluster uint64            `json:"cluster"`
	From    uint64            `json:"from"`
	Name    string            `json:"name"` // of the sender: a replica that joins knows the others by name only
	To      uint64            `json:"to"`
	Nonce   uint64            `json:"nonce"`           // of the sender's start
	Last    uint64            `json:"last"`            // the sender's last durable entry
	Acked   map[uint64]uint64 `json:"acked,omitempty"` // a leader's watermarks of all
	Msgs    [][]byte          `json:"msgs"`            // raftpb.Message
}

// readRaftMessages reads messages of a bounded size.
func readRaftMessages(body io.Reader) (*raftMessages, error) {
	messages := &raftMessages{}
	if err := json.NewDecoder(io.LimitReader(body, maxRaftMessagesBytes)).Decode(messages); err != nil {
		return nil, err
	}
	return messages, nil
}

// setSender fills in this replica as the sender.
func (k *Replica) setSender(messages *raftMessages) {
	messages.Cluster = k.identity.Cluster
	messages.From = k.identity.ID
	messages.Name = k.identity.Name
	messages.Nonce = k.nonce
	messages.Last, _ = k.storage.LastIndex()
	if k.softState.RaftState == raft.StateLeader {
		messages.Acked = maps.Clone(k.watermarks.Acked)
	}
}

// receive takes messages; an error is why they are rejected.
func (k *Replica) receive(messages *raftMessages) error {
	if messages.To != k.identity.ID {
		return fmt.Errorf("this is keeper %d, another folder than %d; it was wiped or replaced", k.identity.ID, messages.To)
	}
	if k.identity.Cluster == 0 && k.cfg.Join {
		if err := k.joinCluster(messages.Cluster); err != nil {
			return err
		}
	}
	if messages.Cluster != k.identity.Cluster {
		return errOtherCluster
	}
	if _, isMember := k.state.Members[messages.From]; !isMember {
		if k.applied != 0 {
			return errNotMember
		}
		// This replica joins and has no state yet: it answers the sender at the address that its own file has.
		k.state.Members[messages.From] = member{Name: messages.Name}
		k.updatePeers()
	}
	if err := k.watermarks.accept(messages.From, messages.Nonce, messages.Last); err != nil {
		return err
	}
	k.watermarks.merge(messages.Acked)
	for _, text := range messages.Msgs {
		if err := k.receiveMessage(messages.From, text); err != nil {
			return err
		}
	}
	return nil
}

func (k *Replica) receiveMessage(from uint64, text []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(text, m); err != nil {
		return err
	}
	if m.GetFrom() != from {
		return errForeignSender
	}
	if from == k.softState.Lead && (m.GetType() == pb.MsgHeartbeat || m.GetType() == pb.MsgApp) {
		k.delays.heartbeat(k.now())
	}
	k.node.Step(m) // an error is a message that raft drops
	return nil
}

// joinCluster makes the cluster that a replica joins durable.
func (k *Replica) joinCluster(cluster uint64) error {
	joined := *k.identity
	joined.Cluster = cluster
	var writeErr error
	write := &job{replace: func() error {
		writeErr = writeJSON(k.dir, identityFile, &joined)
		return nil
	}}
	if err := k.runJob(write); err != nil || writeErr != nil {
		return errors.Join(err, writeErr)
	}
	*k.identity = joined
	return nil
}
