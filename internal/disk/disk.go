// Package disk is the one seam to files that must last. It adds what is easily forgotten: a file that is replaced is
// written beside, synced, renamed, and its folder synced; a file whose sync failed once is never written or synced
// again, as what the kernel then holds of it is unknown ("Can applications recover from fsync failures?", 2020).
// With the build tag lab it also lies, stalls, fails and notes what would survive a power cut (lab.go).
package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// ErrBroken says that an earlier write or sync of the file failed: nothing more is done to it.
var ErrBroken = errors.New("disk: an earlier write or sync failed")

// ErrLocked says that another process has the folder.
var ErrLocked = errors.New("disk: another process has this folder")

// Dir is a folder that one process has. Its methods are for one goroutine.
type Dir struct {
	path string
	lock *os.File
}

// Open makes the folder, where it is missing, and locks it. The kernel gives the lock back however the process ends.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return &Dir{path: path, lock: f}, nil
}

// Close gives the folder back.
func (d *Dir) Close() error { return d.lock.Close() }

// Read is a file's content, of most bytes at the most. A missing file is fs.ErrNotExist.
func (d *Dir) Read(name string, most int64) ([]byte, error) {
	info, err := os.Stat(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	if info.Size() > most {
		return nil, fmt.Errorf("disk: %s has %d bytes, %d at the most", name, info.Size(), most)
	}
	return os.ReadFile(filepath.Join(d.path, name))
}

// Names are the files in the folder that match a pattern of path.Match, sorted.
func (d *Dir) Names(pattern string) ([]string, error) {
	found, err := filepath.Glob(filepath.Join(d.path, pattern))
	for i := range found {
		found[i] = filepath.Base(found[i])
	}
	return found, err
}

// Remove removes a file; one that is not there is no error.
func (d *Dir) Remove(name string) error {
	if err := os.Remove(filepath.Join(d.path, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	fileRemoved(filepath.Join(d.path, name))
	return nil
}

// Replace makes text a file's content: after a crash the file has the old or the new, whole. It has lasted when
// Replace returns nil.
func (d *Dir) Replace(name string, text []byte) error {
	f, err := d.create(name + ".new")
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("disk: %s: %w", name, err)
	}
	if err := os.Rename(filepath.Join(d.path, name+".new"), filepath.Join(d.path, name)); err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	fileRenamed(filepath.Join(d.path, name+".new"), filepath.Join(d.path, name))
	return d.sync()
}

// sync makes names of the folder last.
func (d *Dir) sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return fmt.Errorf("disk: %s: %w", d.path, err)
	}
	return nil
}

// create opens an empty file for writing.
func (d *Dir) create(name string) (*File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	return &File{f: f}, nil
}

// Append opens a file, cut to size bytes, for writing behind them.
func (d *Dir) Append(name string, size int64) (*File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err = f.Truncate(size); err == nil {
		_, err = f.Seek(size, 0)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("disk: %w", err)
	}
	return &File{f: f}, nil
}

// File is one that is written from its start, or its end, on.
type File struct {
	f   *os.File
	err error // of the first write or sync that failed
}

// Write writes all of p or fails; then the file is broken.
func (f *File) Write(p []byte) (int, error) {
	if f.err != nil {
		return 0, ErrBroken
	}
	n, err := write(f.f, p)
	f.err = err
	return n, err
}

// Sync returns nil once all that was written lasts; if it fails the file is broken.
func (f *File) Sync() error {
	if f.err != nil {
		return ErrBroken
	}
	f.err = sync(f.f)
	return f.err
}

// Close closes the file; it does not sync.
func (f *File) Close() error { return f.f.Close() }
