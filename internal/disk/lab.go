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

// In lab builds a file "faults" in the directory says how its disk behaves from now on, one fault a line:
//
//	full            writes fail, no space
//	error           writes fail
//	sync-error      syncs fail
//	sync-ms N       each sync takes N ms more
//	lie             syncs report success, and nothing of them is durable
//
// Beside each file, NAME.lasts holds how many bytes of it would survive a power loss.
const (
	faultsFile    = "faults"
	durableSuffix = ".lasts"

	faultFull      = "full"
	faultError     = "error"
	faultSyncError = "sync-error"
	faultSyncDelay = "sync-ms"
	faultSyncLie   = "lie"
)

// faults are the faults of a disk with their arguments, by name.
type faults map[string]int

func (f faults) has(name string) bool {
	_, ok := f[name]
	return ok
}

// faultsOf are those of a file's disk now.
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
	if faults.has(faultSyncLie) {
		return nil
	}
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-sync" {
		return nil // a defect that the lab seeds: nothing is synced
	}
	return recordDurable(f)
}

// recordDurable records the file's size as durable, in place of a sync: the lab simulates a power loss by that, and the
// machine's own disk is not under test. The record is renamed into place, as the process may be killed meanwhile.
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

// fileRenamed is called after a rename.
func fileRenamed(from, to string) {
	if os.Rename(from+durableSuffix, to+durableSuffix) != nil {
		os.WriteFile(to+durableSuffix, []byte("0"), fileMode) // the sync was a lie
	}
}
