package control

import (
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/panics"
)

// errPanicked is the error of a stream whose handler panicked.
var errPanicked = status.Error(codes.Internal, panics.ErrRecovered.Error())

// recoverStream is a stream interceptor that turns a panic of the handler into an error of its stream.
func recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	addr := ""
	if p, ok := peer.FromContext(stream.Context()); ok {
		addr = p.Addr.String()
	}
	defer panics.Recover(info.FullMethod, addr, func() { err = errPanicked })
	return handler(server, stream)
}

// rawFrame is a marshalled message. Several streams may send the same bytes concurrently.
type rawFrame []byte

// frameCodec passes a rawFrame through unchanged, and encodes all other messages with the wrapped codec.
type frameCodec struct{ encoding.CodecV2 }

// Marshal implements encoding.CodecV2.
func (c frameCodec) Marshal(v any) (mem.BufferSlice, error) {
	if f, ok := v.(rawFrame); ok {
		return mem.BufferSlice{mem.SliceBuffer(f)}, nil
	}
	return c.CodecV2.Marshal(v)
}

// trackingListener records its connections by remote address, so that a stream can close its connection.
type trackingListener struct {
	net.Listener
	connections *sync.Map
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{conn, l.connections, conn.RemoteAddr().String()}
	l.connections.Store(tracked.remoteAddr, tracked)
	return tracked, nil
}

type trackedConn struct {
	net.Conn
	connections *sync.Map
	remoteAddr  string
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.connections.CompareAndDelete(c.remoteAddr, c)
	return c.Conn.Close()
}
