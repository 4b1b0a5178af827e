package scale

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// usage is what a process has used since its start, as /proc has it.
type usage struct {
	CPU   time.Duration // on a core, all threads
	Wait  time.Duration // ready to run and without a core: the machine's part and not the process's
	Bytes int64         // read and written, sockets and files
	RSS   int64         // now, in KiB
}

// cores reads what a process's threads had of cores and waited for them, from schedstat, in ns: the 10 ms ticks of stat
// are too coarse for a process that idles. A thread that ends takes its part along; those of Go's runtime stay.
func schedulerTimes(pid int) (cpu, wait time.Duration, err error) {
	dir := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0, fmt.Errorf("scale: %w", err)
	}
	for _, t := range threads {
		text, err := os.ReadFile(filepath.Join(dir, t.Name(), "schedstat"))
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // it has just ended
		}
		var ran, waited time.Duration
		if err == nil {
			_, err = fmt.Sscan(string(text), (*int64)(&ran), (*int64)(&waited))
		}
		if err != nil {
			return 0, 0, fmt.Errorf("scale: schedstat: %w", err)
		}
		cpu, wait = cpu+ran, wait+waited
	}
	return cpu, wait, nil
}

// usageOf reads a process's usage.
func readUsage(pid int) (u usage, err error) {
	if u.CPU, u.Wait, err = schedulerTimes(pid); err != nil {
		return u, err
	}
	var read, written int64
	for file, fields := range map[string]map[string]*int64{"io": {"rchar:": &read, "wchar:": &written}, "status": {"VmRSS:": &u.RSS}} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
		if err != nil {
			return u, fmt.Errorf("scale: %w", err)
		}
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(line, ":")
			if into := fields[name+":"]; into != nil {
				if _, err := fmt.Sscan(value, into); err != nil {
					return u, fmt.Errorf("scale: %s: %s: %w", file, name, err)
				}
			}
		}
	}
	u.Bytes = read + written
	return u, nil
}

// since is what was used after an earlier reading; RSS is that of now.
func (u usage) since(earlier usage) usage {
	return usage{u.CPU - earlier.CPU, u.Wait - earlier.Wait, u.Bytes - earlier.Bytes, u.RSS}
}
