package configstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

// testEntry is an entry of a log, by its index and term.
type testEntry struct{ index, term uint64 }

// entryRange returns the entries from one index to another.
func entryRange(from, to, term uint64) (entries []testEntry) {
	for i := from; i <= to; i++ {
		entries = append(entries, testEntry{i, term})
	}
	return entries
}

func join(parts ...[]testEntry) (all []testEntry) {
	for _, part := range parts {
		all = append(all, part...)
	}
	return all
}

// testState is a hard state.
type testState struct{ term, vote, commit uint64 }

func (s testState) proto() *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(s.term), Vote: proto.Uint64(s.vote), Commit: proto.Uint64(s.commit)}
}

// writeTestFiles writes a data directory with a snapshot, unless its index is 0, and a log.
func writeTestFiles(t *testing.T, dir string, snapshot testEntry, log []testEntry, state testState) {
	t.Helper()
	var content []byte
	var err error
	for _, entry := range log {
		if content, err = appendRecord(content, recordEntry, &pb.Entry{Index: &entry.index, Term: &entry.term}); err != nil {
			t.Fatal(err)
		}
	}
	if content, err = appendRecord(content, recordHardState, state.proto()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, logFile), content, 0o600); err != nil {
		t.Fatal(err)
	}
	if snapshot.index == 0 {
		return
	}
	text, err := encodeSnapshot(&pb.Snapshot{Metadata: &pb.SnapshotMetadata{
		ConfState: &pb.ConfState{Voters: []uint64{1}}, Index: &snapshot.index, Term: &snapshot.term}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, snapshotFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// storedEntries returns the entries that raft finds in the storage.
func storedEntries(t *testing.T, s *storage) (found []testEntry) {
	t.Helper()
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if last < first {
		return nil
	}
	entries, err := s.Entries(first, last+1, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		found = append(found, testEntry{entry.GetIndex(), entry.GetTerm()})
	}
	return found
}

// Guards against a log that is read as one of the snapshot beside it, though a kill has come between their replacements:
// raft panicked on its commit index, and entries that had been replaced came back.
func TestLogOfAnEarlierSnapshotIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name      string
		snapshot  testEntry
		log       []testEntry
		state     testState
		want      []testEntry
		wantState testState
		wantErr   error
	}{
		{"no snapshot", testEntry{}, entryRange(1, 5, 1), testState{1, 2, 4}, entryRange(1, 5, 1), testState{1, 2, 4}, nil},
		{"its own log", testEntry{100, 2}, join(entryRange(90, 95, 1), entryRange(96, 110, 2)), testState{2, 1, 105}, entryRange(101, 110, 2), testState{2, 1, 105}, nil},
		{"its own log, empty", testEntry{100, 2}, nil, testState{2, 1, 100}, nil, testState{2, 1, 100}, nil},
		{"its own log, behind a snapshot of the leader", testEntry{100, 2}, entryRange(101, 103, 2), testState{2, 1, 102}, entryRange(101, 103, 2), testState{2, 1, 102}, nil},
		{"an older log", testEntry{100, 2}, entryRange(1, 5, 1), testState{2, 1, 2}, nil, testState{2, 1, 100}, nil},
		{"an older log of an earlier term", testEntry{100, 2}, entryRange(1, 5, 1), testState{1, 3, 2}, nil, testState{2, 0, 100}, nil},
		{"an older log of a later term", testEntry{100, 2}, entryRange(1, 5, 1), testState{7, 3, 2}, nil, testState{7, 3, 100}, nil},
		{"an older log without an entry", testEntry{100, 2}, nil, testState{2, 1, 2}, nil, testState{2, 1, 100}, nil},
		{"a longer log of another leader", testEntry{100, 3}, join(entryRange(1, 98, 1), entryRange(99, 120, 2)), testState{3, 1, 98}, nil, testState{3, 1, 100}, nil},
		{"entries that were replaced", testEntry{10, 2}, join(entryRange(1, 11, 1), entryRange(9, 10, 2)), testState{2, 1, 10}, nil, testState{2, 1, 10}, nil},
		{"entries that were replaced, and more", testEntry{10, 2}, join(entryRange(1, 15, 1), entryRange(9, 12, 2)), testState{2, 1, 10}, entryRange(11, 12, 2), testState{2, 1, 10}, nil},
		{"a gap behind the snapshot", testEntry{100, 2}, entryRange(102, 103, 2), testState{2, 1, 102}, nil, testState{}, ErrCorrupt},
		{"a gap", testEntry{100, 2}, join(entryRange(99, 101, 2), entryRange(103, 104, 2)), testState{2, 1, 101}, nil, testState{}, ErrCorrupt},
		{"a committed entry is missing", testEntry{100, 2}, entryRange(99, 101, 2), testState{2, 1, 102}, nil, testState{}, ErrCorrupt},
	} {
		t.Run(c.name, func(t *testing.T) {
			data := t.TempDir()
			writeTestFiles(t, data, c.snapshot, c.log, c.state)
			dir, err := disk.Open(data)
			if err != nil {
				t.Fatal(err)
			}
			defer dir.Close()
			for start := range 2 { // the second one reads what the first has written
				s, err := loadStorage(dir)
				if !errors.Is(err, c.wantErr) {
					t.Fatalf("start %d: error %v, want %v", start, err, c.wantErr)
				}
				if err != nil {
					return
				}
				state, _, _ := s.InitialState()
				got := testState{state.GetTerm(), state.GetVote(), state.GetCommit()}
				if entries := storedEntries(t, s); fmt.Sprint(entries) != fmt.Sprint(c.want) || got != c.wantState {
					t.Errorf("start %d: entries %v, state %+v; want %v, %+v", start, entries, got, c.want, c.wantState)
				}
				if _, err := raft.NewRawNode((&Replica{identity: &Identity{ID: 1}, storage: s, applied: c.snapshot.index}).raftConfig()); err != nil {
					t.Error(err)
				}
				s.file.Close()
			}
		})
	}
}
