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
	// maxReadAheadBytes bounds what is read ahead while a request is open. Clients usually do not pipeline,
	// so that little arrives, and net/http reads none of it before the answer.
	maxReadAheadBytes = 16 << 10
	// readAheadBufferBytes is the size of the buffer of one read.
	readAheadBufferBytes = 4 << 10
	// disconnectPollInterval is how often the socket is polled once maxReadAheadBytes have been read.
	disconnectPollInterval = 25 * time.Millisecond
)

// expiredDeadline makes reads fail immediately.
var expiredDeadline = time.Unix(1, 0)

// disconnectDetector detects that a client disconnects while its request is open, in the cases in which
// net/http does not: net/http's own check ends with the first byte that arrives after the request, and does
// not begin before the body has arrived completely. The detector then reads ahead, up to maxReadAheadBytes,
// and passes the bytes to the next read. It controls the read deadline of the connection, which it needs to
// interrupt its own read, and restores the deadline that net/http set.
type disconnectDetector struct {
	conn         net.Conn
	onRead       func(p []byte) (usable int) // called with the bytes of each read; returns how many may be passed on
	disconnected chan struct{}               // closed once the client has disconnected
	once         sync.Once                   // closes disconnected: both a poll and the end of the bytes may show it

	mu           sync.Mutex
	readAhead    []byte
	err          error         // of reading ahead; it follows the bytes of readAhead
	readDeadline time.Time     // the one that net/http set
	stop         chan struct{} // closed to stop the detector; nil: it is not running
	stopped      chan struct{} // closed once it has stopped
}

// notify marks the client as disconnected.
func (d *disconnectDetector) notify() { d.once.Do(func() { close(d.disconnected) }) }

// isDisconnected reports whether the client has disconnected, and checks the current state of its socket.
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

// start starts the detector, unless it is running or the client has disconnected.
func (d *disconnectDetector) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stop != nil || d.err != nil {
		return
	}
	d.stop = make(chan struct{})
	d.stopped = make(chan struct{})
	go d.run(d.stop, d.stopped)
}

// run reads ahead until stop or an error. From maxReadAheadBytes on, or once nothing more is passed on, it polls the
// socket instead.
func (d *disconnectDetector) run(stop, stopped chan struct{}) {
	defer close(stopped)
	buf := make([]byte, readAheadBufferBytes)
	for {
		d.mu.Lock()
		capacity := maxReadAheadBytes - len(d.readAhead)
		d.mu.Unlock()
		if capacity <= 0 {
			d.poll(stop)
			return
		}
		n, err := d.conn.Read(buf[:min(capacity, len(buf))])
		usable := d.onRead(buf[:n])
		d.mu.Lock()
		d.readAhead = append(d.readAhead, buf[:usable]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			d.err = err
			d.notify()
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
		if usable < n {
			d.poll(stop)
			return
		}
	}
}

// poll polls the socket until stop or until the client has disconnected.
func (d *disconnectDetector) poll(stop chan struct{}) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if d.isDisconnected() {
			return
		}
	}
}

// stopAndRead stops the detector. It returns bytes that were read ahead, else the error of reading ahead. 0
// and nil: there is neither.
func (d *disconnectDetector) stopAndRead(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stop, stopped := d.stop, d.stopped; stop != nil {
		close(stop)
		d.conn.SetReadDeadline(expiredDeadline) // interrupts its read
		d.mu.Unlock()
		<-stopped
		d.mu.Lock()
		d.stop = nil
		d.conn.SetReadDeadline(d.readDeadline)
	}
	n := copy(p, d.readAhead)
	d.readAhead = d.readAhead[n:]
	if len(d.readAhead) == 0 {
		d.readAhead = nil
	}
	if n > 0 {
		return n, nil
	}
	return 0, d.err
}

// setReadDeadline sets the read deadline on behalf of net/http.
func (d *disconnectDetector) setReadDeadline(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readDeadline = t
	if d.stop != nil {
		select {
		case <-d.stop:
			return nil // stopAndRead will set it
		default:
		}
	}
	return d.conn.SetReadDeadline(t)
}
