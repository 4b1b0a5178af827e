package socket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ringtrack.example/ringtrack/internal/lab/tcppair"
)

// ReadState, HungUp and ReadNow, for every state in which a peer can leave a connection.
func TestReadState(t *testing.T) {
	for name, test := range map[string]struct {
		do     func(peer *net.TCPConn)
		state  State
		hungUp bool
	}{
		"silent":                 {func(*net.TCPConn) {}, Silent, false},
		"unread":                 {func(p *net.TCPConn) { io.WriteString(p, "xy") }, Unread, false},
		"half-closed":            {func(p *net.TCPConn) { p.CloseWrite() }, Ended, true},
		"half-closed after data": {func(p *net.TCPConn) { io.WriteString(p, "xy"); p.CloseWrite() }, Unread, true},
		"closed":                 {func(p *net.TCPConn) { p.Close() }, Ended, true},
		"reset":                  {func(p *net.TCPConn) { p.SetLinger(0); p.Close() }, Ended, true},
	} {
		t.Run(name, func(t *testing.T) {
			nc, peer := tcppair.New(t)
			test.do(peer)
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if HungUp(nc) == test.hungUp && (test.state == Ended || ReadState(nc) == test.state) {
					break // the peer's action has arrived
				}
			}
			if got := HungUp(nc); got != test.hungUp {
				t.Errorf("hung up %v, want %v", got, test.hungUp)
			}
			if got := ReadState(nc); got != test.state {
				t.Errorf("state %d, want %d", got, test.state)
			}
			nc.SetReadDeadline(time.Unix(1, 0))
			buf := make([]byte, 1)
			if n := ReadNow(nc, buf); (n == 1) != (test.state == Unread) || n == 1 && buf[0] != 'x' {
				t.Errorf("read %d now, %q", n, buf)
			}
			nc.Close()
			if ReadState(nc) != Ended || !HungUp(nc) {
				t.Error("a connection closed on this side is not reported as ended")
			}
		})
	}
	a, b := net.Pipe() // it has no descriptor, so its state is unknown
	defer a.Close()
	defer b.Close()
	if HungUp(a) || ReadState(a) != Silent {
		t.Error("a connection without a descriptor is not reported as silent")
	}
}

// Interrupted system calls are repeated: they are no sign that nothing has arrived, or that the peer is there.
// If poll fails for another reason, a read tells whether the connection has ended.
func TestInterruptedCallsAreRepeated(t *testing.T) {
	nc, peer := tcppair.New(t)
	realRecvfrom, realPoll := recvfrom, poll
	defer func() { recvfrom, poll = realRecvfrom, realPoll }()
	calls := 0
	interrupted := func() bool { calls++; return calls%3 != 0 }
	recvfrom = func(fd int, p []byte, flags int) (int, syscall.Sockaddr, error) {
		if interrupted() {
			return -1, nil, syscall.EINTR
		}
		return realRecvfrom(fd, p, flags)
	}
	poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if interrupted() {
			return -1, unix.EINTR
		}
		return realPoll(fds, timeout)
	}
	io.WriteString(peer, "x")
	for end := time.Now().Add(10 * time.Second); ReadState(nc) != Unread; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the byte has not arrived")
		}
	}
	buf := make([]byte, 2)
	if n := ReadNow(nc, buf); n != 1 || buf[0] != 'x' {
		t.Errorf("read %d bytes, %q, want the one that has arrived", n, buf)
	}
	if HungUp(nc) {
		t.Error("a peer that is there is reported as gone")
	}
	peer.Close()
	for end := time.Now().Add(10 * time.Second); ReadState(nc) != Ended; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end has not arrived")
		}
	}
	if !HungUp(nc) {
		t.Error("a peer that is gone is not reported after interrupted calls")
	}
	poll = func([]unix.PollFd, int) (int, error) { return -1, unix.ENOMEM }
	if !HungUp(nc) {
		t.Error("a peer that is gone is not reported if poll fails")
	}
}

// A peer that has closed its sending side behind bytes that were not read still gets the last answer: no reset
// follows it.
func TestLingeringCloseBehindUnreadBytesOfAHalfClosedPeer(t *testing.T) {
	nc, peer := tcppair.New(t)
	const unread = 64 << 10
	peer.Write(make([]byte, unread))
	peer.CloseWrite()
	for end := time.Now().Add(10 * time.Second); !HungUp(nc); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the end has not arrived")
		}
	}
	io.WriteString(nc, "answer")
	LingeringClose(nc, false)
	if got, err := io.ReadAll(peer); err != nil || string(got) != "answer" {
		t.Errorf("the peer read %q, error %v", got, err)
	}
}
