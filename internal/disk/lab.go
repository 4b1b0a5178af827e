//go:build lab

package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// In lab builds a file "faults" in the directory selects the faults of the simulated disk, one per line. It
// is read again for each write and sync:
//
//	full            writes fail, no space
//	error           writes fail
//	sync-error      syncs fail
//	sync-ms N       each sync takes N ms longer
//	lie             syncs report success but make nothing durable
//
// The file NAME.lasts holds the number of bytes of the file NAME that would survive a power loss.
const (
	faultsFile    = "faults"
	durableSuffix = ".lasts"

	faultFull        = "full"
	faultError       = "error"
	faultSyncError   = "sync-error"
	faultSyncDelay   = "sync-ms"
	faultSyncIgnored = "lie"
)

// faults maps the names of the active faults to their arguments.
type faults map[string]int

func (f faults) has(name string) bool {
	_, ok := f[name]
	return ok
}

// faultsOf reads the faults that are active for a file.
func faultsOf(f *os.File) faults {
	text, err := os.ReadFile(filepath.Join(filepath.Dir(f.Name()), faultsFile))
	if err != nil {
		return nil
	}
	out := faults{}
	for line := range strings.Lines(string(text)) {
		name, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[name], _ = strconv.Atoi(argument)
	}
	return out
}

func write(f *os.File, p []byte) (int, error) {
	faults := faultsOf(f)
	if faults.has(faultFull) {
		n, _ := f.Write(p[:len(p)/2])
		return n, fmt.Errorf("write %s: %w", f.Name(), syscall.ENOSPC)
	}
	if faults.has(faultError) {
		return 0, fmt.Errorf("write %s: %w", f.Name(), syscall.EIO)
	}
	return f.Write(p)
}

func sync(f *os.File) error {
	faults := faultsOf(f)
	if faults.has(faultSyncDelay) {
		time.Sleep(time.Duration(faults[faultSyncDelay]) * time.Millisecond)
	}
	if faults.has(faultSyncError) {
		return fmt.Errorf("sync %s: %w", f.Name(), syscall.EIO)
	}
	if faults.has(faultSyncIgnored) {
		return nil
	}
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-sync" {
		return nil // a defect seeded by the lab: files are never synced
	}
	return recordDurable(f)
}

// recordDurable records the current size of the file as durable. It replaces a real sync: the lab simulates a
// power loss with these records, and the disk of the machine is not under test. The record is renamed into
// place because the process may be killed at any time.
func recordDurable(f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	record := f.Name() + durableSuffix
	if err := os.WriteFile(record+newSuffix, []byte(strconv.FormatInt(info.Size(), 10)), fileMode); err != nil {
		return err
	}
	return os.Rename(record+newSuffix, record)
}

// fileRenamed moves the record of durable bytes along with a renamed file.
func fileRenamed(from, to string) {
	if os.Rename(from+durableSuffix, to+durableSuffix) != nil {
		os.WriteFile(to+durableSuffix, []byte("0"), fileMode) // the file was never synced
	}
}
