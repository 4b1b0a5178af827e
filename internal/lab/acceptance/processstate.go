package acceptance

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// maxStackCalls is how many calls of a thread's kernel stack are described at most.
const maxStackCalls = 12

// describeProcess describes each thread of a process as the kernel sees it: its state (R, S, D, Z), its
// kernel stack where that may be read, and its run-queue wait. It helps to find out why a process that no
// longer reacts to signals does not end.
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

// hasEnded reports whether no thread of a child runs any more: it is gone, or a zombie that has not been
// waited for.
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

// kernelCalls returns the calls on a thread's kernel stack, innermost first. Only root may read them; for
// others it returns the kernel function that the thread waits in (wchan).
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
