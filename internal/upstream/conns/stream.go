package conns

import (
	"net"
	"sync"
	"time"
)

// streamReadTimeout bounds how long a backend may send nothing of a response that it has begun.
const streamReadTimeout = 15 * time.Second

// Stream is the part of a response that is still to be read while the rest is already passed on. It owns the
// connection until it is closed.
type Stream struct {
	pool     *Pool
	read     func(p []byte) (int, error)
	reusable bool // the connection may carry another request after the response

	mu   sync.Mutex
	conn *Conn // nil: closed
}

// NewStream hands the connection of a response to a stream that read reads. It is called by
// Exchange.ReadResponse, which returns the stream in its reply.
func (p *Pool) NewStream(cn *Conn, read func(p []byte) (int, error), reusable bool) *Stream {
	cn.stream = &Stream{pool: p, conn: cn, read: read, reusable: reusable}
	return cn.stream
}

// Read reads the next bytes; io.EOF says that the response is complete.
func (s *Stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	cn := s.conn
	s.mu.Unlock()
	if cn == nil {
		return 0, net.ErrClosed
	}
	cn.SetDeadline(time.Now().Add(streamReadTimeout))
	return s.read(p)
}

// Cancel ends the current Read and each later one. It may be called from any goroutine, at any time.
func (s *Stream) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.cancel()
	}
}

// Close gives the connection back. complete says that Read returned io.EOF.
func (s *Stream) Close(complete bool) {
	s.mu.Lock()
	cn := s.conn
	s.conn = nil
	s.mu.Unlock()
	if cn == nil {
		return
	}
	if complete && s.reusable && !cn.cancelled { // nobody can cancel it any longer
		s.pool.Put(cn)
	} else {
		s.pool.Close(cn)
	}
}
