package configstore

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// snapshotEntries is the number of applied entries since the last snapshot after which the next one is
	// taken.
	snapshotEntries = 512
	// maxLogBeforeSnapshotBytes is the size of the log above which a snapshot is taken.
	maxLogBeforeSnapshotBytes = 16 << 20
)

// openStorage loads the data directory and creates the raft node from it.
func (r *Replica) openStorage() (err error) {
	if r.storage, err = loadStorage(r.dir); err != nil {
		return err
	}
	if r.storage.truncatedBytes > 0 {
		slog.Warn("removed an incomplete record at the end of the log", "bytes", r.storage.truncatedBytes)
	}
	snapshot, err := r.storage.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snapshot) && r.identity.InitialMembers != nil {
		if snapshot, err = r.writeFirstSnapshot(); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(snapshot) {
		if err := r.restore(snapshot); err != nil {
			return err
		}
	}
	r.writer = newWriter(r.storage.file)
	r.node, err = raft.NewRawNode(r.raftConfig())
	return err
}

// writeFirstSnapshot makes the initial state durable. It is the same for all initial members.
func (r *Replica) writeFirstSnapshot() (*pb.Snapshot, error) {
	conf := &pb.ConfState{}
	for name, id := range r.identity.InitialMembers {
		r.state.Members[id] = member{Name: name, Addr: r.cfg.Members[name]}
		conf.Voters = append(conf.Voters, id)
	}
	slices.Sort(conf.Voters)
	data, err := json.Marshal(&r.state)
	if err != nil {
		return nil, err
	}
	if last, _ := r.storage.LastIndex(); last > 0 {
		return nil, fmt.Errorf("%w: there are entries and no snapshot", ErrCorrupt)
	}
	snapshot := &pb.Snapshot{
		Data:     data,
		Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	return snapshot, r.storage.writeInitialSnapshot(snapshot)
}

// restore replaces the state with that of a snapshot.
func (r *Replica) restore(snapshot *pb.Snapshot) error {
	var restored state
	if err := json.Unmarshal(snapshot.GetData(), &restored); err != nil {
		return fmt.Errorf("%w: snapshot: %w", ErrCorrupt, err)
	}
	r.state = restored
	r.confState = snapshot.GetMetadata().GetConfState()
	r.applied = snapshot.GetMetadata().GetIndex()
	r.updatePeers()
	return nil
}

// encodedSnapshot is a state that was encoded for a snapshot.
type encodedSnapshot struct {
	index uint64 // of the last entry that was applied to it
	conf  *pb.ConfState
	data  []byte
	err   error
}

// snapshotIfDue takes a snapshot of the state and compacts the log, if that is due and the writer has capacity. A large
// state takes longer to encode than the others wait for a heartbeat, so a goroutine does that.
func (r *Replica) snapshotIfDue() error {
	select {
	case encoded := <-r.encoded:
		r.encoding = false
		if err := r.storeSnapshot(&encoded); err != nil {
			return err
		}
	default:
	}
	if !r.encoding && r.snapshotDue() {
		r.encodeSnapshot()
	}
	return nil
}

func (r *Replica) snapshotDue() bool {
	due := r.membersChanged || r.applied-r.storage.snapshotIndex >= snapshotEntries ||
		r.storage.logBytes > maxLogBeforeSnapshotBytes
	return due && r.applied > r.storage.snapshotIndex && r.storage.pendingSnapshots == 0 && !r.disk.full()
}

// encodeSnapshot begins to encode the present state.
func (r *Replica) encodeSnapshot() {
	r.encoding = true
	r.membersChanged = false
	present := state{History: r.state.History.Clone(), Members: maps.Clone(r.state.Members)}
	encoded := encodedSnapshot{index: r.applied, conf: r.confState}
	r.goroutines.Go(func() {
		encoded.data, encoded.err = json.Marshal(&present)
		r.encoded <- encoded
	})
}

// storeSnapshot stores an encoded state, unless a snapshot of the leader has come meanwhile, or the writer has no capacity.
func (r *Replica) storeSnapshot(encoded *encodedSnapshot) error {
	if encoded.err != nil {
		return encoded.err
	}
	switch {
	case encoded.index <= r.storage.snapshotIndex:
		return nil
	case r.storage.pendingSnapshots != 0 || r.disk.full():
		r.membersChanged = true // it may have been due for that, and is taken again
		return nil
	}
	j, err := r.storage.compact(encoded.index, encoded.conf, encoded.data)
	if err != nil {
		return err
	}
	return submitJob(r, j)
}
