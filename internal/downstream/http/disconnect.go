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
	// mostAhead is what is read of what a client sends behind its open request: a client sends one request at a
	// time (protocol page), so that there is little, and net/http reads none of it before the answer.
	mostAhead = 16 << 10
	// hungUpEvery is how often a client that has sent more than that is looked at.
	hungUpEvery = 25 * time.Millisecond
)

// disconnectDetector detects that a client disconnects while its request is open. net/http's own look ends with the
// first byte that comes
// behind the request, and does not begin while a part of the body is to come: then this reads ahead, as far as
// mostAhead, and hands what it read to whoever reads next. It owns the connection's read deadline, as it has to end
// its own read without losing the one that the server set.
type disconnectDetector struct {
	conn         net.Conn
	read         func(p []byte) // is told what was read
	mu           sync.Mutex
	ahead        []byte
	err          error         // how reading ahead ended, behind ahead
	until        time.Time     // the server's deadline
	end          chan struct{} // closed to have it end; nil: it does not run
	over         chan struct{} // closed once it has
	disconnected chan struct{} // closed once the client has
	once         sync.Once     // closes it: who has hung up comes to the end of its bytes, too
}

// tell tells that the client has disconnected, once.
func (d *disconnectDetector) tell() { d.once.Do(func() { close(d.disconnected) }) }

// gone tells whether the client has left, as its socket has it now: it is asked where a moment counts.
func (d *disconnectDetector) gone() bool {
	select {
	case <-d.disconnected:
		return true
	default:
	}
	if !socket.HungUp(d.conn) {
		return false
	}
	d.tell()
	return true
}

// begin begins to look. It does nothing where it runs already, or the client has left.
func (d *disconnectDetector) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.end != nil || d.err != nil {
		return
	}
	d.end, d.over = make(chan struct{}), make(chan struct{})
	go d.run(d.end, d.over)
}

func (d *disconnectDetector) run(end, over chan struct{}) {
	defer close(over)
	buf := make([]byte, 4<<10)
	var look *time.Ticker
	for {
		d.mu.Lock()
		room := mostAhead - len(d.ahead)
		d.mu.Unlock()
		if room <= 0 {
			if look == nil {
				look = time.NewTicker(hungUpEvery)
				defer look.Stop()
			}
			select {
			case <-end:
				return
			case <-look.C:
			}
			if d.gone() {
				return
			}
			continue
		}
		n, err := d.conn.Read(buf[:min(room, len(buf))])
		d.read(buf[:n])
		d.mu.Lock()
		d.ahead = append(d.ahead, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			d.err = err
			d.tell()
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take ends the look, and gives what was read ahead, or how that ended; 0 and nil: there is nothing.
func (d *disconnectDetector) take(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end, over := d.end, d.over; end != nil {
		close(end)
		d.conn.SetReadDeadline(time.Unix(1, 0))
		d.mu.Unlock()
		<-over
		d.mu.Lock()
		d.end = nil
		d.conn.SetReadDeadline(d.until)
	}
	n := copy(p, d.ahead)
	if d.ahead = d.ahead[n:]; len(d.ahead) == 0 {
		d.ahead = nil
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
	d.until = t
	if d.end != nil {
		select {
		case <-d.end:
			return nil // take sets it
		default:
		}
	}
	return d.conn.SetReadDeadline(t)
}
