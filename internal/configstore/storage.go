package configstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/disk"
)

// The files of a keeper's folder. Each record of the log, and the whole of the other files, has a checksum.
const (
	logFile, snapshotFile, identityFile, watermarksFile = "log", "snapshot", "identity", "seen"
	// maxLogBytes and mostSnap bound what is read, in bytes.
	maxLogBytes, maxSnapshotBytes = 256 << 20, 64 << 20
	// snapshotEntries is how many entries are applied between two snapshots, keepEntries how many stay for followers that
	// are a little behind.
	snapshotEntries, retainedEntries = 512, 128
	// maxLogBeforeSnapshotBytes is the size of the log from which on it is written anew, bytes.
	maxLogBeforeSnapshotBytes = 16 << 20
)

// The kinds of records.
const (
	recordEntry byte = 1 + iota
	recordHardState
)

// ErrCorrupt says that a file holds what was never written so. A keeper with one is not to go on: it is replaced.
var ErrCorrupt = errors.New("keeper: damaged")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// seal puts a checksum before a text, open checks and takes it off.
func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, crcTable)), text...)
}

func unseal(name string, sealed []byte) ([]byte, error) {
	if len(sealed) < 4 || crc32.Checksum(sealed[4:], crcTable) != binary.BigEndian.Uint32(sealed) {
		return nil, fmt.Errorf("%w: %s: the checksum does not fit", ErrCorrupt, name)
	}
	return sealed[4:], nil
}

// readJSON reads a sealed JSON file; found is false where there is none.
func readJSON(d *disk.Dir, name string, into any) (found bool, err error) {
	text, err := d.Read(name, maxSnapshotBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		text, err = unseal(name, text)
	}
	if err == nil {
		if err = json.Unmarshal(text, into); err != nil {
			err = fmt.Errorf("%w: %s: %w", ErrCorrupt, name, err)
		}
	}
	return err == nil, err
}

func writeJSON(d *disk.Dir, name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return d.Replace(name, seal(text))
}

// storage is raft's log and snapshot. In memory, as raft reads it, it has what lasts, and belongs to the loop; on the disk
// it is the writer's, once that runs, and begun before anything of it is told to anybody.
type storage struct {
	*raft.MemoryStorage
	dir              *disk.Dir
	file             *logFileHandle
	logBytes         int64         // bytes of the log, with what the writer was given
	snapshotIndex    uint64        // index of the snapshot
	submittedState   *pb.HardState // the last that the writer was given
	unsynced         [][]byte      // records that the writer was given and that do not last yet
	pendingSnapshots int           // snapshots of the leader that it was given and that do not last yet
	// at the start
	startTerm, startLast uint64
	truncatedBytes       int64 // bytes that were cut off the log's end
}

// logFileHandle is the log's, which is another one after each time that the log was written anew.
type logFileHandle struct{ *disk.File }

// loadStorage reads what the folder has. A log that ends within a record was being written as the process died: what is not
// whole was never acknowledged and is cut off. A record that is whole and wrong, or has others behind it, is damage.
func loadStorage(d *disk.Dir) (*storage, error) {
	s := &storage{MemoryStorage: raft.NewMemoryStorage(), dir: d}
	text, err := d.Read(snapshotFile, maxSnapshotBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	default:
		if text, err = unseal(snapshotFile, text); err != nil {
			return nil, err
		}
		var snap pb.Snapshot
		if err := proto.Unmarshal(text, &snap); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, snapshotFile, err)
		}
		if err := s.ApplySnapshot(&snap); err != nil {
			return nil, err
		}
	}
	text, err = d.Read(logFile, maxLogBytes)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	at, err := s.replay(text)
	if err != nil {
		return nil, err
	}
	s.truncatedBytes = int64(len(text) - at)
	f, err := d.Append(logFile, int64(at))
	if err != nil {
		return nil, err
	}
	s.file, s.logBytes = &logFileHandle{f}, int64(at)
	snap, _ := s.Snapshot()
	s.snapshotIndex = snap.GetMetadata().GetIndex()
	state, _, _ := s.InitialState()
	s.submittedState = state
	s.startTerm = state.GetTerm()
	s.startLast, _ = s.LastIndex()
	return s, nil
}

// replay reads records and returns where the last whole one ends.
func (s *storage) replay(text []byte) (at int, err error) {
	snap, _ := s.Snapshot()
	base := snap.GetMetadata().GetIndex()
	for {
		kind, body, next, ok := decodeRecord(text, at)
		if !ok {
			break
		}
		switch kind {
		case recordHardState:
			var st pb.HardState
			if err := proto.Unmarshal(body, &st); err != nil {
				return 0, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, at, err)
			}
			s.SetHardState(&st)
		case recordEntry:
			var e pb.Entry
			if err := proto.Unmarshal(body, &e); err != nil {
				return 0, fmt.Errorf("%w: log at byte %d: %w", ErrCorrupt, at, err)
			}
			if last, _ := s.LastIndex(); e.GetIndex() > last+1 {
				return 0, fmt.Errorf("%w: log at byte %d: entry %d behind %d", ErrCorrupt, at, e.GetIndex(), last)
			}
			if e.GetIndex() > base {
				if err := s.Append([]*pb.Entry{&e}); err != nil {
					return 0, err
				}
			}
		default:
			return 0, fmt.Errorf("%w: log at byte %d: a record of kind %d", ErrCorrupt, at, kind)
		}
		at = next
	}
	// Behind the last good record there may be one that is not whole. A good one behind it says that it was.
	for i := at + 1; i < len(text) && i < at+maxTornTailBytes; i++ {
		if _, _, _, ok := decodeRecord(text, i); ok {
			return 0, fmt.Errorf("%w: log at byte %d: the checksum does not fit, and records follow", ErrCorrupt, at)
		}
	}
	// A last record that is whole by its length may be torn within, or flipped later: that can't be told from here,
	// unless it was known to be committed; the other keepers know how far this one had come (seen.go).
	state, _, _ := s.InitialState()
	if last, _ := s.LastIndex(); state.GetCommit() > last {
		return 0, fmt.Errorf("%w: log: entry %d was committed, the last is %d", ErrCorrupt, state.GetCommit(), last)
	}
	return at, nil
}

// maxTornTailBytes bounds how far behind a bad record others are looked for, in bytes.
const maxTornTailBytes = 1 << 20

// A record is its length (4 bytes), its checksum (4), its kind (1) and its body. The checksum covers all but itself.
func decodeHeader(text []byte, at int) (sum uint32, size int, ok bool) {
	if at+9 > len(text) {
		return 0, 0, false
	}
	size = int(binary.BigEndian.Uint32(text[at:]))
	return binary.BigEndian.Uint32(text[at+4:]), size, size <= maxLogBytes
}

func decodeRecord(text []byte, at int) (kind byte, body []byte, next int, ok bool) {
	sum, size, ok := decodeHeader(text, at)
	if !ok || size < 0 || at+9+size > len(text) {
		return 0, nil, 0, false
	}
	next = at + 9 + size
	c := crc32.Update(crc32.Checksum(text[at:at+4], crcTable), crcTable, text[at+8:next])
	return text[at+8], text[at+9 : next], next, c == sum
}

func appendRecord(out []byte, kind byte, m proto.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	at := len(out)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = append(append(out, 0, 0, 0, 0, kind), body...)
	c := crc32.Update(crc32.Checksum(out[at:at+4], crcTable), crcTable, out[at+8:])
	binary.BigEndian.PutUint32(out[at+4:], c)
	return out, nil
}

// appendReady appends the records of what raft has of new.
func appendReady(out []byte, rd *raft.Ready) (_ []byte, err error) {
	for _, e := range rd.Entries {
		if out, err = appendRecord(out, recordEntry, e); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		return appendRecord(out, recordHardState, rd.HardState)
	}
	return out, nil
}

// save is the job that makes what raft has of new last; its then has raft read it. voted tells whether term or vote are
// among it.
func (s *storage) save(rd *raft.Ready) (j *job, voted bool, err error) {
	j = &job{sync: rd.MustSync}
	snap := !raft.IsEmptySnap(rd.Snapshot)
	if snap {
		text, err := sealSnapshot(rd.Snapshot)
		if err != nil {
			return nil, false, err
		}
		// The log begins anew behind it.
		log, err := appendRecord(nil, recordHardState, s.submittedState)
		if err == nil {
			log, err = appendReady(log, rd)
		}
		if err != nil {
			return nil, false, err
		}
		j.replace = func() error { return s.replaceFiles(text, log) }
		s.logBytes = int64(len(log))
		s.unsynced = nil // the log that they go to is replaced
		s.pendingSnapshots++
	} else {
		if j.records, err = appendReady(nil, rd); err != nil {
			return nil, false, err
		}
		s.logBytes += int64(len(j.records))
		if len(j.records) > 0 {
			s.unsynced = append(s.unsynced, j.records)
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		voted = rd.HardState.GetTerm() != s.submittedState.GetTerm() || rd.HardState.GetVote() != s.submittedState.GetVote()
		s.submittedState = rd.HardState
	}
	entries, state, snapshot, records := rd.Entries, rd.HardState, rd.Snapshot, j.records
	j.onDurable = func() error {
		if len(s.unsynced) > 0 && len(records) > 0 && &s.unsynced[0][0] == &records[0] {
			s.unsynced = s.unsynced[1:]
		}
		if snap {
			if err := s.ApplySnapshot(snapshot); err != nil {
				return err
			}
			s.snapshotIndex = snapshot.GetMetadata().GetIndex()
			s.pendingSnapshots--
		}
		if !raft.IsEmptyHardState(state) {
			s.SetHardState(state)
		}
		return s.Append(entries)
	}
	return j, voted, nil
}

func sealSnapshot(snap *pb.Snapshot) ([]byte, error) {
	text, err := proto.Marshal(snap)
	return seal(text), err
}

// replaceFiles replaces the snapshot and the log.
func (s *storage) replaceFiles(snap, log []byte) error {
	if err := s.dir.Replace(snapshotFile, snap); err != nil {
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

// writeInitialSnapshot makes the very first snapshot last, before there is a writer.
func (s *storage) writeInitialSnapshot(snap *pb.Snapshot) error {
	text, err := sealSnapshot(snap)
	if err != nil {
		return err
	}
	if err := s.ApplySnapshot(snap); err != nil {
		return err
	}
	s.submittedState = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	s.SetHardState(s.submittedState)
	s.snapshotIndex = snap.GetMetadata().GetIndex()
	log, err := s.encodeLog()
	if err != nil {
		return err
	}
	s.logBytes = int64(len(log))
	return s.replaceFiles(text, log)
}

// compact is the job that makes state, as it is behind entry index, the snapshot; most entries before are let go of.
func (s *storage) compact(index uint64, conf *pb.ConfState, state []byte) (*job, error) {
	snap, err := s.CreateSnapshot(index, conf, state)
	if err != nil {
		return nil, err
	}
	s.snapshotIndex = index
	if first, _ := s.FirstIndex(); index > retainedEntries && index-retainedEntries > first {
		if err := s.Compact(index - retainedEntries); err != nil {
			return nil, err
		}
	}
	text, err := sealSnapshot(snap)
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

// encodeLog is the log written anew: what the memory has of it, which lasts, and behind it what is on its way.
func (s *storage) encodeLog() (out []byte, err error) {
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	if last >= first {
		entries, err := s.Entries(first, last+1, 1<<62)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if out, err = appendRecord(out, recordEntry, e); err != nil {
				return nil, err
			}
		}
	}
	state, _, _ := s.InitialState()
	if out, err = appendRecord(out, recordHardState, state); err != nil {
		return nil, err
	}
	for _, records := range s.unsynced {
		out = append(out, records...)
	}
	return out, nil
}
