package acceptance

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxStackCalls bounds how many calls of a thread's kernel stack are described.
const maxStackCalls = 12

// describeProcess describes what each thread of a process does as the kernel sees it: its state (R, S, D, Z), the calls
// in the kernel that it waits in, where these may be read, and its run-queue wait. It says why a process does not end
// that no longer answers a signal.
func describeProcess(pid int) string {
	var out strings.Builder
	process := fmt.Sprintf("/proc/%d", pid)
	fmt.Fprintf(&out, "process %d: %s, stderr %s", pid, threadState(process), linkOf(process+"/fd/2"))
	threads, _ := filepath.Glob(process + "/task/*")
	for _, thread := range threads {
		schedstat, _ := os.ReadFile(thread + "/schedstat")
		fmt.Fprintf(&out, "\n thread %s: %s, schedstat %s, in %s",
			filepath.Base(thread), threadState(thread), bytes.TrimSpace(schedstat), kernelCalls(thread))
	}
	return out.String()
}

// hasEnded reports whether no thread of a child is left: it is gone, or waits to be noticed by this process only.
func hasEnded(pid int) bool {
	process := fmt.Sprintf("/proc/%d", pid)
	threads, _ := filepath.Glob(process + "/task/*")
	return len(threads) == 0 || len(threads) == 1 && strings.HasPrefix(threadState(process), "Z")
}

// threadState returns the state of a process or thread, such as "S (sleeping)".
func threadState(dir string) string {
	text, err := os.ReadFile(dir + "/status")
	if err != nil {
		return err.Error()
	}
	_, rest, _ := strings.Cut(string(text), "State:")
	state, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(state)
}

// kernelCalls returns the calls on a thread's kernel stack, the innermost first; only root may read them.
func kernelCalls(thread string) string {
	text, err := os.ReadFile(thread + "/stack")
	if err != nil {
		wchan, _ := os.ReadFile(thread + "/wchan")
		return string(wchan)
	}
	var calls []string
	for line := range strings.Lines(string(text)) {
		_, call, _ := strings.Cut(strings.TrimSpace(line), "] ")
		call, _, _ = strings.Cut(call, "+")
		if calls = append(calls, call); len(calls) == maxStackCalls {
			break
		}
	}
	return strings.Join(calls, " ")
}

func linkOf(path string) string {
	target, err := os.Readlink(path)
	if err != nil {
		return err.Error()
	}
	return target
}
