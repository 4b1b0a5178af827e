package configstore

import (
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// replayedLog is what the records of a log amount to.
type replayedLog struct {
	entries []*pb.Entry  // without gaps
	state   pb.HardState // the last one
	end     int          // offset at which the last valid record ends
}

// replayLog replays the records of a log. An invalid record ends it, unless valid ones follow: then that record was
// complete once, and the error is ErrCorrupt.
func replayLog(log []byte) (*replayedLog, error) {
	replayed := &replayedLog{}
	for {
		r, ok := decodeRecord(log, replayed.end)
		if !ok {
			break
		}
		if err := replayed.add(r); err != nil {
			return nil, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, replayed.end, err)
		}
		replayed.end = r.end
	}
	for at := replayed.end + 1; at < len(log) && at < replayed.end+maxTornTailBytes; at++ {
		if _, ok := decodeRecord(log, at); ok {
			return nil, fmt.Errorf("%w: log at byte %d: the checksum does not fit, and records follow", ErrCorrupt, replayed.end)
		}
	}
	return replayed, nil
}

// add replays one record.
func (l *replayedLog) add(r logRecord) error {
	switch r.kind {
	case recordHardState:
		l.state.Reset()
		return proto.Unmarshal(r.body, &l.state)
	case recordEntry:
		entry := &pb.Entry{}
		if err := proto.Unmarshal(r.body, entry); err != nil {
			return err
		}
		return l.addEntry(entry)
	}
	return fmt.Errorf("unknown record kind %d", r.kind)
}

// addEntry adds an entry, which replaces those from its index on.
func (l *replayedLog) addEntry(entry *pb.Entry) error {
	if len(l.entries) == 0 || entry.GetIndex() <= l.first() {
		l.entries = []*pb.Entry{entry}
		return nil
	}
	if entry.GetIndex() > l.last()+1 {
		return fmt.Errorf("entry %d follows entry %d", entry.GetIndex(), l.last())
	}
	l.entries = append(l.entries[:entry.GetIndex()-l.first()], entry)
	return nil
}

// first returns the index of the first entry. There must be one.
func (l *replayedLog) first() uint64 { return l.entries[0].GetIndex() }

// last returns the index of the last entry. There must be one.
func (l *replayedLog) last() uint64 { return l.entries[len(l.entries)-1].GetIndex() }

// fitSnapshot reduces the log to what follows the entry with this index and term, the last one of the snapshot. changed
// reports that the log does not belong to this snapshot, but to an earlier one: the process ended between the
// replacement of the snapshot and of the log. What the snapshot says wins, as all of it is committed:
//
//   - entries behind it count only if the log has its last entry, or begins right behind it;
//   - the commit index and the term are at least its own.
func (l *replayedLog) fitSnapshot(index, term uint64) (changed bool, err error) {
	if len(l.entries) > 0 {
		if l.first() > index+1 {
			return false, fmt.Errorf("%w: log: entry %d follows the snapshot of entry %d", ErrCorrupt, l.first(), index)
		}
		changed = l.dropUpTo(index, term)
	}
	if l.state.GetTerm() < term {
		l.state.Term = proto.Uint64(term)
		l.state.Vote = proto.Uint64(0) // a vote of that term would be on the disk with the term
		changed = true
	}
	if l.state.GetCommit() < index {
		l.state.Commit = proto.Uint64(index)
		changed = true
	}
	return changed, nil
}

// dropUpTo drops the entries up to an index, and those behind it if they do not follow the entry with this index and term.
// It reports whether that is the case.
func (l *replayedLog) dropUpTo(index, term uint64) (unrelated bool) {
	if l.first() == index+1 {
		return false
	}
	if l.last() < index || l.entries[index-l.first()].GetTerm() != term {
		l.entries = nil
		return true
	}
	l.entries = l.entries[index-l.first()+1:]
	return false
}
