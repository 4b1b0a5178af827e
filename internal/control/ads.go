package control

import (
	"context"
	"net"
	"slices"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/panics"
)

// maxQueuedRequests bounds the requests that a stream has received but not handled yet.
const maxQueuedRequests = 16

// receiveFunc receives the next request of a stream and its node, if it has one. io.EOF means that the proxy
// half-closed the stream.
type receiveFunc func() (*request, *corev3.Node, error)

// StreamAggregatedResources implements the state-of-the-world variant of ADS.
func (s *Server) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	st := s.newStream(g.Context(), false, func(b []byte) error { return g.SendMsg(rawFrame(b)) })
	return s.serveADS(g.Context(), st, func() (*request, *corev3.Node, error) {
		m, err := g.Recv()
		if err != nil {
			return nil, nil, err
		}
		return &request{
			typeURL:  m.TypeUrl,
			nonce:    m.ResponseNonce,
			version:  m.VersionInfo,
			names:    m.ResourceNames,
			rejected: m.ErrorDetail != nil,
			reason:   truncateText(m.ErrorDetail.GetMessage()),
		}, m.Node, nil
	})
}

// DeltaAggregatedResources implements the incremental variant of ADS.
func (s *Server) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	st := s.newStream(g.Context(), true, func(b []byte) error { return g.SendMsg(rawFrame(b)) })
	return s.serveADS(g.Context(), st, func() (*request, *corev3.Node, error) {
		m, err := g.Recv()
		if err != nil {
			return nil, nil, err
		}
		return &request{
			typeURL:         m.TypeUrl,
			nonce:           m.ResponseNonce,
			subscribe:       m.ResourceNamesSubscribe,
			unsubscribe:     m.ResourceNamesUnsubscribe,
			initialVersions: m.InitialResourceVersions,
			rejected:        m.ErrorDetail != nil,
			reason:          truncateText(m.ErrorDetail.GetMessage()),
		}, m.Node, nil
	})
}

// newStream creates a stream for the peer in ctx.
func (s *Server) newStream(ctx context.Context, delta bool, send func([]byte) error) *stream {
	var conn net.Conn
	addr := ""
	if p, ok := peer.FromContext(ctx); ok {
		addr = p.Addr.String()
		if c, ok := s.connections.Load(addr); ok {
			conn = c.(net.Conn)
		}
	}
	return newStream(s.publisher, delta, conn, addr, send)
}

// serveADS admits a stream and runs it until it ends.
func (s *Server) serveADS(ctx context.Context, st *stream, receive receiveFunc) error {
	cfg := s.publisher.cfg()
	if n := s.streamCount.Add(1); n > int64(cfg.Proxies.MaxStreams) {
		s.streamCount.Add(-1)
		s.publisher.counts.rejected.Add(1)
		return status.Errorf(codes.ResourceExhausted,
			"%d proxies are connected, at most %d are allowed", n-1, cfg.Proxies.MaxStreams)
	}
	defer s.streamCount.Add(-1)
	first, node, err := receive()
	if err != nil {
		return streamError(err)
	}
	cert := peerCertificate(ctx)
	if err := cfg.authorize(cert, node.GetId()); err != nil {
		s.publisher.counts.rejected.Add(1)
		s.log.Warn("proxy rejected", "node", truncateText(node.GetId()), "peer", st.peer, "err", err)
		return err
	}
	if cert != nil {
		expiry := time.AfterFunc(time.Until(cert.NotAfter), func() { st.close("the proxy's certificate has expired") })
		defer expiry.Stop()
	}
	st.setNode(node)
	s.publisher.addStream(st, first.withoutResources())
	defer s.publisher.removeStream(st)

	requests := make(chan *request, maxQueuedRequests)
	failed := make(chan error, 1)
	// It returns when ctx ends, at the latest.
	go func() { failed <- st.receiveRecovered(ctx, first, requests, receive) }()
	return streamError(st.serve(ctx, requests, failed))
}

// receiveRecovered calls receiveAll and turns a panic into an error.
func (s *stream) receiveRecovered(
	ctx context.Context, first *request, requests chan<- *request, receive receiveFunc,
) (err error) {
	defer panics.Recover("receiving an ADS stream", s.peer, func() { err = errPanicked })
	return s.receiveAll(ctx, first, requests, receive)
}

// receiveAll sends the first request and all that follow to the channel until the stream ends. It never
// returns nil; io.EOF means that the proxy half-closed the stream.
func (s *stream) receiveAll(ctx context.Context, first *request, requests chan<- *request, receive receiveFunc) error {
	r := first
	for {
		select {
		case requests <- r:
		case <-ctx.Done():
			return ctx.Err()
		}
		next, node, err := receive()
		if err != nil {
			return err
		}
		if id := node.GetId(); id != "" && id != s.node {
			return status.Errorf(codes.PermissionDenied,
				"the node id changed on a stream from %q to %q", truncateText(s.node), truncateText(id))
		}
		r = next
	}
}

// knownZone returns name if it is a zone of the settings, and "" otherwise. This bounds the number of proxy
// groups.
func (c *Config) knownZone(name string) string {
	if slices.Contains(c.zones, name) {
		return name
	}
	return ""
}
