package acceptance

import (
	"bytes"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// runQueue sums how long this process's threads were ready to run and waited for a core, from the kernel's
// count for each thread (the second figure of schedstat). It does not cover goroutines that wait for a
// thread. It stays 0 where the kernel does not count.
type runQueue struct {
	mu      sync.Mutex
	threads map[string]*threadWait
	sum     int64 // ns
	buf     [128]byte
	stop    chan struct{}
	ended   sync.WaitGroup
}

// threadWait is the run-queue wait of one thread.
type threadWait struct {
	fd     int
	waited int64 // ns, as last read
}

// runQueueScanInterval is how often new threads are looked for; their waits before that are not counted.
const runQueueScanInterval = 20 * time.Millisecond

func newRunQueue() *runQueue {
	q := &runQueue{threads: map[string]*threadWait{}, stop: make(chan struct{})}
	q.scanThreads()
	q.ended.Go(func() {
		every := time.NewTicker(runQueueScanInterval)
		defer every.Stop()
		for {
			select {
			case <-q.stop:
				return
			case <-every.C:
				q.scanThreads()
			}
		}
	})
	return q
}

// scanThreads opens the counters of new threads.
func (q *runQueue) scanThreads() {
	const taskDir = "/proc/self/task"
	entries, err := os.ReadDir(taskDir)
	if err != nil {
		return // nothing is counted
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if q.threads[e.Name()] != nil {
			continue
		}
		fd, err := syscall.Open(taskDir+"/"+e.Name()+"/schedstat", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			continue
		}
		t := &threadWait{fd: fd}
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

// waited returns the sum so far.
func (q *runQueue) waited() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, t := range q.threads {
		n, err := q.read(t.fd)
		if err != nil { // the thread has ended
			syscall.Close(t.fd)
			delete(q.threads, name)
			continue
		}
		q.sum += n - t.waited
		t.waited = n
	}
	return time.Duration(q.sum)
}

// stealTime returns the time that other guests have taken from all cores of a virtual machine so far, by the
// kernel's count, which has a coarse resolution; 0 where the kernel does not count it.
func stealTime() time.Duration {
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
