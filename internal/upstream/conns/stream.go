package conns

import (
	"net"
	"sync"
	"time"
)

// streamReadTimeout bounds how long a backend may pause within a response.
const streamReadTimeout = 15 * time.Second

// Stream is the remaining part of a response whose beginning is already being forwarded. It owns the
// connection until it is closed.
type Stream struct {
	pool     *Pool
	read     func(p []byte) (int, error)
	reusable bool // whether the connection may carry another request after the response

	mu   sync.Mutex
	conn *Conn // nil: closed
}

// NewStream returns a stream that calls read for its content and takes ownership of the connection. It is
// called by Exchange.ReadResponse, which returns the stream in its reply.
func (p *Pool) NewStream(cn *Conn, read func(p []byte) (int, error), reusable bool) *Stream {
	cn.stream = &Stream{pool: p, conn: cn, read: read, reusable: reusable}
	return cn.stream
}

// Read reads the next bytes. It returns io.EOF once the response is complete.
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

// Cancel makes the current Read and all later ones fail. It may be called from any goroutine at any time.
func (s *Stream) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.cancel()
	}
}

// Close returns the connection to the pool, or closes it if it can't be reused. complete says that Read
// returned io.EOF.
func (s *Stream) Close(complete bool) {
	s.mu.Lock()
	cn := s.conn
	s.conn = nil
	s.mu.Unlock()
	if cn == nil {
		return
	}
	if complete && s.reusable && !cn.cancelled { // without its lock: Cancel can't reach cn any more
		s.pool.Put(cn)
	} else {
		s.pool.Close(cn)
	}
}
