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

// In lab builds a file "faults" beside the folder's files says what its disk does from now on, one word a line:
//
//	full            writes fail, no space
//	error           writes fail
//	sync-error      syncs fail
//	sync-ms N       each sync takes N ms more
//	lie             syncs say that they are done, and nothing of it lasts
//
// Beside each file, NAME.lasts holds how many bytes of it would survive a power cut.
const (
	faults = "faults"
	lasts  = ".lasts"
)

// fault is what the file's disk does now, and its argument.
func fault(f *os.File) map[string]int {
	text, err := os.ReadFile(filepath.Join(filepath.Dir(f.Name()), faults))
	if err != nil {
		return nil
	}
	out := map[string]int{}
	for line := range strings.Lines(string(text)) {
		word, n, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[word], _ = strconv.Atoi(n)
	}
	return out
}

func write(f *os.File, p []byte) (int, error) {
	if now := fault(f); now != nil {
		if _, is := now["full"]; is {
			n, _ := f.Write(p[:len(p)/2])
			return n, fmt.Errorf("write %s: %w", f.Name(), syscall.ENOSPC)
		}
		if _, is := now["error"]; is {
			return 0, fmt.Errorf("write %s: %w", f.Name(), syscall.EIO)
		}
	}
	return f.Write(p)
}

func sync(f *os.File) error {
	now := fault(f)
	if n, is := now["sync-ms"]; is {
		time.Sleep(time.Duration(n) * time.Millisecond)
	}
	if _, is := now["sync-error"]; is {
		return fmt.Errorf("sync %s: %w", f.Name(), syscall.EIO)
	}
	if _, is := now["lie"]; is {
		return nil
	}
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "no-sync" {
		return nil // the seeded defect of keeper-kills: who syncs nothing
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	// Not f.Sync: the lab's power cut is told by this file, and the machine's own disk is not what is tested.
	// By a rename, as the process may be killed within.
	if err := os.WriteFile(f.Name()+lasts+".new", []byte(strconv.FormatInt(info.Size(), 10)), 0o600); err != nil {
		return err
	}
	return os.Rename(f.Name()+lasts+".new", f.Name()+lasts)
}

func fileRenamed(from, to string) {
	if os.Rename(from+lasts, to+lasts) != nil {
		os.WriteFile(to+lasts, []byte("0"), 0o600) // its sync was a lie
	}
}
func fileRemoved(name string) { os.Remove(name + lasts) }
