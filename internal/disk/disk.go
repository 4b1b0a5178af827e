// Package disk reads and writes files that must survive a crash. To replace a file, the new content is
// written to a temporary file, synced and renamed over the old one, and the directory is synced. After a
// failed write or sync a file is never written or synced again, because the state of its pages in the kernel
// is unknown ("Can applications recover from fsync failures?", 2020). With the build tag lab the package also
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
	// ErrBroken is returned for a file after one of its writes or syncs has failed.
	ErrBroken = errors.New("disk: an earlier write or sync failed")
	// ErrLocked is returned if another process holds the lock of the directory.
	ErrLocked = errors.New("disk: another process has this folder")
)

const (
	lockFile = "lock"
	// newSuffix is the suffix of a temporary file that will replace another file.
	newSuffix = ".new"

	dirMode  = 0o700
	fileMode = 0o600
)

// Dir is a directory that one process has locked. Its methods must not be called concurrently.
type Dir struct {
	path string
	lock *os.File
}

// Open creates the directory if it does not exist, and locks it. It returns ErrLocked if another process
// holds the lock. The kernel releases the lock however the process ends.
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

// Close releases the lock.
func (d *Dir) Close() error { return d.lock.Close() }

func (d *Dir) join(name string) string { return filepath.Join(d.path, name) }

// Read returns the content of a file, or an error if it is longer than maxBytes. If the file does not exist
// the error is fs.ErrNotExist.
func (d *Dir) Read(name string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(d.join(name))
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("disk: %s has %d bytes, the limit is %d", name, info.Size(), maxBytes)
	}
	return os.ReadFile(d.join(name))
}

// Names returns the sorted names of the files that match pattern, in the syntax of filepath.Match.
func (d *Dir) Names(pattern string) ([]string, error) {
	names, err := filepath.Glob(d.join(pattern))
	for i := range names {
		names[i] = filepath.Base(names[i])
	}
	return names, err
}

// Replace replaces the content of a file atomically: after a crash the file has either the complete old or
// the complete new content. The new content is durable when Replace returns nil.
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

// writeNew creates or truncates a file, writes content to it and syncs it.
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

// sync makes the directory entries durable.
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

// open opens a file for writing and creates it if it does not exist.
func (d *Dir) open(name string, flags int) (*File, error) {
	f, err := os.OpenFile(d.join(name), os.O_CREATE|os.O_WRONLY|flags, fileMode)
	if err != nil {
		return nil, err
	}
	return &File{f: f}, nil
}

// Append truncates a file to size bytes and opens it for appending.
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

// File is a file that is written sequentially. Its methods must not be called concurrently.
type File struct {
	f   *os.File
	err error // the first error of a write or sync
}

// Write writes all of p. After an error all further calls of Write and Sync return ErrBroken.
func (f *File) Write(p []byte) (int, error) {
	if f.err != nil {
		return 0, ErrBroken
	}
	n, err := write(f.f, p)
	f.err = err
	return n, err
}

// Sync returns nil once everything written is durable. After an error all further calls of Write and Sync
// return ErrBroken.
func (f *File) Sync() error {
	if f.err != nil {
		return ErrBroken
	}
	f.err = sync(f.f)
	return f.err
}

// Close closes the file without syncing it.
func (f *File) Close() error { return f.f.Close() }
