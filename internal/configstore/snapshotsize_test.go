package configstore

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

// encodeTimeout bounds the wait for a small state to be encoded.
const encodeTimeout = 20 * time.Second

// Guards against a snapshot that a replica writes and then refuses, from its own disk or from another replica.
func TestLargeSnapshotIsRead(t *testing.T) {
	const stateBytes = 96 << 20 // 512 versions of 3,200 servers with ids of some 30 bytes
	snapshot := &pb.Snapshot{Data: bytes.Repeat([]byte("s"), stateBytes), Metadata: &pb.SnapshotMetadata{
		ConfState: &pb.ConfState{Voters: []uint64{1}}, Index: proto.Uint64(100), Term: proto.Uint64(2)}}
	data := t.TempDir()
	writeTestFiles(t, data, testEntry{}, nil, testState{2, 1, 100})
	text, err := encodeSnapshot(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(data, snapshotFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
	dir, err := disk.Open(data)
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	s, err := loadStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	s.file.Close()
	if encoded := base64.StdEncoding.EncodedLen(maxSnapshotBytes); encoded >= maxRaftMessagesBytes || stateBytes >= maxSnapshotBytes {
		t.Errorf("a snapshot of %d bytes has %d in a call, of which %d are read", maxSnapshotBytes, encoded, maxRaftMessagesBytes)
	}
}

// Entries behind a snapshot are bounded in bytes too: a log that stays over maxLogBeforeSnapshotBytes would cause a snapshot
// with each entry.
func TestRetainedEntriesAreBoundedInBytes(t *testing.T) {
	const entryBytes = 1 << 20
	for _, c := range []struct{ entries, bytes, want int }{
		{300, 10, retainedEntries},
		{40, entryBytes, maxRetainedLogBytes/entryBytes - 1},
		{20, 2 * maxRetainedLogBytes, 0},
		{5, 10, 5},
	} {
		s := &storage{MemoryStorage: raft.NewMemoryStorage()}
		for i := range c.entries {
			index := uint64(i + 1)
			if err := s.Append([]*pb.Entry{{Index: &index, Term: proto.Uint64(1), Data: make([]byte, c.bytes)}}); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := s.compact(uint64(c.entries), &pb.ConfState{Voters: []uint64{1}}, nil); err != nil {
			t.Fatal(err)
		}
		if retained := len(storedEntries(t, s)); retained != c.want {
			t.Errorf("%d entries of %d bytes: %d are retained, want %d", c.entries, c.bytes, retained, c.want)
		}
	}
}

// Guards against a snapshot that is encoded by the event loop: for a large state that takes over a second, and the replica
// that leads is replaced. What is applied meanwhile is not in the snapshot.
func TestSnapshotIsEncodedOutsideTheEventLoop(t *testing.T) {
	s := newTestCluster(t, 3)
	leader, _ := s.waitForLeader(10 * electionTicks)
	before := leader.storage.snapshotIndex
	leader.membersChanged = true
	s.requireNoError(leader.snapshotIfDue())
	due := leader.applied
	if !leader.encoding || leader.storage.snapshotIndex != before {
		t.Fatalf("the loop has taken a snapshot of entry %d itself", leader.storage.snapshotIndex)
	}
	var encoded encodedSnapshot
	select {
	case encoded = <-leader.encoded:
	case <-time.After(encodeTimeout):
		t.Fatal("the state is not encoded")
	}
	answer := s.publish(leader)
	s.tick()
	s.tick()
	requirePublished(t, answer)
	leader.encoded <- encoded
	s.settle()
	snapshot, err := leader.storage.Snapshot()
	if err != nil || leader.encoding || leader.applied <= due {
		t.Fatalf("error %v, still encoding %v, applied %d of %d", err, leader.encoding, leader.applied, due)
	}
	var stored state
	if err := json.Unmarshal(snapshot.GetData(), &stored); err != nil {
		t.Fatal(err)
	}
	if snapshot.GetMetadata().GetIndex() != due || stored.History.Last() != 0 || leader.state.History.Last() != 1 {
		t.Errorf("the snapshot is of entry %d, due was %d; it has %d versions, the state %d",
			snapshot.GetMetadata().GetIndex(), due, stored.History.Last(), leader.state.History.Last())
	}
	if last, _ := leader.storage.LastIndex(); last < leader.applied {
		t.Errorf("the log ends at %d, applied is %d", last, leader.applied)
	}
}
