package configstore

import (
	"math"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// save returns a job that makes the new entries, hard state and snapshot of raft durable; its onDurable adds
// them to the memory storage that raft reads. hasVote reports whether they include a new term or vote.
func (s *storage) save(ready *raft.Ready) (j *job, hasVote bool, err error) {
	if raft.IsEmptySnap(ready.Snapshot) {
		j, err = s.appendJob(ready)
	} else {
		j, err = s.snapshotJob(ready)
	}
	if err != nil {
		return nil, false, err
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		hasVote = ready.HardState.GetTerm() != s.submittedState.GetTerm() ||
			ready.HardState.GetVote() != s.submittedState.GetVote()
		s.submittedState = ready.HardState
	}
	if n := len(ready.Entries); n > 0 {
		s.submittedIndex = ready.Entries[n-1].GetIndex()
	} else if !raft.IsEmptySnap(ready.Snapshot) {
		s.submittedIndex = ready.Snapshot.GetMetadata().GetIndex()
	}
	entries, state, snapshot, records := ready.Entries, ready.HardState, ready.Snapshot, j.records
	j.onDurable = func() error {
		s.recordsDurable(records)
		if err := s.applyDurableSnapshot(snapshot); err != nil {
			return err
		}
		if !raft.IsEmptyHardState(state) {
			s.SetHardState(state)
		}
		return s.Append(entries)
	}
	return j, hasVote, nil
}

// appendJob returns a job that appends the new records to the log.
func (s *storage) appendJob(ready *raft.Ready) (*job, error) {
	records, err := appendReady(nil, ready)
	if err != nil {
		return nil, err
	}
	s.logBytes += int64(len(records))
	if len(records) > 0 {
		s.unsynced = append(s.unsynced, records)
	}
	return &job{sync: ready.MustSync, records: records}, nil
}

// snapshotJob returns a job that replaces the snapshot with one of the leader and the log with one that
// begins after it.
func (s *storage) snapshotJob(ready *raft.Ready) (*job, error) {
	text, err := encodeSnapshot(ready.Snapshot)
	if err != nil {
		return nil, err
	}
	log, err := appendRecord(nil, recordHardState, s.submittedState)
	if err != nil {
		return nil, err
	}
	if log, err = appendReady(log, ready); err != nil {
		return nil, err
	}
	s.logBytes = int64(len(log))
	s.unsynced = nil // they belong to the log that is replaced
	s.pendingSnapshots++
	return &job{sync: ready.MustSync, replace: func() error { return s.replaceFiles(text, log) }}, nil
}

// recordsDurable removes records from the list of those that are not durable yet.
func (s *storage) recordsDurable(records []byte) {
	if len(s.unsynced) > 0 && len(records) > 0 && &s.unsynced[0][0] == &records[0] {
		s.unsynced = s.unsynced[1:]
	}
}

func (s *storage) applyDurableSnapshot(snapshot *pb.Snapshot) error {
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	if err := s.ApplySnapshot(snapshot); err != nil {
		return err
	}
	s.snapshotIndex = snapshot.GetMetadata().GetIndex()
	s.pendingSnapshots--
	return nil
}

func encodeSnapshot(snapshot *pb.Snapshot) ([]byte, error) {
	text, err := proto.Marshal(snapshot)
	return addChecksum(text), err
}

// replaceFiles replaces the snapshot and the log. Once the writer runs, only it may call this.
func (s *storage) replaceFiles(snapshot, log []byte) error {
	if err := s.dir.Replace(snapshotFile, snapshot); err != nil {
		return err
	}
	if err := s.dir.Replace(logFile, log); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return err
	}
	f, err := s.dir.Append(logFile, int64(len(log)))
	if err == nil {
		s.file.File = f
	}
	return err
}

// writeInitialSnapshot makes the first snapshot durable, before the writer exists.
func (s *storage) writeInitialSnapshot(snapshot *pb.Snapshot) error {
	text, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := s.ApplySnapshot(snapshot); err != nil {
		return err
	}
	s.submittedState = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	s.SetHardState(s.submittedState)
	s.snapshotIndex = snapshot.GetMetadata().GetIndex()
	s.submittedIndex = s.snapshotIndex
	log, err := s.encodeLog()
	if err != nil {
		return err
	}
	s.logBytes = int64(len(log))
	return s.replaceFiles(text, log)
}

// compact takes a snapshot of the state as of an index and removes most entries before it; it returns the job
// that rewrites the files accordingly.
func (s *storage) compact(index uint64, conf *pb.ConfState, state []byte) (*job, error) {
	snapshot, err := s.CreateSnapshot(index, conf, state)
	if err != nil {
		return nil, err
	}
	s.snapshotIndex = index
	if err := s.dropEntriesBefore(index); err != nil {
		return nil, err
	}
	text, err := encodeSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	log, err := s.encodeLog()
	if err != nil {
		return nil, err
	}
	s.logBytes = int64(len(log))
	return &job{replace: func() error { return s.replaceFiles(text, log) }}, nil
}

// dropEntriesBefore removes the entries before an index from the memory storage, but for the last ones of them, as many as
// retainedEntries and maxRetainedLogBytes permit.
func (s *storage) dropEntriesBefore(index uint64) error {
	first, _ := s.FirstIndex()
	if index < first {
		return nil
	}
	entries, err := s.Entries(first, index+1, math.MaxUint64)
	if err != nil {
		return err
	}
	retained, bytes := 0, 0
	for retained < min(retainedEntries, len(entries)) {
		bytes += proto.Size(entries[len(entries)-1-retained])
		if bytes > maxRetainedLogBytes {
			break
		}
		retained++
	}
	if last := index - uint64(retained); last > first {
		return s.Compact(last)
	}
	return nil
}

// encodeLog encodes a new log: the durable entries and hard state, followed by the records that are not
// durable yet.
func (s *storage) encodeLog() (log []byte, err error) {
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if last >= first {
		entries, err := s.Entries(first, last+1, 1<<62)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			if log, err = appendRecord(log, recordEntry, entry); err != nil {
				return nil, err
			}
		}
	}
	state, _, _ := s.InitialState()
	if log, err = appendRecord(log, recordHardState, state); err != nil {
		return nil, err
	}
	for _, records := range s.unsynced {
		log = append(log, records...)
	}
	return log, nil
}
