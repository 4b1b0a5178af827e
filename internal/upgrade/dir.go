// Package upgrade lets two processes act as one agent during an upgrade: the old version, which shuts down,
// and the new one, which starts beside it. They share nothing but a folder that outlives them. It holds a
// file for each process, whose lock shows that the process is alive and whose content shows that it serves;
// the backends that operators have cordoned; the last endpoint list; whether the last call to discovery had
// no answer; and the ids of requests that must not run twice. The JSON files are written completely and then
// renamed.
//
// Processes of different versions share the folder, so its file names, file contents, hash and table layout
// must not change.
package upgrade

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// agentFolder is the agent's folder within the one that is passed to Join.
	agentFolder = "ringtrack-agent"

	lockFile      = "lock"
	processPrefix = "process-" // of a process's file, followed by its sequence number
	servingText   = "serving"  // content of the file of a process that serves
)

// errNoFolder is returned by Join for an empty path.
var errNoFolder = errors.New("upgrade: the path of the shared folder is empty")

// Dir is the handle of one process on the shared folder. Its methods, except Close, are safe for concurrent
// use.
type Dir struct {
	path        string
	processFile *os.File // locked for as long as the process lives
	seq         int
	first       bool
	joinedAt    time.Time
}

// Join makes the calling process one of the agent's processes, which share a folder in tmp. The kernel
// releases the process's lock no matter how the process ends.
func Join(tmp string) (*Dir, error) {
	if tmp == "" {
		return nil, errNoFolder
	}
	d := &Dir{path: filepath.Join(tmp, agentFolder)}
	if err := os.MkdirAll(d.path, 0o700); err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	if err := d.locked(d.register); err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	d.joinedAt = time.Now()
	return d, nil
}

// register creates and locks the file of this process. The caller holds the folder's lock.
func (d *Dir) register() error {
	peers, err := d.peers()
	if err != nil {
		return err
	}
	for _, p := range peers {
		d.seq = max(d.seq, p.Seq)
		if !p.Alive {
			_ = os.Remove(d.file(p.Seq)) // a leftover file is harmless
		}
	}
	d.seq++
	d.first = !HasPredecessor(d.seq, peers)
	d.processFile, err = os.OpenFile(d.file(d.seq), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	return syscall.Flock(int(d.processFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}

// First reports whether no other process was alive when this one joined.
func (d *Dir) First() bool { return d.first }

// MarkServing records for the other processes that this one serves.
func (d *Dir) MarkServing() error {
	_, err := d.processFile.WriteAt([]byte(servingText), 0)
	return err
}

// HasSuccessor reports whether a newer process serves.
func (d *Dir) HasSuccessor() bool {
	peers, err := d.peers()
	return err == nil && HasSuccessor(d.seq, peers)
}

// remaining returns which process remains on the address after this one has ended.
func (d *Dir) remaining() Age {
	peers, err := d.peers()
	if err != nil {
		return None
	}
	return Remaining(d.seq, peers)
}

// Processes returns how many processes the agent has; ok is false if the folder cannot be read.
func (d *Dir) Processes() (n int, ok bool) {
	peers, err := d.peers()
	return CountProcesses(peers), err == nil
}

// Close removes this process from the folder.
func (d *Dir) Close() error {
	_ = os.Remove(d.file(d.seq)) // a leftover file is harmless
	return d.processFile.Close()
}

func (d *Dir) file(seq int) string { return filepath.Join(d.path, processPrefix+strconv.Itoa(seq)) }

// peers reads the files of all processes except this one.
func (d *Dir) peers() (peers []Peer, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		suffix, isProcess := strings.CutPrefix(e.Name(), processPrefix)
		seq, err := strconv.Atoi(suffix)
		if err != nil || !isProcess || d.processFile != nil && seq == d.seq {
			continue
		}
		p, err := d.peer(seq)
		if errors.Is(err, fs.ErrNotExist) {
			continue // it has just ended
		}
		if err != nil {
			return nil, err
		}
		peers = append(peers, p)
	}
	return peers, nil
}

// peer reads the file of one process.
func (d *Dir) peer(seq int) (Peer, error) {
	f, err := os.Open(d.file(seq))
	if err != nil {
		return Peer{}, err
	}
	defer f.Close()
	alive := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
	text, _ := io.ReadAll(io.LimitReader(f, int64(len(servingText))))
	return Peer{Seq: seq, Alive: alive, Serving: string(text) == servingText}, nil
}

// locked calls do while holding the folder's lock.
func (d *Dir) locked(do func() error) error {
	f, err := os.OpenFile(filepath.Join(d.path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return err
	}
	return do()
}
