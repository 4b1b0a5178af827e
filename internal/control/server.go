// Package control implements the control service: it serves the decisions of package assign to proxies over
// xDS (ADS, state of the world and incremental) and receives their load reports (LRS). It handles sockets,
// streams and time; decisions about servers, routes and budgets are made in packages assign and policy.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // the codec for all messages except raw frames
	"google.golang.org/grpc/keepalive"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

const (
	// maxRequestBytes bounds the size of a request. It has room for 10,000 names of 256 bytes.
	maxRequestBytes = 4 << 20
	readBufferBytes = 4 << 10
	// maxStreamsPerConnection bounds the streams that a proxy may multiplex on one connection.
	maxStreamsPerConnection = 64
	// keepaliveInterval and keepaliveTimeout detect a proxy whose machine is unreachable, which writes do
	// not.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
	// minClientKeepalive is the shortest keepalive interval that proxies may use.
	minClientKeepalive = 5 * time.Second
)

var (
	errListenerClosed = errors.New("the listener was closed")
	errShuttingDown   = errors.New("the service is shutting down")
)

// Server is one replica of the control service.
type Server struct {
	publisher    *publisher
	certificates *certificates // nil: plain text
	connections  sync.Map      // remote address → net.Conn
	streamCount  atomic.Int64
	log          *slog.Logger

	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	loadstatsv3.UnimplementedLoadReportingServiceServer
}

// New creates a server from a validated configuration.
func New(cfg *Config, log *slog.Logger) (*Server, error) {
	p, err := newPublisher(cfg, log)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	s := &Server{publisher: p, log: log}
	if cfg.TLS.Cert != "" {
		s.certificates = &certificates{cfg: cfg.TLS}
		if _, err := s.certificates.read(); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	return s, nil
}

// Run serves proxies on ln and, unless admin is nil, the admin endpoint on admin, until ctx ends. Then it
// closes all streams and returns nil. It closes both listeners.
func (s *Server) Run(ctx context.Context, ln, admin net.Listener) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	grpcServer := s.newGRPCServer(ln.Addr().String())

	var running sync.WaitGroup
	running.Go(func() { s.publisher.run(background) })
	running.Go(func() { s.watchDiscovery(background) })
	if cfg := s.publisher.cfg().ephemeral; cfg != nil {
		running.Go(func() { s.watchRegistry(background, cfg) })
		if cfg.Register.ID != "" {
			running.Go(func() { s.register(background, cfg) })
		}
	}
	if s.certificates != nil {
		running.Go(func() { s.watchCertificates(background) })
	}
	failed := make(chan error, 2)
	running.Go(func() { failed <- grpcServer.Serve(trackingListener{ln, &s.connections}) })
	if admin != nil {
		running.Go(func() { failed <- s.serveAdmin(background, admin) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		if err == nil {
			err = errListenerClosed
		}
	}
	// Proxies keep their resources and reconnect to another replica, so that streams need no draining.
	s.publisher.closeStreams("the control service is shutting down")
	grpcServer.Stop()
	cancel()
	running.Wait()
	return err
}

// newGRPCServer creates the gRPC server with the ADS and LRS services.
func (s *Server) newGRPCServer(addr string) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.ForceServerCodecV2(frameCodec{encoding.GetCodecV2("proto")}),
		grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.ReadBufferSize(readBufferBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.StreamInterceptor(recoverStream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientKeepalive, PermitWithoutStream: true}),
	}
	switch {
	case s.certificates == nil:
		s.log.Warn("PLAIN TEXT: proxies are neither encrypted nor authenticated; loopback only", "listen", addr)
	case s.publisher.cfg().TLS.ClientCA == "":
		s.log.Warn("proxies are not authenticated: tls.client_ca is not set")
	}
	if s.certificates != nil {
		options = append(options, grpc.Creds(s.certificates.credentials()))
	}
	server := grpc.NewServer(options...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(server, s)
	loadstatsv3.RegisterLoadReportingServiceServer(server, s)
	return server
}

// watchDiscovery passes the watch events of service discovery to the publisher until ctx ends.
func (s *Server) watchDiscovery(ctx context.Context) {
	source := discovery.Source{Addr: s.publisher.cfg().Discovery.Addr}
	source.Run(ctx, func(list *membership.List, err error) {
		if err != nil {
			s.log.Warn("discovery failed", "err", err)
		}
		s.publisher.updateDiscovery(list, err)
	})
}

// watchRegistry passes the updates of the instance registry to the publisher until ctx ends.
func (s *Server) watchRegistry(ctx context.Context, cfg *ephemeral.Config) {
	ephemeral.NewSource(cfg).Run(ctx, func(u ephemeral.Update) {
		if u.Err != nil {
			s.log.Warn("instance registry failed", "err", u.Err)
		}
		for _, problem := range u.Problems {
			s.log.Warn("registry entry not used", "problem", problem)
		}
		s.publisher.updateRegistry(u)
	})
}

// register keeps this replica registered until ctx ends.
func (s *Server) register(ctx context.Context, cfg *ephemeral.Config) {
	ephemeral.NewRegistrar(cfg).Run(ctx, func(problem string) {
		s.log.Warn("registration failed", "problem", problem)
	})
}
