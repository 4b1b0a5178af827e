//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/thriftlab"
)

func init() { cases["upgrade"] = upgrade }

const (
	callTime  = 1200 * time.Millisecond // of a client; deadline_ms of the Thrift file
	lostAfter = callTime + 500*time.Millisecond + 50*time.Millisecond
)

// thriftCall is what became of one call on a connection of its own.
type thriftCall struct {
	at       time.Time
	accepted bool // the connection came up and the call was written whole
	answered time.Duration
	answer   string
}

// upgrade starts a second process beside the first one, whose keepers stand still for 3 s just then, and ends the first
// one when the second one has said yes.
func upgrade(r *rig) int {
	keepers := r.startKeepers()
	enc := thriftlab.Encodings()[0]
	discovery, err := lab.NewDiscoveryService()
	r.must(err)
	defer discovery.Close()
	for i := range 3 {
		s, err := thriftlab.NewServer(fmt.Sprintf("s-%d", i+1), enc, nil)
		r.must(err)
		s.SetWork(5 * time.Millisecond)
		defer s.Close()
		discovery.Set(s.Entry)
	}
	front := r.freeAddr()
	file := r.write("thrift.toml", fmt.Sprintf("listen = %q\nframe_limit = 16777216\ndepth_limit = 64\nunlisted = \"unsafe\"\nclass = \"order\"\n\n"+
		"[[method]]\nname = \"place\"\nclass = \"order\"\nkey = \"1.3\"\ndeadline_ms = %d\n", front, callTime.Milliseconds()))
	a := r.newAgent("n1", discovery.Addr, "PROXY_AGREED="+r.agreed(keepers, "refuse"), "PROXY_THRIFT="+file)
	r.startAgentReady(a)
	out, err := r.operator(20*time.Second, keepers, "publish", r.write("book.toml", "max_attempts = 2\n"), "--parent", "0", "--author", "operator", "--reason", "less repeats")
	r.log("publish: %s", strings.ReplaceAll(out, "\n", "; "))
	r.must(err)
	var mu sync.Mutex
	var calls []*thriftCall
	var all sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all.Go(func() {
		ticker := time.NewTicker(25 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			all.Go(func() {
				c := &thriftCall{at: time.Now()}
				c.run(front, enc, fmt.Sprintf("op-%d", n))
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)
	old := a.proc
	var stopped []*keeper
	if r.trouble {
		stopped = keepers[:2]
		for _, k := range stopped {
			k.proc.signal(syscall.SIGSTOP)
		}
		r.log("stopped two keepers")
	}
	next := *a
	next.admin = r.freeAddr()
	r.startAgent(&next)
	begin := time.Now()
	if r.trouble {
		time.Sleep(3 * time.Second)
		for _, k := range stopped {
			k.proc.signal(syscall.SIGCONT)
		}
		r.log("the keepers go on")
	}
	healthy := await(10*time.Second, next.healthy)
	r.log("the new process says yes: %v, %.3f s after its start", healthy, time.Since(begin).Seconds())
	time.Sleep(500 * time.Millisecond)
	old.signal(syscall.SIGTERM)
	r.log("SIGTERM to the old process; it ended: %v", old.waitEnd(5*time.Second))
	time.Sleep(time.Second)
	stop()
	all.Wait()
	answers := map[string]int{}
	lost, notAccepted := 0, 0
	for _, c := range calls {
		switch {
		case !c.accepted:
			notAccepted++
		case c.answered == 0 || c.answered > lostAfter:
			lost++
			r.note("call of %.3f s after the new process's start: no answer within %v (%s)", c.at.Sub(begin).Seconds(), lostAfter, c.answer)
		default:
			answers[c.answer]++
			r.note("call of %.3f s after the new process's start: %s after %v", c.at.Sub(begin).Seconds(), c.answer, c.answered.Round(time.Millisecond))
		}
	}
	r.log("%d calls: %v answered, %d not accepted, %d lost", len(calls), answers, notAccepted, lost)
	if lost > 0 {
		return broken
	}
	return held
}

// run makes one call on a new connection.
func (c *thriftCall) run(addr string, enc thriftlab.Encoding, op string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.answer = err.Error()
		return
	}
	defer conn.Close()
	if _, err := conn.Write(enc.Encode("place", thriftlab.Call, 7, &thriftlab.Order{Op: op, Key: op, Ms: int32(callTime.Milliseconds())})); err != nil {
		c.answer = err.Error()
		return
	}
	c.accepted = true
	written := time.Now()
	conn.SetReadDeadline(written.Add(lostAfter + time.Second))
	result, _, code, err := enc.NewReader(conn).Read()
	switch {
	case err != nil:
		c.answer = err.Error()
		return
	case code >= 0:
		c.answer = fmt.Sprintf("exception %d", code)
	case result.ExceptionID != 0:
		c.answer = "declared exception"
	default:
		c.answer = "served"
	}
	c.answered = time.Since(written)
}
