package cluster

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Files in a data directory that the disk package's lab build writes and reads.
const (
	syncedSizeSuffix = ".lasts" // the synced size of a file in bytes
	diskFaultFile    = "faults" // the faults to inject
)

// backupAttempts bounds the copies that a backup of a running process takes.
const backupAttempts = 20

// PowerCut kills the process and discards the data that was not synced to its disk. With rng, a random prefix
// of a file's unsynced data may remain, as after a torn write.
func (p *Process) PowerCut(rng *rand.Rand) error {
	p.Kill()
	files, err := filepath.Glob(filepath.Join(p.Data, "*"+syncedSizeSuffix))
	if err != nil {
		return err
	}
	for _, f := range files {
		if err := truncateUnsynced(f, rng); err != nil {
			return err
		}
	}
	return nil
}

// truncateUnsynced truncates a file to its synced size, which sizeFile contains.
func truncateUnsynced(sizeFile string, rng *rand.Rand) error {
	text, err := os.ReadFile(sizeFile)
	if err != nil {
		return err
	}
	size, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(sizeFile, syncedSizeSuffix)
	info, err := os.Stat(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if unsynced := info.Size() - size; unsynced > 0 && rng != nil && rng.IntN(2) == 0 {
		size += rng.Int64N(unsynced + 1) // a torn write
	}
	if info.Size() <= size {
		return nil
	}
	return os.Truncate(name, size)
}

// Wipe empties the data directory. The process must not run.
func (p *Process) Wipe() error {
	if err := os.RemoveAll(p.Data); err != nil {
		return err
	}
	return os.MkdirAll(p.Data, 0o700)
}

// Backup replaces a directory by a copy of the data directory. The process may run: a copy that a renamed
// file is missing from is made again.
func (p *Process) Backup(to string) error {
	var err error
	for range backupAttempts {
		if err = os.RemoveAll(to); err != nil {
			return err
		}
		if err = os.CopyFS(to, os.DirFS(p.Data)); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return err
}

// Restore replaces the data directory by a backup. The process must not run.
func (p *Process) Restore(from string) error {
	if err := p.Wipe(); err != nil {
		return err
	}
	return os.CopyFS(p.Data, os.DirFS(from))
}

// FlipBit flips one random bit of a file in the data directory. The process must not run.
func (p *Process) FlipBit(name string, rng *rand.Rand) error {
	path := filepath.Join(p.Data, name)
	content, err := os.ReadFile(path)
	if err != nil || len(content) == 0 {
		return err
	}
	content[rng.IntN(len(content))] ^= 1 << rng.IntN(8)
	return os.WriteFile(path, content, 0o600)
}

// SetDiskFault sets the fault of the process's disk, in the syntax of the disk package's lab build; "": none.
func (p *Process) SetDiskFault(fault string) error {
	path := filepath.Join(p.Data, diskFaultFile)
	if fault == "" {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	if err := os.WriteFile(path+".new", []byte(fault), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
