package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// mostAhead is what is read of what a client sends behind its open request: a client sends one request at a
	// time (protocol page), so that there is little, and net/http reads none of it before the answer.
	mostAhead = 16 << 10
	// hungUpEvery is how often a client that has sent more than that is looked at.
	hungUpEvery = 100 * time.Millisecond
)

// lookout tells when a client leaves whose request is open. net/http's own look ends with the first byte that comes
// behind the request, and does not begin while a part of the body is to come: then this reads ahead, as far as
// mostAhead, and hands what it read to whoever reads next. It owns the connection's read deadline, as it has to end
// its own read without losing the one that the server set.
type lookout struct {
	conn  net.Conn
	read  func(p []byte) // is told what was read
	mu    sync.Mutex
	ahead []byte
	err   error         // how reading ahead ended, behind ahead
	until time.Time     // the server's deadline
	end   chan struct{} // closed to have it end; nil: it does not run
	over  chan struct{} // closed once it has
	left  chan struct{} // closed once the client has left
	once  sync.Once     // closes it: who has hung up comes to the end of its bytes, too
}

// leave tells that the client has left.
func (l *lookout) leave() { l.once.Do(func() { close(l.left) }) }

// begin begins to look. It does nothing where it runs already, or the client has left.
func (l *lookout) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil || l.err != nil {
		return
	}
	l.end, l.over = make(chan struct{}), make(chan struct{})
	go l.run(l.end, l.over)
}

func (l *lookout) run(end, over chan struct{}) {
	defer close(over)
	buf := make([]byte, 4<<10)
	for {
		l.mu.Lock()
		room := mostAhead - len(l.ahead)
		l.mu.Unlock()
		if room <= 0 {
			select {
			case <-end:
				return
			case <-time.After(hungUpEvery):
			}
			if hungUp(l.conn) {
				l.leave()
				return
			}
			continue
		}
		n, err := l.conn.Read(buf[:min(room, len(buf))])
		l.read(buf[:n])
		l.mu.Lock()
		l.ahead = append(l.ahead, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			l.err = err
			l.leave()
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take ends the look, and gives what was read ahead, or how that ended; 0 and nil: there is nothing.
func (l *lookout) take(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end, over := l.end, l.over; end != nil {
		close(end)
		l.conn.SetReadDeadline(time.Unix(1, 0))
		l.mu.Unlock()
		<-over
		l.mu.Lock()
		l.end = nil
		l.conn.SetReadDeadline(l.until)
	}
	n := copy(p, l.ahead)
	if l.ahead = l.ahead[n:]; len(l.ahead) == 0 {
		l.ahead = nil
	}
	if n > 0 {
		return n, nil
	}
	return 0, l.err
}

// setReadDeadline sets the server's deadline.
func (l *lookout) setReadDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = t
	if l.end != nil {
		select {
		case <-l.end:
			return nil // take sets it
		default:
		}
	}
	return l.conn.SetReadDeadline(t)
}

// hungUp tells whether a connection's peer has ended its sending, whatever is unread before.
func hungUp(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		gone = err == nil && n == 1
	})
	return err != nil || gone
}
