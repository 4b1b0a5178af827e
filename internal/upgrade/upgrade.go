// Package upgrade lets two processes be one agent for a while: the new version that starts beside the running
// one, and the old one that ends. They share a folder that outlives a process, and nothing else: a file for
// each process, whose lock tells that it lives and whose text that it serves; the bans of operators; the list
// of backends as last had. Files are written whole and renamed, under one lock.
//
// Who follows whom is decided in roles.go, without I/O. The package decides nothing about requests.
package upgrade

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// agentFolder is the agent's own within the one that is given.
	agentFolder = "ringtrack-agent"
	// MaxCordoned bounds the bans that are kept, maxFile a file that is read, in bytes.
	MaxCordoned, maxFileBytes = 4096, 16 << 20
	// PollInterval is how often a process looks for what the other one was told: well within the shortest grace
	// of a drain (250 ms). aloneEvery is how often it looks whether there is another one: each look wakes a process
	// that would rest, and most are alone all their lives.
	PollInterval, aloneInterval = 50 * time.Millisecond, 250 * time.Millisecond
	// settleTime is how long after its join a process that follows another one can be sure that this one has seen it, and
	// looks each LookEvery from then on.
	settleTime = aloneInterval + PollInterval

	processPrefix, servingText = "process-", "serving"
)

// ErrTooManyCordoned says that no further ban is kept.
var ErrTooManyCordoned = fmt.Errorf("more than %d bans", MaxCordoned)

// Dir is the shared folder as one process has it. Its methods may be called from any goroutine, but Join's
// caller alone calls Close.
type Dir struct {
	path        string
	processFile *os.File // locked for as long as the process lives
	seq         int
	first       bool
	joinedAt    time.Time // when it joined
}

// Join makes the process one of the folder's in tmp. The kernel gives the lock back however the process ends.
func Join(tmp string) (*Dir, error) {
	if tmp == "" {
		return nil, errors.New("upgrade: no folder that two processes share")
	}
	d := &Dir{path: filepath.Join(tmp, agentFolder)}
	if err := os.MkdirAll(d.path, 0o700); err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	err := d.locked(func() error {
		peers, err := d.peers()
		if err != nil {
			return err
		}
		for _, p := range peers {
			if d.seq = max(d.seq, p.Seq); !p.Alive {
				os.Remove(d.file(p.Seq)) // a file that stays is of a dead process, and does no harm
			}
		}
		d.seq++
		d.first = !HasPredecessor(d.seq, peers)
		if d.processFile, err = os.OpenFile(d.file(d.seq), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
			return err
		}
		return syscall.Flock(int(d.processFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	})
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	d.joinedAt = time.Now()
	return d, nil
}

// First tells whether no other process was there when this one joined.
func (d *Dir) First() bool { return d.first }

// MarkServing tells the others that this process serves.
func (d *Dir) MarkServing() error {
	_, err := d.processFile.WriteAt([]byte(servingText), 0)
	return err
}

// HasSuccessor tells whether a newer process serves now.
func (d *Dir) HasSuccessor() bool {
	peers, err := d.peers()
	return err == nil && HasSuccessor(d.seq, peers)
}

// remaining tells which process stays once this one has left.
func (d *Dir) remaining() Age {
	peers, err := d.peers()
	if err != nil {
		return None
	}
	return Remaining(d.seq, peers)
}

// Processes is how many processes the agent is now; it tells whether that could be seen.
func (d *Dir) Processes() (n int, ok bool) {
	peers, err := d.peers()
	return CountProcesses(peers), err == nil
}

// Close leaves the folder.
func (d *Dir) Close() error {
	os.Remove(d.file(d.seq))
	return d.processFile.Close()
}

func (d *Dir) file(seq int) string { return filepath.Join(d.path, processPrefix+strconv.Itoa(seq)) }

// peers looks at the files of all processes but this one.
func (d *Dir) peers() (peers []Peer, err error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		seq, err := strconv.Atoi(strings.TrimPrefix(e.Name(), processPrefix))
		if err != nil || !strings.HasPrefix(e.Name(), processPrefix) || d.processFile != nil && seq == d.seq {
			continue
		}
		f, err := os.Open(d.file(seq))
		if errors.Is(err, fs.ErrNotExist) {
			continue // it has just left
		} else if err != nil {
			return nil, err
		}
		p := Peer{Seq: seq, Alive: syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil}
		text, _ := io.ReadAll(io.LimitReader(f, int64(len(servingText))))
		p.Serving = string(text) == servingText
		f.Close()
		peers = append(peers, p)
	}
	return peers, nil
}

// locked does something while no other process does. What holds the lock is short.
func (d *Dir) locked(do func() error) error {
	f, err := os.OpenFile(filepath.Join(d.path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		return err
	}
	return do()
}

// ---- what is shared ----

// SavedEndpoints is the list of backends as a process last had it.
type SavedEndpoints struct {
	List membership.List `json:"list"`
	Seen []string        `json:"seen"` // ids that were listed once, and are not now
}

// SaveEndpoints keeps the list for a process that follows.
func (d *Dir) SaveEndpoints(s *SavedEndpoints) error { return d.write("list.json", s) }

// SavedEndpoints is what was kept last; nil if nothing was.
func (d *Dir) SavedEndpoints() (*SavedEndpoints, error) {
	s := &SavedEndpoints{}
	found, err := d.read("list.json", s)
	if !found {
		return nil, err
	}
	return s, err
}

// SetDiscoveryStale keeps whether the last call to discovery had no answer, for a process that is started after this one.
// Of two processes the last word stands.
func (d *Dir) SetDiscoveryStale(stale bool) error { return d.write("stale.json", stale) }

// DiscoveryStale is what SetStale was told last, if anything was.
func (d *Dir) DiscoveryStale() (stale, found bool, err error) {
	found, err = d.read("stale.json", &stale)
	return stale, found, err
}

// Cordoned are the ids that operators have banned, sorted.
func (d *Dir) Cordoned() (ids []string, err error) {
	_, err = d.read("bans.json", &ids)
	return ids, err
}

// Cordon keeps that an operator bans a backend, or no longer does. A process that has just joined another one waits until
// that one has seen it (settle at the most): what it is told from then on is heard there within LookEvery.
func (d *Dir) Cordon(id string, on bool) error {
	if !d.first {
		time.Sleep(settleTime - time.Since(d.joinedAt))
	}
	return d.locked(func() error {
		ids, err := d.Cordoned()
		if err != nil {
			return err
		}
		at, found := slices.BinarySearch(ids, id)
		switch {
		case found == on:
			return nil
		case on && len(ids) >= MaxCordoned:
			return ErrTooManyCordoned
		case on:
			ids = slices.Insert(ids, at, id)
		default:
			ids = slices.Delete(ids, at, at+1)
		}
		return d.write("bans.json", ids)
	})
}

// Follow calls changed whenever any process of the agent may have changed the bans, and shared whenever the number of
// processes that the agent is has changed, until ctx ends. A process that is alone looks seldom.
func (d *Dir) Follow(ctx context.Context, changed func(), shared func(processes int)) {
	var last fs.FileInfo
	n, count := 1, time.Duration(0) // count: how long until the processes are counted again
	for next := time.NewTimer(0); ; {
		select {
		case <-ctx.Done():
			next.Stop()
			return
		case <-next.C:
		}
		if count <= 0 {
			if now, ok := d.Processes(); ok && now != n {
				n = now
				shared(n)
			}
			count = aloneInterval
		}
		every := PollInterval
		if n == 1 {
			every = aloneInterval
		}
		count -= every
		next.Reset(every)
		now, err := os.Stat(filepath.Join(d.path, "bans.json"))
		if err != nil || last != nil && os.SameFile(now, last) && now.ModTime().Equal(last.ModTime()) {
			continue
		}
		last = now
		changed()
	}
}

func (d *Dir) read(name string, into any) (found bool, err error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	} else if err != nil {
		return false, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		return false, fmt.Errorf("upgrade: %s: %w", name, err)
	}
	return true, nil
}

// write replaces a file: who reads it finds the old text or the new one.
func (d *Dir) write(name string, what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	tmp := filepath.Join(d.path, name+"."+strconv.Itoa(d.seq))
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		os.Remove(tmp)
		return fmt.Errorf("upgrade: %w", err)
	}
	return os.Rename(tmp, filepath.Join(d.path, name))
}
