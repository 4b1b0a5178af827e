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
	// retainedEntries is the number of entries before a snapshot that stay in the log for followers that lag a little.
	retainedEntries = 128
	// maxTornTailBytes bounds how far behind an invalid record valid ones are looked for.
	maxTornTailBytes = 1 << 20
)

// storage is raft's log and snapshot. What raft reads is in memory, is durable, and belongs to the loop. The files belong
// to the writer once it runs; raft learns of a change only after the writer has made it durable.
type storage struct {
	*raft.MemoryStorage
	dir  *disk.Dir
	file *logFileHandle

	logBytes         int64         // size of the log, with what was submitted to the writer
	snapshotIndex    uint64        // of the last snapshot
	submittedState   *pb.HardState // the last that was submitted to the writer
	submittedIndex   uint64        // of the last entry that was submitted to the writer, by which time raft may send it
	unsynced         [][]byte      // records that were submitted and are not durable yet
	pendingSnapshots int           // snapshots of the leader that were submitted and are not durable yet
	truncatedBytes   int64         // of an incomplete record that loadStorage removed
}

// logFileHandle is the open log; it changes each time that the log is rewritten.
type logFileHandle struct{ *disk.File }

// loadStorage reads the data directory. If the log ends within a record the process died while it wrote: the incomplete
// record was never acknowledged and is removed. An invalid record that is complete or has others after it is ErrCorrupt.
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
	text, err := readSealed(s.dir, snapshotFile)
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

// replay applies the records of the log and returns where the last valid one ends.
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
	// An invalid record may follow. A valid one behind it says that the invalid one was complete once.
	for at := end + 1; at < len(log) && at < end+maxTornTailBytes; at++ {
		if _, ok := decodeRecord(log, at); ok {
			return 0, fmt.Errorf("%w: log at byte %d: the checksum does not fit, and records follow", ErrCorrupt, end)
		}
	}
	// Whether a last record of full length was torn or changed later is not known here, unless it was known to be
	// committed; else the other replicas know how far this one had come (watermarks).
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
			return fmt.Errorf("entry %d behind %d", entry.GetIndex(), last)
		}
		if entry.GetIndex() <= snapshotIndex {
			return nil
		}
		return s.Append([]*pb.Entry{&entry})
	}
	return fmt.Errorf("a record of kind %d", r.kind)
}
