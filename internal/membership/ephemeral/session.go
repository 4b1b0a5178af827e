package ephemeral

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"ringtrack.example/ringtrack/internal/zkwire"
)

const (
	// connectTimeout bounds a connect, and the handshake after it.
	connectTimeout = time.Second
	// closeTimeout bounds how long closing a session may delay the end of Run.
	closeTimeout = connectTimeout / 4
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 16 << 10
	// passwordBytes is the length of the all-zero password in the request for a new session.
	passwordBytes = 16

	// minReconnectBackoff and maxReconnectBackoff bound the backoff after all servers have failed in turn.
	minReconnectBackoff = 20 * time.Millisecond
	maxReconnectBackoff = 2 * time.Second
	// authFailureBackoff is the backoff after a server rejected the credentials.
	authFailureBackoff = 5 * time.Second
	// defaultResetAfter is how long all servers may be behind the session before the registry counts as
	// reinitialised.
	defaultResetAfter = 30 * time.Second
	// minSessionTimeout is the least session timeout that is used, whatever the server sets.
	minSessionTimeout = 30 * time.Millisecond
)

// Errors that end a connection, besides zkwire.Code.
var (
	// errServerBehind says that the server has not seen the last transaction that this session saw.
	errServerBehind = errors.New("server is behind the last transaction seen")
	// errHandshakeClosed says that the server closed the connection instead of answering the handshake, as
	// servers that are behind do.
	errHandshakeClosed = errors.New("server closed the connection during the handshake")
	// errMalformedFrame says that a frame can't be decoded.
	errMalformedFrame = errors.New("malformed frame")
)

// request is a request to the registry. onReply is called with its reply unless the connection ends before.
type request struct {
	op      zkwire.Op
	xid     int32 // 0: the next number of the connection
	body    func([]byte) []byte
	onReply func(h zkwire.ReplyHeader, r *zkwire.Reader) error
}

// handler is the user of a session. All methods are called from the session's goroutine.
type handler interface {
	// connected is called when a connection starts. renewed says that it continues the last session; zxid is
	// the id of the last transaction seen.
	connected(renewed bool, zxid int64)
	// nextRequest returns the next request to send; false if there is none.
	nextRequest() (request, bool)
	handleEvent(zkwire.WatchEvent)
	// replyReceived is called for each reply, including those to pings, before its callback.
	replyReceived()
	// flush is called at the end of a batch of events and replies.
	flush()
	// retry is called every retryInterval: failed requests may be sent again.
	retry()
	// connectionLost is called when a connection ends or can't be established.
	connectionLost(error)
}

// session maintains one session with a registry, over one connection at a time.
type session struct {
	servers          []string // host:port
	requestedTimeout time.Duration
	auth             string // "user:password"; empty: none
	readOnly         bool   // accept servers that are cut off from the quorum
	maxFrameBytes    int
	handler          handler
	resetAfter       time.Duration // 0: defaultResetAfter
	maxBackoff       time.Duration // 0: maxReconnectBackoff

	id          int64 // 0: there is no session
	password    []byte
	zxid        int64     // id of the last transaction seen
	behindSince time.Time // since when all servers have been behind zxid; zero: they are not
}

// run maintains the session until ctx ends, then closes it.
func (s *session) run(ctx context.Context) {
	rand.Shuffle(len(s.servers), func(i, j int) { s.servers[i], s.servers[j] = s.servers[j], s.servers[i] })
	backoff := s.newBackoff()
	for i := 0; ctx.Err() == nil; i++ {
		addr := s.servers[i%len(s.servers)]
		served, err := s.connect(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		s.handler.connectionLost(fmt.Errorf("%s: %w", addr, err))
		s.handler.flush()
		if served {
			backoff = s.newBackoff()
			continue
		}
		select {
		case <-time.After(backoff.next(err)):
		case <-ctx.Done():
		}
	}
}

// reconnectBackoff computes the backoff between consecutive failed connections.
type reconnectBackoff struct {
	servers  int
	failures int
	current  time.Duration
	max      time.Duration
}

func (s *session) newBackoff() *reconnectBackoff {
	return &reconnectBackoff{
		servers: len(s.servers),
		current: minReconnectBackoff,
		max:     cmp.Or(s.maxBackoff, maxReconnectBackoff),
	}
}

// next returns the backoff after a connection failed with err: none until all servers have failed, then a
// random time in the upper half of an interval that doubles.
func (b *reconnectBackoff) next(err error) time.Duration {
	b.failures++
	switch {
	case errors.Is(err, zkwire.AuthFailed):
		return authFailureBackoff
	case errors.Is(err, zkwire.SessionExpired):
		return 0
	case b.failures%b.servers == 0:
		backoff := b.current/2 + rand.N(b.current/2+1)
		b.current = min(2*b.current, b.max)
		return backoff
	}
	return 0
}

// connect opens a connection and maintains the session over it. It returns why the connection ended and
// whether the server answered any request on it.
func (s *session) connect(ctx context.Context, addr string) (served bool, err error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		s.behindSince = time.Time{}
		return false, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now().Add(closeTimeout)) })
	defer stop()
	conn.SetDeadline(time.Now().Add(connectTimeout))
	reader := bufio.NewReaderSize(conn, bufferBytes)
	renewed, timeout, err := s.handshake(conn, reader)
	if err != nil {
		return false, err
	}
	c := &connection{
		session: s,
		conn:    conn,
		reader:  reader,
		writer:  bufio.NewWriterSize(conn, bufferBytes),
		timeout: timeout,
	}
	return c.serve(ctx, renewed)
}

// handshake starts or renews the session. It returns whether it was renewed, and the timeout of the session.
func (s *session) handshake(conn net.Conn, reader *bufio.Reader) (renewed bool, timeout time.Duration, err error) {
	connectRequest := zkwire.Connect{
		LastZxid:    s.zxid,
		TimeoutMs:   int32(s.requestedTimeout.Milliseconds()),
		Session:     s.id,
		Password:    s.password,
		ReadOnly:    s.readOnly,
		HasReadOnly: true,
	}
	if s.id == 0 {
		connectRequest.Password = make([]byte, passwordBytes)
	}
	if _, err := conn.Write(zkwire.Frame(connectRequest.AppendRequest)); err != nil {
		return false, 0, err
	}
	frame, err := readFrame(reader, s.maxFrameBytes)
	if errors.Is(err, io.EOF) && s.zxid > 0 {
		s.noteServerBehind()
		return false, 0, errHandshakeClosed
	}
	if err != nil {
		return false, 0, err
	}
	r := zkwire.NewReader(frame)
	response := r.Connect(false)
	if r.Err() != nil {
		return false, 0, malformed(r.Err())
	}
	if response.TimeoutMs <= 0 {
		s.forgetSession()
		return false, 0, zkwire.SessionExpired
	}
	renewed = s.id != 0 && s.id == response.Session
	s.id = response.Session
	s.password = response.Password
	if response.ReadOnly {
		s.forgetSession() // no other server knows the session
	}
	return renewed, s.timeout(response.TimeoutMs), nil
}

// timeout returns the timeout to use for the session, given the one that the server set. It is at most the
// requested one, so that a silent server is detected in time.
func (s *session) timeout(responseMs int32) time.Duration {
	timeout := max(time.Duration(responseMs)*time.Millisecond, minSessionTimeout)
	return min(timeout, max(s.requestedTimeout, minSessionTimeout))
}

// forgetSession makes the next connection start a new session.
func (s *session) forgetSession() {
	s.id = 0
	s.password = nil
}

// noteServerBehind records that a server is behind the session. Once all servers have been behind for
// resetAfter, the registry counts as reinitialised, and its transaction ids are no longer compared with the
// earlier ones.
func (s *session) noteServerBehind() {
	if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	} else if time.Since(s.behindSince) > cmp.Or(s.resetAfter, defaultResetAfter) {
		s.forgetSession()
		s.zxid = 0
		s.behindSince = time.Time{}
	}
}

// malformed wraps the error of a record that can't be decoded.
func malformed(err error) error { return fmt.Errorf("%w: %w", errMalformedFrame, err) }
