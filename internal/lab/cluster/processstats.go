package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Indexes of fields in /proc/PID/stat, counted from 0 after the program's name; see proc_pid_stat(5).
const (
	userTimeField   = 11
	systemTimeField = 12
)

// clockTick is the unit of times in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// CPU returns the processor time used since the last start; 0: not running.
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

// RSS returns the resident memory in bytes; 0: not running.
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
