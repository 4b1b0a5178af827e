package keeper

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
	logFile, snapFile, identityFile, seenFile = "log", "snapshot", "identity", "seen"
	// mostLog and mostSnap bound what is read, in bytes.
	mostLog, mostSnap = 256 << 20, 64 << 20
	// compactAt is how many entries are applied between two snapshots, keepEntries how many stay for followers that
	// are a little behind.
	compactAt, keepEntries = 512, 128
	// logAt is the size of the log from which on it is written anew, bytes.
	logAt = 16 << 20
)

// The kinds of records.
const (
	recEntry byte = 1 + iota
	recState
)

// ErrDamaged says that a file holds what was never written so. A keeper with one is not to go on: it is replaced.
var ErrDamaged = errors.New("keeper: damaged")

var table = crc32.MakeTable(crc32.Castagnoli)

// seal puts a checksum before a text, open checks and takes it off.
func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, table)), text...)
}

func open(name string, sealed []byte) ([]byte, error) {
	if len(sealed) < 4 || crc32.Checksum(sealed[4:], table) != binary.BigEndian.Uint32(sealed) {
		return nil, fmt.Errorf("%w: %s: the checksum does not fit", ErrDamaged, name)
	}
	return sealed[4:], nil
}

// read reads a sealed JSON file; found is false where there is none.
func read(d *disk.Dir, name string, into any) (found bool, err error) {
	text, err := d.Read(name, mostSnap)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		text, err = open(name, text)
	}
	if err == nil {
		if err = json.Unmarshal(text, into); err != nil {
			err = fmt.Errorf("%w: %s: %w", ErrDamaged, name, err)
		}
	}
	return err == nil, err
}

func write(d *disk.Dir, name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return d.Replace(name, seal(text))
}

// storage is raft's log and snapshot: in memory, as raft reads it, and on the disk, before anything of it is told to
// anybody.
type storage struct {
	*raft.MemoryStorage
	dir  *disk.Dir
	file *disk.File
	size int64
	// at the start
	startTerm, startLast uint64
	torn                 int64 // bytes that were cut off the log's end
}

// load reads what the folder has. A log that ends within a record was being written as the process died: what is not
// whole was never acknowledged and is cut off. A record that is whole and wrong, or has others behind it, is damage.
func load(d *disk.Dir) (*storage, error) {
	s := &storage{MemoryStorage: raft.NewMemoryStorage(), dir: d}
	text, err := d.Read(snapFile, mostSnap)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	default:
		if text, err = open(snapFile, text); err != nil {
			return nil, err
		}
		var snap pb.Snapshot
		if err := proto.Unmarshal(text, &snap); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrDamaged, snapFile, err)
		}
		if err := s.ApplySnapshot(&snap); err != nil {
			return nil, err
		}
	}
	text, err = d.Read(logFile, mostLog)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	at, err := s.replay(text)
	if err != nil {
		return nil, err
	}
	s.torn = int64(len(text) - at)
	if s.file, err = d.Append(logFile, int64(at)); err != nil {
		return nil, err
	}
	s.size = int64(at)
	state, _, _ := s.InitialState()
	s.startTerm = state.GetTerm()
	s.startLast, _ = s.LastIndex()
	return s, nil
}

// replay reads records and returns where the last whole one ends.
func (s *storage) replay(text []byte) (at int, err error) {
	snap, _ := s.Snapshot()
	base := snap.GetMetadata().GetIndex()
	for {
		kind, body, next, ok := record(text, at)
		if !ok {
			break
		}
		switch kind {
		case recState:
			var st pb.HardState
			if err := proto.Unmarshal(body, &st); err != nil {
				return 0, fmt.Errorf("%w: log at byte %d: %w", ErrDamaged, at, err)
			}
			s.SetHardState(&st)
		case recEntry:
			var e pb.Entry
			if err := proto.Unmarshal(body, &e); err != nil {
				return 0, fmt.Errorf("%w: log at byte %d: %w", ErrDamaged, at, err)
			}
			if last, _ := s.LastIndex(); e.GetIndex() > last+1 {
				return 0, fmt.Errorf("%w: log at byte %d: entry %d behind %d", ErrDamaged, at, e.GetIndex(), last)
			}
			if e.GetIndex() > base {
				if err := s.Append([]*pb.Entry{&e}); err != nil {
					return 0, err
				}
			}
		default:
			return 0, fmt.Errorf("%w: log at byte %d: a record of kind %d", ErrDamaged, at, kind)
		}
		at = next
	}
	// Behind the last good record there may be one that is not whole. A good one behind it says that it was.
	for i := at + 1; i < len(text) && i < at+mostTail; i++ {
		if _, _, _, ok := record(text, i); ok {
			return 0, fmt.Errorf("%w: log at byte %d: the checksum does not fit, and records follow", ErrDamaged, at)
		}
	}
	// A last record that is whole by its length may be torn within, or flipped later: that can't be told from here,
	// unless it was known to be committed; the other keepers know how far this one had come (seen.go).
	state, _, _ := s.InitialState()
	if last, _ := s.LastIndex(); state.GetCommit() > last {
		return 0, fmt.Errorf("%w: log: entry %d was committed, the last is %d", ErrDamaged, state.GetCommit(), last)
	}
	return at, nil
}

// mostTail bounds how far behind a bad record others are looked for, in bytes.
const mostTail = 1 << 20

// A record is its length (4 bytes), its checksum (4), its kind (1) and its body. The checksum covers all but itself.
func head(text []byte, at int) (sum uint32, size int, ok bool) {
	if at+9 > len(text) {
		return 0, 0, false
	}
	size = int(binary.BigEndian.Uint32(text[at:]))
	return binary.BigEndian.Uint32(text[at+4:]), size, size <= mostLog
}

func record(text []byte, at int) (kind byte, body []byte, next int, ok bool) {
	sum, size, ok := head(text, at)
	if !ok || size < 0 || at+9+size > len(text) {
		return 0, nil, 0, false
	}
	next = at + 9 + size
	c := crc32.Update(crc32.Checksum(text[at:at+4], table), table, text[at+8:next])
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
	c := crc32.Update(crc32.Checksum(out[at:at+4], table), table, out[at+8:])
	binary.BigEndian.PutUint32(out[at+4:], c)
	return out, nil
}

// save makes what raft has of new last. An error ends the keeper: what the disk has then is unknown.
func (s *storage) save(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := s.snapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := s.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := s.rewrite(); err != nil {
			return err
		}
	}
	var out []byte
	var err error
	for _, e := range rd.Entries {
		if out, err = appendRecord(out, recEntry, e); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if out, err = appendRecord(out, recState, rd.HardState); err != nil {
			return err
		}
	}
	if len(out) == 0 {
		return nil
	}
	if _, err := s.file.Write(out); err != nil {
		return err
	}
	s.size += int64(len(out))
	if rd.MustSync {
		if err := s.file.Sync(); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		s.SetHardState(rd.HardState)
	}
	return s.Append(rd.Entries)
}

func (s *storage) snapshot(snap *pb.Snapshot) error {
	text, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	return s.dir.Replace(snapFile, seal(text))
}

// compact makes state, as it is behind entry index, the snapshot, and lets go of most entries before.
func (s *storage) compact(index uint64, conf *pb.ConfState, state []byte) error {
	snap, err := s.CreateSnapshot(index, conf, state)
	if err != nil {
		return err
	}
	if err := s.snapshot(snap); err != nil {
		return err
	}
	if first, _ := s.FirstIndex(); index > keepEntries && index-keepEntries > first {
		if err := s.Compact(index - keepEntries); err != nil {
			return err
		}
	}
	return s.rewrite()
}

// rewrite writes the log anew, with what the memory has of it.
func (s *storage) rewrite() error {
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	var out []byte
	var err error
	if last >= first {
		entries, err := s.Entries(first, last+1, 1<<62)
		if err != nil {
			return err
		}
		for _, e := range entries {
			if out, err = appendRecord(out, recEntry, e); err != nil {
				return err
			}
		}
	}
	state, _, _ := s.InitialState()
	if out, err = appendRecord(out, recState, state); err != nil {
		return err
	}
	if err := s.dir.Replace(logFile, out); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return err
	}
	s.size = int64(len(out))
	s.file, err = s.dir.Append(logFile, s.size)
	return err
}
