package conns

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"ringtrack.example/ringtrack/internal/core"
	"ringtrack.example/ringtrack/policy"
)

// An attempt that is cancelled while its response arrives returns the response, but its connection is not
// reused: the expired deadline could fail the next request on it. Memory that a failed attempt reserved is
// released.
func TestCancelledAsTheResponseArrives(t *testing.T) {
	addr := startPeer(t, func(c net.Conn) {
		for buf := make([]byte, len("request")); ; {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			io.WriteString(c, "answer")
		}
	})
	for _, cancelled := range []bool{false, true} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		budget := semaphore.NewWeighted(100)
		ctx, cancel := context.WithCancel(t.Context())
		x := Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout), Budget: budget,
			EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("requ"), []byte("est")} },
			ReadResponse: func(cn *Conn, reserve func(int64) error) (core.Result, bool, error) {
				if err := reserve(60); err != nil {
					return core.Result{}, false, err
				}
				_, err := io.ReadFull(cn.Reader, make([]byte, len("answer")))
				if cancelled {
					cancel()
				}
				return core.Result{Status: policy.OK, Reply: "answer"}, true, err
			}}
		r := p.Do(ctx, &x)
		idle := 1
		if cancelled {
			idle = 0
		}
		if r.Status != policy.OK || r.ReservedBytes != 60 || p.Idle(key) != idle || p.Open() != idle {
			t.Errorf("cancelled %v: result %+v, %d connections idle, %d open", cancelled, r, p.Idle(key), p.Open())
		}
		budget.Release(r.ReservedBytes)
		time.Sleep(unsettledRest) // an idle connection is used again
		x.ReadResponse = func(_ *Conn, reserve func(int64) error) (core.Result, bool, error) {
			reserve(60)
			return core.Result{}, true, MalformedResponse("empty")
		}
		if r := p.Do(t.Context(), &x); r.Status != policy.Error || r.ReservedBytes != 0 || p.Open() != 0 || !budget.TryAcquire(100) {
			t.Errorf("after a malformed response: result %+v, %d connections open", r, p.Open())
		}
		cancel()
	}
}

// A retry whose idempotency window has passed by the time there is a connection does not start, and the
// connection stays idle.
func TestAttemptIsNotBegunAfterStartBefore(t *testing.T) {
	requests := make(chan struct{}, 2)
	addr := startPeer(t, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 8)); err == nil {
			requests <- struct{}{}
			io.WriteString(c, "answer")
		}
	})
	for _, expired := range []bool{true, false} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		x := Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout), StartBefore: time.Now().Add(waitTimeout),
			Budget:        semaphore.NewWeighted(100),
			EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("request")} },
			ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
				_, err := io.ReadFull(cn.Reader, make([]byte, len("answer")))
				return core.Result{Status: policy.OK}, true, err
			}}
		want := policy.OK
		if expired {
			x.StartBefore, want = time.Now(), policy.NotStarted
		}
		if r := p.Do(t.Context(), &x); r.Status != want || p.Idle(key) != 1 || expired && len(requests) != 0 {
			t.Errorf("expired %v: result %+v, %d connections idle, %d requests arrived", expired, r, p.Idle(key), len(requests))
		}
	}
}

// A deadline that is set after a cancellation does not undo it. The reader of a streamed response sets a
// deadline for each piece, and a cancelled attempt used to continue. Its connection is not reused.
func TestNoDeadlineUndoesACancellation(t *testing.T) {
	addr := startPeer(t, func(c net.Conn) { c.Read(make([]byte, 8)) }) // never responds
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() {
		done <- p.Do(ctx, &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout),
			Budget: semaphore.NewWeighted(1), EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("request")} },
			ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
				cancel()
				_, err := cn.Read(make([]byte, 1)) // ends with the cancellation
				cn.SetDeadline(time.Now().Add(waitTimeout))
				cn.SetReadDeadline(time.Now().Add(waitTimeout))
				if _, err2 := cn.Read(make([]byte, 1)); err2 != nil {
					err = err2
				}
				return core.Result{}, true, err
			}})
	}()
	select {
	case r := <-done:
		if r.Status != policy.Cancelled || p.Open() != 0 {
			t.Errorf("after the cancellation: result %+v, %d connections open", r, p.Open())
		}
	case <-time.After(waitTimeout / 4):
		t.Fatal("the attempt does not end")
	}
}

// Cancelling a stream ends its read at once, and its connection is not reused.
func TestStreamIsCancelled(t *testing.T) {
	addr := startPeer(t, func(c net.Conn) { c.Read(make([]byte, 8)) })
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	cn, err := p.Get(t.Context(), key, addr, time.Now().Add(waitTimeout))
	if err != nil {
		t.Fatal(err)
	}
	reading, read := make(chan struct{}), make(chan error, 1)
	stream := p.NewStream(cn, func(b []byte) (int, error) {
		close(reading)
		return cn.Read(b)
	}, true)
	go func() {
		_, err := stream.Read(make([]byte, 1))
		read <- err
	}()
	<-reading
	stream.Cancel()
	select {
	case err := <-read:
		if err == nil {
			t.Error("the cancelled read returned data")
		}
	case <-time.After(waitTimeout / 4):
		t.Fatal("the read does not end")
	}
	if stream.Close(true); p.Idle(key) != 0 || p.Open() != 0 {
		t.Errorf("after the stream was closed: %d connections idle, %d open", p.Idle(key), p.Open())
	}
	stream.Cancel() // after Close it affects no connection
}

// A second response that arrives some ms after the first must not be taken for the response to the next
// request. Once a backend has sent unexpected bytes, connections are reused only after a delay, and others
// are opened meanwhile.
func TestLateSecondResponseIsNotTakenForTheNext(t *testing.T) {
	requests := make(chan net.Conn, 8)
	addr := startPeer(t, func(c net.Conn) {
		for buf := make([]byte, len("request")); ; {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			requests <- c
		}
	})
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	do := func(extra string, beforeResponse func(c net.Conn)) string {
		got := make([]byte, 6)
		done := make(chan core.Result, 1)
		go func() {
			done <- p.Do(t.Context(), &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout),
				Budget: semaphore.NewWeighted(1), EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("request")} },
				ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
					_, err := io.ReadFull(cn.Reader, got)
					return core.Result{Status: policy.OK}, true, err
				}})
		}()
		c := <-requests
		beforeResponse(c)
		io.WriteString(c, "answer"+extra)
		if r := <-done; r.Status != policy.OK {
			t.Fatalf("result %+v, want status OK", r)
		}
		return string(got)
	}
	// In one segment: noticed at once, and the connection closed. The response is not an early one.
	do("second", func(net.Conn) { time.Sleep(earlyResponse) })
	var first net.Conn
	do("", func(c net.Conn) { first = c })
	if p.Idle(key) != 1 {
		t.Fatalf("%d connections idle, want 1", p.Idle(key))
	}
	got := do("", func(net.Conn) { io.WriteString(first, "second") }) // after the next request was written
	if got != "answer" {
		t.Errorf("the next response is %q", got)
	}
}
