package configstore

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

const (
	// retainedEntries is the number of entries before a snapshot that stay in the log, so that followers with
	// a small lag don't need the snapshot.
	retainedEntries = 128
	// maxRetainedLogBytes bounds the same in bytes. With more than maxLogBeforeSnapshotBytes each entry would cause a
	// snapshot.
	maxRetainedLogBytes = 8 << 20
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
	end, err := s.loadLog(log)
	if err != nil {
		return nil, err
	}
	f, err := d.Append(logFile, int64(end))
	if err != nil {
		return nil, err
	}
	s.file = &logFileHandle{f}
	s.logBytes = int64(end)
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

// loadLog applies the content of the log, and returns its length. A log that does not belong to the snapshot is replaced by
// one that does.
func (s *storage) loadLog(content []byte) (length int, err error) {
	replayed, err := replayLog(content)
	if err != nil {
		return 0, err
	}
	s.truncatedBytes = int64(len(content) - replayed.end)
	snapshot, _ := s.Snapshot()
	changed, err := replayed.fitSnapshot(snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetTerm())
	if err != nil {
		return 0, err
	}
	if err := s.Append(replayed.entries); err != nil {
		return 0, err
	}
	s.SetHardState(&replayed.state)
	// If the last record has its full length but is invalid, it was either torn by a crash or corrupted
	// later. It was corrupted if its entry is known to be committed; otherwise the other replicas detect
	// whether an acknowledged entry was lost (watermarks).
	if last, _ := s.LastIndex(); replayed.state.GetCommit() > last {
		return 0, fmt.Errorf("%w: log: entry %d was committed, the last is %d", ErrCorrupt, replayed.state.GetCommit(), last)
	}
	if !changed {
		return replayed.end, nil
	}
	slog.Warn("the log is of an earlier snapshot and is replaced", "snapshot_index", snapshot.GetMetadata().GetIndex())
	if content, err = s.encodeLog(); err != nil {
		return 0, err
	}
	return len(content), s.dir.Replace(logFile, content)
}
