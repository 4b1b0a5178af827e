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

// An attempt that is withdrawn as its answer comes keeps the answer, and its connection is not used again:
// the withdrawal's deadline would hit whoever has it next. Memory that a failed one asked for is given back.
func TestCancelledAsTheResponseArrives(t *testing.T) {
	addr := startPeer(t, func(c net.Conn) { io.WriteString(c, "answer") })
	for _, withdrawn := range []bool{false, true} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		budget := semaphore.NewWeighted(100)
		ctx, cancel := context.WithCancel(t.Context())
		x := Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout), Budget: budget,
			EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("ask"), []byte("ed")} },
			ReadResponse: func(cn *Conn, reserve func(int64) error) (core.Result, bool, error) {
				if err := reserve(60); err != nil {
					return core.Result{}, false, err
				}
				_, err := io.ReadFull(cn.Reader, make([]byte, len("answer")))
				if withdrawn {
					cancel()
				}
				return core.Result{Status: policy.OK, Reply: "answer"}, true, err
			}}
		r := p.Do(ctx, &x)
		idle := 1
		if withdrawn {
			idle = 0
		}
		if r.Status != policy.OK || r.ReservedBytes != 60 || p.Idle(key) != idle || p.Open() != idle {
			t.Errorf("withdrawn %v: %+v, %d idle, %d open", withdrawn, r, p.Idle(key), p.Open())
		}
		budget.Release(r.ReservedBytes)
		x.ReadResponse = func(_ *Conn, reserve func(int64) error) (core.Result, bool, error) {
			reserve(60)
			return core.Result{}, true, MalformedResponse("it says nothing")
		}
		if r := p.Do(t.Context(), &x); r.Status != policy.Error || r.ReservedBytes != 0 || p.Open() != 0 || !budget.TryAcquire(100) {
			t.Errorf("spoilt: %+v, %d open", r, p.Open())
		}
		cancel()
	}
}

// A repeat whose key is no longer known once the connection is up is not begun, and the connection is kept.
func TestAttemptIsNotBegunAfterStartBefore(t *testing.T) {
	asked := make(chan struct{}, 2)
	addr := startPeer(t, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 8)); err == nil {
			asked <- struct{}{}
			io.WriteString(c, "answer")
		}
	})
	for _, late := range []bool{true, false} {
		p, key := New(waitTimeout, time.Minute, 8), newKey()
		x := Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout), StartBefore: time.Now().Add(waitTimeout),
			Budget:        semaphore.NewWeighted(100),
			EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("asked")} },
			ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
				_, err := io.ReadFull(cn.Reader, make([]byte, len("answer")))
				return core.Result{Status: policy.OK}, true, err
			}}
		want := policy.OK
		if late {
			x.StartBefore, want = time.Now(), policy.NotStarted
		}
		if r := p.Do(t.Context(), &x); r.Status != want || p.Idle(key) != 1 || late && len(asked) != 0 {
			t.Errorf("late %v: %+v, %d idle, %d asked", late, r, p.Idle(key), len(asked))
		}
	}
}

// A withdrawal stands, whatever deadline is set behind it: the reader of an answer that comes in pieces sets one for
// each of them, and the attempt would stay out. Its connection is not used again.
func TestNoDeadlineUndoesACancellation(t *testing.T) {
	addr := startPeer(t, func(c net.Conn) { c.Read(make([]byte, 8)) }) // it never answers
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() {
		done <- p.Do(ctx, &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout),
			Budget: semaphore.NewWeighted(1), EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("asked")} },
			ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
				cancel()
				_, err := cn.Read(make([]byte, 1)) // ends with the withdrawal: it has come
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
			t.Errorf("%+v, %d open", r, p.Open())
		}
	case <-time.After(waitTimeout / 4):
		t.Fatal("the attempt stays out")
	}
}

// The rest of an answer that is withdrawn ends its read at once, and its connection is not used again.
func TestStreamIsCancelled(t *testing.T) {
	addr := startPeer(t, func(c net.Conn) { c.Read(make([]byte, 8)) })
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	cn, err := p.Get(t.Context(), key, addr, time.Now().Add(waitTimeout))
	if err != nil {
		t.Fatal(err)
	}
	reading, read := make(chan struct{}), make(chan error, 1)
	rest := p.NewStream(cn, func(b []byte) (int, error) {
		close(reading)
		return cn.Read(b)
	}, true)
	go func() {
		_, err := rest.Read(make([]byte, 1))
		read <- err
	}()
	<-reading
	rest.Cancel()
	select {
	case err := <-read:
		if err == nil {
			t.Error("read something")
		}
	case <-time.After(waitTimeout / 4):
		t.Fatal("the read goes on")
	}
	if rest.Close(true); p.Idle(key) != 0 || p.Open() != 0 {
		t.Errorf("%d idle, %d open", p.Idle(key), p.Open())
	}
	rest.Cancel() // late: it touches nobody's connection
}

// A second answer that comes some ms after the first is not taken for the next request's: once a backend was seen to
// send what nobody asked for, a connection is left to settle behind each answer, and meanwhile another one is opened.
func TestLateSecondResponseIsNotTakenForTheNext(t *testing.T) {
	asked := make(chan net.Conn, 8)
	addr := startPeer(t, func(c net.Conn) {
		for buf := make([]byte, 5); ; {
			if _, err := io.ReadFull(c, buf); err != nil {
				return
			}
			asked <- c
		}
	})
	p, key := New(waitTimeout, time.Minute, 8), newKey()
	do := func(behind string, meanwhile func(c net.Conn)) string {
		got := make([]byte, 6)
		done := make(chan core.Result, 1)
		go func() {
			done <- p.Do(t.Context(), &Exchange{Key: key, Addr: addr, Sent: time.Now(), Deadline: time.Now().Add(waitTimeout),
				Budget: semaphore.NewWeighted(1), EncodeRequest: func() net.Buffers { return net.Buffers{[]byte("asked")} },
				ReadResponse: func(cn *Conn, _ func(int64) error) (core.Result, bool, error) {
					_, err := io.ReadFull(cn.Reader, got)
					return core.Result{Status: policy.OK}, true, err
				}})
		}()
		c := <-asked
		meanwhile(c)
		io.WriteString(c, "answer"+behind)
		if r := <-done; r.Status != policy.OK {
			t.Fatalf("%+v", r)
		}
		return string(got)
	}
	do("second", func(net.Conn) {}) // in one segment: seen at once, and its connection closed
	var first net.Conn
	do("", func(c net.Conn) { first = c })
	if p.Idle(key) != 1 {
		t.Fatalf("%d idle", p.Idle(key))
	}
	got := do("", func(net.Conn) { io.WriteString(first, "second") }) // the request is out by now
	if got != "answer" {
		t.Errorf("the next request was answered with %q", got)
	}
}
