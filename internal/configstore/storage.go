package configstore

import (
	"errors"
	"fmt"
	"io/fs"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

const (
	// retainedEntries is the number of entries before a snapshot that stay in the log, so that followers with
	// a small lag don't need the snapshot.
	retainedEntries = 128
	// maxTornTailBytes bounds the search for a valid record after an invalid one.
	maxTornTailBytes = 1 << 20
)

// storage stores raft's log and snapshot. Raft reads the embedded MemoryStorage, which has durable content
// only and is used by the event loop only. Once the writer runs, only it accesses the files; a change is
// added to the MemoryStorage after the writer has made it durable.
type storage struct {
	*raft.MemoryStorage
	dir  *disk.Dir
	file *logFileHandle

	logBytes         int64         // size of the log, including records that were submitted to the writer
	snapshotIndex    uint64        // index of the last snapshot
	submittedState   *pb.HardState // last hard state submitted to the writer
	submittedIndex   uint64        // index of the last entry submitted to the writer; raft may have sent it
	unsynced         [][]byte      // submitted records that are not durable yet
	pendingSnapshots int           // number of submitted snapshots of the leader that are not durable yet
	truncatedBytes   int64         // size of an incomplete record that loadStorage removed
}

// logFileHandle is the open log file. It is replaced whenever the log is rewritten.
type logFileHandle struct{ *disk.File }

// loadStorage reads the data directory. If the log ends with an incomplete record, the process died while
// writing it: the record was never acknowledged and is removed. An invalid record that is known to have been
// complete, or that other records follow, is ErrCorrupt.
func loadStorage(d *disk.Dir) (*storage, error) {
	s := &storage{MemoryStorage: raft.NewMemoryStorage(), dir: d}
	if err := s.loadSnapshot(); err != nil {
		return nil, err
	}
	log, err := d.Read(logFile, maxLogBytes)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	end, err := s.replay(log)
	if err != nil {
		return nil, err
	}
	f, err := d.Append(logFile, int64(end))
	if err != nil {
		return nil, err
	}
	s.file = &logFileHandle{f}
	s.logBytes = int64(end)
	s.truncatedBytes = int64(len(log) - end)
	snapshot, _ := s.Snapshot()
	s.snapshotIndex = snapshot.GetMetadata().GetIndex()
	s.submittedState, _, _ = s.InitialState()
	s.submittedIndex, _ = s.LastIndex()
	return s, nil
}

func (s *storage) loadSnapshot() error {
	text, err := readChecksummed(s.dir, snapshotFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var snapshot pb.Snapshot
	if err := proto.Unmarshal(text, &snapshot); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, snapshotFile, err)
	}
	return s.ApplySnapshot(&snapshot)
}

// replay applies the records of the log and returns the offset at which the last valid one ends.
func (s *storage) replay(log []byte) (end int, err error) {
	snapshot, _ := s.Snapshot()
	snapshotIndex := snapshot.GetMetadata().GetIndex()
	for {
		r, ok := decodeRecord(log, end)
		if !ok {
			break
		}
		if err := s.replayRecord(r, snapshotIndex); err != nil {
			return 0, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, end, err)
		}
		end = r.end
	}
	// An invalid record may follow. If a valid record comes after it, the invalid one was complete once.
	for at := end + 1; at < len(log) && at < end+maxTornTailBytes; at++ {
		if _, ok := decodeRecord(log, at); ok {
			return 0, fmt.Errorf("%w: log at byte %d: the checksum does not fit, and records follow", ErrCorrupt, end)
		}
	}
	// If the last record has its full length but is invalid, it was either torn by a crash or corrupted
	// later. It was corrupted if its entry is known to be committed; otherwise the other replicas detect
	// whether an acknowledged entry was lost (watermarks).
	state, _, _ := s.InitialState()
	if last, _ := s.LastIndex(); state.GetCommit() > last {
		return 0, fmt.Errorf("%w: log: entry %d was committed, the last is %d", ErrCorrupt, state.GetCommit(), last)
	}
	return end, nil
}

func (s *storage) replayRecord(r logRecord, snapshotIndex uint64) error {
	switch r.kind {
	case recordHardState:
		var state pb.HardState
		if err := proto.Unmarshal(r.body, &state); err != nil {
			return err
		}
		return s.SetHardState(&state)
	case recordEntry:
		var entry pb.Entry
		if err := proto.Unmarshal(r.body, &entry); err != nil {
			return err
		}
		if last, _ := s.LastIndex(); entry.GetIndex() > last+1 {
			return fmt.Errorf("entry %d follows entry %d", entry.GetIndex(), last)
		}
		if entry.GetIndex() <= snapshotIndex {
			return nil
		}
		return s.Append([]*pb.Entry{&entry})
	}
	return fmt.Errorf("unknown record kind %d", r.kind)
}
