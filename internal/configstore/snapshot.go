package configstore

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// snapshotEntries is the number of applied entries after which the next snapshot is taken.
	snapshotEntries = 512
	// maxLogBeforeSnapshotBytes is the size of the log from which on a snapshot is taken.
	maxLogBeforeSnapshotBytes = 16 << 20
)

// openStorage loads the data directory and starts raft's node with it.
func (k *Replica) openStorage() (err error) {
	if k.storage, err = loadStorage(k.dir); err != nil {
		return err
	}
	if k.storage.truncatedBytes > 0 {
		slog.Warn("the log ended with an incomplete record, which was removed", "bytes", k.storage.truncatedBytes)
	}
	snapshot, err := k.storage.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snapshot) && k.identity.Formed != nil {
		if snapshot, err = k.writeFirstSnapshot(); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(snapshot) {
		if err := k.restore(snapshot); err != nil {
			return err
		}
	}
	k.writer = newWriter(k.storage.file)
	k.node, err = raft.NewRawNode(k.raftConfig())
	return err
}

// writeFirstSnapshot makes the first state, which is the same at all first members, durable.
func (k *Replica) writeFirstSnapshot() (*pb.Snapshot, error) {
	conf := &pb.ConfState{}
	for name, id := range k.identity.Formed {
		k.state.Members[id] = member{Name: name, Addr: k.cfg.Members[name]}
		conf.Voters = append(conf.Voters, id)
	}
	slices.Sort(conf.Voters)
	data, err := json.Marshal(&k.state)
	if err != nil {
		return nil, err
	}
	if last, _ := k.storage.LastIndex(); last > 0 {
		return nil, fmt.Errorf("%w: there are entries and no snapshot", ErrCorrupt)
	}
	snapshot := &pb.Snapshot{
		Data:     data,
		Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	return snapshot, k.storage.writeInitialSnapshot(snapshot)
}

// restore replaces the state by a snapshot's.
func (k *Replica) restore(snapshot *pb.Snapshot) error {
	var restored state
	if err := json.Unmarshal(snapshot.GetData(), &restored); err != nil {
		return fmt.Errorf("%w: snapshot: %w", ErrCorrupt, err)
	}
	k.state = restored
	k.confState = snapshot.GetMetadata().GetConfState()
	k.applied = snapshot.GetMetadata().GetIndex()
	k.updatePeers()
	return nil
}

// snapshotIfDue takes a snapshot of the state and shortens the log, if that is due and the writer has capacity.
func (k *Replica) snapshotIfDue() error {
	due := k.membersChanged || k.applied-k.storage.snapshotIndex >= snapshotEntries ||
		k.storage.logBytes > maxLogBeforeSnapshotBytes
	if !due || k.applied <= k.storage.snapshotIndex || k.storage.pendingSnapshots != 0 || k.disk.full() {
		return nil
	}
	data, err := json.Marshal(&k.state)
	if err != nil {
		return err
	}
	k.membersChanged = false
	j, err := k.storage.compact(k.applied, k.confState, data)
	if err != nil {
		return err
	}
	return submitJob(k, j)
}
