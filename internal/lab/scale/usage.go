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

// usage is what a process has used since its start, as /proc reports it.
type usage struct {
	CPU   time.Duration // processor time of all threads
	Wait  time.Duration // runnable without a core: caused by the machine's load, not by the process
	Bytes int64         // read and written, of sockets and files
	RSS   int64         // current, in KiB
}

// schedulerTimes sums the processor time of a process's threads and the time they were runnable without a
// core. It reads schedstat, which counts in ns: the 10 ms ticks of /proc/PID/stat are too coarse for an idle
// process. The times of a thread that ended are lost, but the threads of Go's runtime stay alive.
func schedulerTimes(pid int) (cpu, wait time.Duration, err error) {
	dir := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0, fmt.Errorf("scale: %w", err)
	}
	for _, t := range threads {
		text, err := os.ReadFile(filepath.Join(dir, t.Name(), "schedstat"))
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // the thread has ended
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

// readUsage reads the usage of a process.
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

// since returns what was used after an earlier reading; RSS is the current one.
func (u usage) since(earlier usage) usage {
	return usage{u.CPU - earlier.CPU, u.Wait - earlier.Wait, u.Bytes - earlier.Bytes, u.RSS}
}
