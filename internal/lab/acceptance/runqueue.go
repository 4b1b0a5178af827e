package acceptance

import (
	"bytes"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// runQueue counts how long this process's threads were ready to run and waited for a core, as the kernel
// counts it for each (schedstat's second figure). Goroutines that wait for a thread are not in it. Where the
// kernel does not count it stays 0.
type runQueue struct {
	mu      sync.Mutex
	threads map[string]*queued
	sum     int64 // ns
	buf     [128]byte
	stop    chan struct{}
	ended   sync.WaitGroup
}

// queued is one thread.
type queued struct {
	fd     int
	waited int64 // ns, when it was last read
}

// runQueueLook is how often new threads are looked for: until then what they wait for is not counted.
const runQueueLook = 20 * time.Millisecond

func newRunQueue() *runQueue {
	q := &runQueue{threads: map[string]*queued{}, stop: make(chan struct{})}
	q.look()
	q.ended.Go(func() {
		every := time.NewTicker(runQueueLook)
		defer every.Stop()
		for {
			select {
			case <-q.stop:
				return
			case <-every.C:
				q.look()
			}
		}
	})
	return q
}

// look opens the counts of threads that are new.
func (q *runQueue) look() {
	const tasks = "/proc/self/task"
	entries, err := os.ReadDir(tasks)
	if err != nil {
		return // nothing is counted
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if q.threads[e.Name()] != nil {
			continue
		}
		fd, err := syscall.Open(tasks+"/"+e.Name()+"/schedstat", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			continue
		}
		t := &queued{fd: fd}
		if t.waited, err = q.read(fd); err != nil {
			syscall.Close(fd)
			continue
		}
		q.threads[e.Name()] = t
	}
}

func (q *runQueue) read(fd int) (int64, error) {
	n, err := syscall.Pread(fd, q.buf[:], 0)
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(q.buf[:n], []byte(" "))
	waited, _, _ := bytes.Cut(rest, []byte(" "))
	return strconv.ParseInt(string(waited), 10, 64)
}

// waited is the sum so far.
func (q *runQueue) waited() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, t := range q.threads {
		n, err := q.read(t.fd)
		if err != nil { // it has ended
			syscall.Close(t.fd)
			delete(q.threads, name)
			continue
		}
		q.sum += n - t.waited
		t.waited = n
	}
	return time.Duration(q.sum)
}

// stolen is what other guests took of the cores of a virtual machine so far, in all and by the kernel's count, whose
// step is coarse; 0 where it does not count it.
func stolen() time.Duration {
	const step = 10 * time.Millisecond // USER_HZ
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := bytes.Cut(text, []byte("\n"))
	fields := bytes.Fields(line) // cpu, user, nice, system, idle, iowait, irq, softirq, steal
	if len(fields) < 9 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[8]), 10, 64)
	return time.Duration(n) * step
}

func (q *runQueue) close() {
	close(q.stop)
	q.ended.Wait()
	for _, t := range q.threads {
		syscall.Close(t.fd)
	}
}
