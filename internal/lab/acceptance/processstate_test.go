package acceptance

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process has ended once it is a zombie, before its parent waits for it; a stopped process has not ended.
func TestHasEnded(t *testing.T) {
	cmd := exec.Command("cat")
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if hasEnded(cmd.Process.Pid) {
		t.Error("a process that waits for its input counts as ended")
	}
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	input.Close()
	for end := time.Now().Add(20 * time.Second); !strings.HasPrefix(threadState(fmt.Sprint("/proc/", cmd.Process.Pid)), "T"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the process was not stopped")
		}
	}
	if hasEnded(cmd.Process.Pid) {
		t.Error("a stopped process counts as ended")
	}
	if text := describeProcess(cmd.Process.Pid); !strings.Contains(text, "T (stopped)") {
		t.Errorf("described as %s", text)
	}
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); !hasEnded(cmd.Process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a process that nobody has waited for does not count as ended")
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	if !hasEnded(cmd.Process.Pid) {
		t.Error("a process that is gone does not count as ended")
	}
}
