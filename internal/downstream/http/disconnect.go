package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/downstream/pace"
	"ringtrack.example/ringtrack/internal/socket"
)

const (
	// maxReadAheadBytes is read ahead while a request is open without a reservation. Clients usually do not
	// pipeline, so that little arrives, and net/http reads none of it before the answer.
	maxReadAheadBytes = 16 << 10
	// maxReservedReadAhead is read ahead if there is memory: what sockets hold may hide that the client has closed.
	maxReservedReadAhead = 512 << 10
	// maxDroppedBytes bounds what is read and dropped behind a message that can't be used.
	maxDroppedBytes = 8 << 20
	// readAheadStep is how much memory is reserved at once.
	readAheadStep = 32 << 10
	// readAheadBufferBytes is the size of the buffer of one read.
	readAheadBufferBytes = 4 << 10
	// disconnectPollInterval is how often the socket is polled once maxReservedReadAhead have been read.
	disconnectPollInterval = 25 * time.Millisecond
)

// expiredDeadline makes reads fail immediately.
var expiredDeadline = time.Unix(1, 0)

// disconnectDetector detects that a client disconnects while its request is open, in the cases in which
// net/http does not: net/http's own check ends with the first byte that arrives after the request, and does
// not begin before the body has arrived completely. The detector then reads ahead, up to maxReservedReadAhead,
// and passes the bytes to the next read. It controls the read deadline of the connection, which it needs to
// interrupt its own read, and restores the deadline that net/http set.
type disconnectDetector struct {
	conn         net.Conn
	receive      func(p []byte) (n, usable int, err error) // reads from conn; usable bytes may be passed on
	readsEnough  func() bool                               // nothing more is to be read ahead; nil: only the bytes count
	disconnected chan struct{}                             // closed once the client has disconnected
	once         sync.Once                                 // closes disconnected: both a poll and the end of the bytes may show it

	mu           sync.Mutex
	buffers      *pace.Buffers // memory for reading ahead; nil: there is none
	reserved     int64         // bytes of it
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

// run reads ahead until stop or an error. What can't be used is read and dropped, as the end of the connection may follow
// it. Once there is no capacity it polls the socket instead.
func (d *disconnectDetector) run(stop, stopped chan struct{}) {
	defer close(stopped)
	buf := make([]byte, readAheadBufferBytes)
	dropped := 0
	for {
		capacity := len(buf)
		if dropped == 0 {
			capacity = d.capacity()
		}
		if capacity <= 0 || dropped > maxDroppedBytes || d.readsEnough != nil && d.readsEnough() {
			d.poll(stop)
			return
		}
		n, usable, err := d.receive(buf[:min(capacity, len(buf))])
		dropped += n - usable
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
	}
}

// capacity returns how many more bytes may be read ahead.
func (d *disconnectDetector) capacity() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := maxReadAheadBytes + int(d.reserved)
	if len(d.readAhead) >= limit && limit < maxReservedReadAhead && d.buffers != nil && d.buffers.TryAcquire(readAheadStep) {
		d.reserved += readAheadStep
		limit += readAheadStep
	}
	return limit - len(d.readAhead)
}

// useMemory sets the memory for reading ahead.
func (d *disconnectDetector) useMemory(buffers *pace.Buffers) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.buffers = buffers
}

// release releases the memory for reading ahead. The lock is held.
func (d *disconnectDetector) release() {
	if d.reserved > 0 {
		d.buffers.Release(d.reserved)
		d.reserved = 0
	}
}

// close drops what was read ahead, and reports whether there was anything.
func (d *disconnectDetector) close() (dropped bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped = len(d.readAhead) > 0
	d.readAhead = nil
	d.release()
	return dropped
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
		d.release()
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
