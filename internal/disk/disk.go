// Package disk is the access to files that must survive a crash. A file that is replaced is written beside, synced and
// renamed, and its directory synced. A file whose sync failed once is never written or synced again, as what the kernel
// then holds of it is unknown ("Can applications recover from fsync failures?", 2020). With the build tag lab it also
// simulates faults and records what would survive a power loss (lab.go).
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

var (
	// ErrBroken says that an earlier write or sync of the file failed: nothing more is done to it.
	ErrBroken = errors.New("disk: an earlier write or sync failed")
	// ErrLocked says that another process has the directory.
	ErrLocked = errors.New("disk: another process has this folder")
)

const (
	lockFile = "lock"
	// newSuffix is that of a file that is about to replace another.
	newSuffix = ".new"

	dirMode  = 0o700
	fileMode = 0o600
)

// Dir is a directory that belongs to one process. Its methods are for one goroutine.
type Dir struct {
	path string
	lock *os.File
}

// Open makes the directory, if it is missing, and locks it; ErrLocked if another process has it. The kernel releases the
// lock however the process ends.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%w: %s", ErrLocked, path)
	}
	return &Dir{path: path, lock: lock}, nil
}

// Close releases the directory.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) join(name string) string { return filepath.Join(d.path, name) }

// Read returns a file's content; an error if it has more than maxBytes. A missing file is fs.ErrNotExist.
func (d *Dir) Read(name string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(d.join(name))
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("disk: %s has %d bytes, %d at the most", name, info.Size(), maxBytes)
	}
	return os.ReadFile(d.join(name))
}

// Names returns the sorted names of the files that match a pattern of filepath.Match.
func (d *Dir) Names(pattern string) ([]string, error) {
	names, err := filepath.Glob(d.join(pattern))
	for i := range names {
		names[i] = filepath.Base(names[i])
	}
	return names, err
}

// Replace replaces a file's content: after a crash the file has either the old or the new content, complete. The new
// one is durable when Replace returns nil.
func (d *Dir) Replace(name string, content []byte) error {
	if err := d.writeNew(name+newSuffix, content); err != nil {
		return fmt.Errorf("disk: %s: %w", name, err)
	}
	if err := os.Rename(d.join(name+newSuffix), d.join(name)); err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	fileRenamed(d.join(name+newSuffix), d.join(name))
	return d.sync()
}

// writeNew writes and syncs an empty file.
func (d *Dir) writeNew(name string, content []byte) error {
	f, err := d.open(name, os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// sync makes the names of the directory durable.
func (d *Dir) sync() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return fmt.Errorf("disk: %s: %w", d.path, err)
	}
	return nil
}

// open opens a file for writing and creates it if it is missing.
func (d *Dir) open(name string, flags int) (*File, error) {
	f, err := os.OpenFile(d.join(name), os.O_CREATE|os.O_WRONLY|flags, fileMode)
	if err != nil {
		return nil, err
	}
	return &File{f: f}, nil
}

// Append opens a file, truncated to size bytes, for writing at its end.
func (d *Dir) Append(name string, size int64) (*File, error) {
	f, err := d.open(name, 0)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	if err = f.f.Truncate(size); err == nil {
		_, err = f.f.Seek(size, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("disk: %w", err)
	}
	return f, nil
}

// File is a file that is written sequentially. Its methods are for one goroutine.
type File struct {
	f   *os.File
	err error // of the first write or sync that failed
}

// Write writes all of p, or fails; then the file is broken.
func (f *File) Write(p []byte) (int, error) {
	if f.err != nil {
		return 0, ErrBroken
	}
	n, err := write(f.f, p)
	f.err = err
	return n, err
}

// Sync returns nil once all that was written is durable, or fails; then the file is broken.
func (f *File) Sync() error {
	if f.err != nil {
		return ErrBroken
	}
	f.err = sync(f.f)
	return f.err
}

// Close closes the file without a sync.
func (f *File) Close() error { return f.f.Close() }
