package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/socket"
)

const (
	// maxReadAheadBytes is what is read of what a client sends behind its open request: a client sends one request at a
	// time (protocol page), so that there is little, and net/http reads none of it before the answer.
	maxReadAheadBytes = 16 << 10
	// disconnectPollInterval is how often a client that has sent more than that is looked at.
	disconnectPollInterval = 25 * time.Millisecond
)

// disconnectDetector detects that a client disconnects while its request is open. net/http's own look ends with the
// first byte that comes
// behind the request, and does not begin while a part of the body is to come: then this reads ahead, as far as
// mostAhead, and hands what it read to whoever reads next. It owns the connection's read deadline, as it has to end
// its own read without losing the one that the server set.
type disconnectDetector struct {
	conn         net.Conn
	onRead       func(p []byte) // is told what was read
	mu           sync.Mutex
	readAhead    []byte
	err          error         // how reading ahead ended, behind ahead
	readDeadline time.Time     // the server's deadline
	stop         chan struct{} // closed to have it end; nil: it does not run
	stopped      chan struct{} // closed once it has
	disconnected chan struct{} // closed once the client has
	once         sync.Once     // closes it: who has hung up comes to the end of its bytes, too
}

// notify tells that the client has disconnected, once.
func (d *disconnectDetector) notify() { d.once.Do(func() { close(d.disconnected) }) }

// isDisconnected tells whether the client has left, as its socket has it now: it is asked where a moment counts.
func (d *disconnectDetector) isDisconnected() bool {
	select {
	case <-d.disconnected:
		return true
	default:
	}
	if !socket.HungUp(d.conn) {
		return false
	}
	d.notify()
	return true
}

// start begins to look. It does nothing where it runs already, or the client has left.
func (d *disconnectDetector) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stop != nil || d.err != nil {
		return
	}
	d.stop, d.stopped = make(chan struct{}), make(chan struct{})
	go d.run(d.stop, d.stopped)
}

func (d *disconnectDetector) run(end, over chan struct{}) {
	defer close(over)
	buf := make([]byte, 4<<10)
	var look *time.Ticker
	for {
		d.mu.Lock()
		room := maxReadAheadBytes - len(d.readAhead)
		d.mu.Unlock()
		if room <= 0 {
			if look == nil {
				look = time.NewTicker(disconnectPollInterval)
				defer look.Stop()
			}
			select {
			case <-end:
				return
			case <-look.C:
			}
			if d.isDisconnected() {
				return
			}
			continue
		}
		n, err := d.conn.Read(buf[:min(room, len(buf))])
		d.onRead(buf[:n])
		d.mu.Lock()
		d.readAhead = append(d.readAhead, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			d.err = err
			d.notify()
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// stopAndRead ends the look, and gives what was read ahead, or how that ended; 0 and nil: there is nothing.
func (d *disconnectDetector) stopAndRead(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end, over := d.stop, d.stopped; end != nil {
		close(end)
		d.conn.SetReadDeadline(time.Unix(1, 0))
		d.mu.Unlock()
		<-over
		d.mu.Lock()
		d.stop = nil
		d.conn.SetReadDeadline(d.readDeadline)
	}
	n := copy(p, d.readAhead)
	if d.readAhead = d.readAhead[n:]; len(d.readAhead) == 0 {
		d.readAhead = nil
	}
	if n > 0 {
		return n, nil
	}
	return 0, d.err
}

// setReadDeadline sets the server's deadline.
func (d *disconnectDetector) setReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readDeadline = t
	if d.stop != nil {
		select {
		case <-d.stop:
			return nil // take sets it
		default:
		}
	}
	return d.conn.SetReadDeadline(t)
}
