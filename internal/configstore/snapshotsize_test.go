package configstore

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

// Guards against a snapshot that a replica writes and then refuses, from its own disk or from another replica.
func TestLargeSnapshotIsReadAndReceived(t *testing.T) {
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
		t.Error(err)
	} else {
		s.file.Close()
	}
	messages, hasSnapshot := (&peer{id: 2}).encode([]*pb.Message{{Type: pb.MsgSnap.Enum(), Snapshot: snapshot}})
	body, err := json.Marshal(messages)
	if err != nil || !hasSnapshot {
		t.Fatal(hasSnapshot, err)
	}
	if received, err := readRaftMessages(bytes.NewReader(body)); err != nil || len(received.Msgs) != 1 || len(received.Msgs[0]) < stateBytes {
		t.Errorf("a message of %d bytes is not received: %v", len(body), err)
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
