package control

import (
	"context"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/panics"
)

type contextStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s contextStream) Context() context.Context { return s.ctx }

// A panic while a stream is served ends that stream, not the process.
func TestPanicEndsItsStreamOnly(t *testing.T) {
	before := panics.Recovered()
	err := recoverStream(nil, contextStream{ctx: t.Context()}, &grpc.StreamServerInfo{FullMethod: "test"},
		func(any, grpc.ServerStream) error { panic("defect") })
	if status.Code(err) != codes.Internal {
		t.Errorf("the handler's stream ended with %v, want %v", err, codes.Internal)
	}
	receive := func() (*request, *corev3.Node, error) { panic("defect") }
	err = (&stream{}).receiveRecovered(t.Context(), &request{}, make(chan *request, 1), receive)
	if status.Code(err) != codes.Internal {
		t.Errorf("the receiving side ended with %v, want %v", err, codes.Internal)
	}
	if n := panics.Recovered() - before; n != 2 {
		t.Errorf("%d panics counted, want 2", n)
	}
}
