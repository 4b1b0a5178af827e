package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Fields of /proc/PID/stat behind the program's name, from 0, as proc_pid_stat(5) has them.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// clockTick is the unit of times in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// CPU returns the processor time that the process has used since its last start; 0: it does not run.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * clockTick
}

// RSS returns the resident memory of the process in bytes; 0: it does not run.
func (p *Process) RSS() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kib := int64(0)
	fmt.Sscan(rest, &kib)
	return kib << 10
}
