//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

func init() { cases["heads"] = headsCase }

const (
	// headsMemoryMB is the memory limit of the agent, in MiB.
	headsMemoryMB = 64
	// badClients is the number of clients that send heads without end, at the same time.
	badClients = 250
	// headBytes is how much of a head without end a client sends.
	headBytes = 19_500
)

// headsCase: beside the usual clients some hundred others connect and send heads without end. The platform kills
// the agent if it needs more memory than its limit. No agent may crash.
func headsCase(r *run) (broken bool, err error) {
	var got arrivals
	var entries []membership.Entry
	for i := range 4 {
		s, err := newServer(fmt.Sprintf("s-%d", i+1), []string{"kagoshima", "miyazaki", "nagasaki"}[i%3], 20*time.Millisecond, &got)
		if err != nil {
			return false, err
		}
		defer s.http.Close()
		entries = append(entries, s.Entry)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	r.memoryMB = headsMemoryMB
	a, err := r.startAgent("edge-1", discovery.Addr, discovery.List())
	if err != nil {
		return false, err
	}
	if err := await("http://"+a.listen+"/-/ready", 20*time.Second); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var peak atomic.Int64
	var killed atomic.Bool
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for ; ctx.Err() == nil && a.runs(); time.Sleep(5 * time.Millisecond) {
			kb := a.memoryKB()
			peak.Store(max(peak.Load(), kb))
			if kb > headsMemoryMB<<10 {
				r.logf("BROKEN: the agent needs %d kB, the limit is %d kB: the platform kills it", kb, headsMemoryMB<<10)
				killed.Store(true)
				a.signal(syscall.SIGKILL)
				return
			}
		}
	}()
	clients := &callers{run: r}
	wait := clients.start(ctx, a.listen, 12, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.logf("%d clients connect and send heads without end, up to %d bytes each", badClients, headBytes)
		var bad sync.WaitGroup
		for i := range badClients {
			bad.Go(func() { headWithoutEnd(r, a.listen, i) })
		}
		bad.Wait()
	}
	time.Sleep(3 * time.Second)
	ended := !a.runs()
	stop()
	wait()
	<-watched
	r.logf("answers at the usual clients: %v; the agent's memory was %d kB at most, its limit is %d kB", clients.statuses, peak.Load(), headsMemoryMB<<10)
	r.say("the agent's memory was %d kB at most, its limit is %d kB", peak.Load(), headsMemoryMB<<10)
	if clients.statuses["200"] < 100 {
		return false, fmt.Errorf("only %d served", clients.statuses["200"])
	}
	if ended && !killed.Load() {
		r.logf("BROKEN: the agent has ended by itself")
	}
	return ended || killed.Load(), nil
}

// memoryKB returns the memory of a process without that of files which it maps.
func (p *process) memoryKB() (kb int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if name == "RssAnon" || name == "RssShmem" {
			n, _ := strconv.ParseInt(strings.Fields(value + " 0")[0], 10, 64)
			kb += n
		}
	}
	return kb
}

// headWithoutEnd connects, sends lines of a head that never ends, and reads what comes until the agent closes the
// connection.
func headWithoutEnd(r *run, addr string, n int) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.logf("bad client %d: %v", n, err)
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(4 * time.Second))
	head := []byte(fmt.Sprintf("POST /api/x%d HTTP/1.1\r\nHost: backend.local\r\n", n))
	for k := 0; len(head) < headBytes; k++ {
		head = append(head, strconv.FormatInt(int64(k), 36)+":\r\n"...)
	}
	connected := time.Now()
	_, werr := nc.Write(head)
	answer, err := io.ReadAll(nc)
	status, _, _ := strings.Cut(string(answer), "\r\n")
	r.logf("bad client %d: got %q and an end (%v, %v) after %.0f ms", n, status, werr, err, float64(time.Since(connected).Microseconds())/1000)
}
