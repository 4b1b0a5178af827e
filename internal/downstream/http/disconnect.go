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
	// maxReadAheadBytes bounds what is read of what a client sends after its open request. Clients send one
	// request at a time, so that there is little, and net/http reads none of it before the answer.
	maxReadAheadBytes = 16 << 10
	// readAheadBufferBytes is how much of it is read at once.
	readAheadBufferBytes = 4 << 10
	// disconnectPollInterval is how often the socket of a client that has sent more than that is checked.
	disconnectPollInterval = 25 * time.Millisecond
)

// disconnectDetector detects that a client disconnects while its request is open. net/http's own check ends with
// the first byte that arrives after the request, and does not begin while a part of the body is still to arrive:
// then the detector reads ahead, up to maxReadAheadBytes, and hands what it read to the next reader. It owns the
// read deadline of the connection, as it has to end its own read without losing the deadline that net/http set.
type disconnectDetector struct {
	conn         net.Conn
	onRead       func(p []byte) // called with what was read ahead
	disconnected chan struct{}  // closed once the client has disconnected
	once         sync.Once      // closes it: the socket and the end of the bytes may both show it

	mu           sync.Mutex
	readAhead    []byte
	err          error         // how reading ahead ended, after readAhead
	readDeadline time.Time     // that net/http set
	stop         chan struct{} // closed to stop the detector; nil: it does not run
	stopped      chan struct{} // closed once it has stopped
}

// notify notes that the client has disconnected.
func (d *disconnectDetector) notify() { d.once.Do(func() { close(d.disconnected) }) }

// isDisconnected says whether the client has disconnected, by the present state of its socket.
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

// start starts the detector, unless it runs or the client has disconnected.
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

// run reads ahead until stop, an error or the bound, and from there on polls the socket.
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

// poll checks the socket until stop or the client has disconnected.
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

// stopAndRead stops the detector and reads what it has read ahead, or how that ended. 0 and nil: there is nothing.
func (d *disconnectDetector) stopAndRead(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stop, stopped := d.stop, d.stopped; stop != nil {
		close(stop)
		d.conn.SetReadDeadline(time.Unix(1, 0)) // ends its read
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

// setReadDeadline sets the deadline of net/http's reads.
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
