// Package control is the control service: it hands the decisions of package assign to other proxies
// over xDS (ADS, state of the world and incremental) and takes their load reports (LRS). It owns the
// sockets, the streams and the clock; it decides nothing of servers, routes or budgets.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // the codec that everything but frames is left to
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/membership/discovery"
	"ringtrack.example/ringtrack/internal/membership/ephemeral"
)

const (
	// mostRequest bounds a request, in bytes: 10,000 names of 256 bytes and their frames.
	mostRequest = 4 << 20
	// pingEvery and pingWithin find out that a proxy's machine is gone, which no write tells.
	pingEvery, pingWithin = 10 * time.Second, 5 * time.Second
	// waitingRequests bounds what a stream has read and not handled yet.
	waitingRequests = 16
)

// Server is one replica of the control service.
type Server struct {
	hub   *hub
	certs *certificates
	conns sync.Map // remote address → net.Conn
	count atomic.Int64
	log   *slog.Logger

	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	loadstatsv3.UnimplementedLoadReportingServiceServer
}

// New makes a server from a checked configuration.
func New(cfg *Config, log *slog.Logger) (*Server, error) {
	h, err := newHub(cfg, log)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	s := &Server{hub: h, log: log}
	if cfg.TLS.Cert != "" {
		s.certs = &certificates{cfg: cfg.TLS}
		if _, err := s.certs.read(); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	return s, nil
}

// Run serves on ln, and on admin where it is not nil, until ctx ends; then it ends all streams and
// returns nil. It owns both listeners.
func (s *Server) Run(ctx context.Context, ln, admin net.Listener) error {
	cfg := s.hub.cfg()
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	options := []grpc.ServerOption{grpc.ForceServerCodecV2(codec{encoding.GetCodecV2("proto")}),
		grpc.MaxRecvMsgSize(mostRequest), grpc.ReadBufferSize(4 << 10),
		grpc.MaxConcurrentStreams(64),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingEvery, Timeout: pingWithin}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true})}
	if s.certs != nil {
		options = append(options, grpc.Creds(s.certs.credentials()))
	} else {
		s.log.Warn("PLAIN TEXT: proxies are neither encrypted nor authenticated; loopback only", "listen", ln.Addr().String())
	}
	if s.certs != nil && cfg.TLS.ClientCA == "" {
		s.log.Warn("proxies are not authenticated: tls.client_ca is not set")
	}
	gs := grpc.NewServer(options...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(gs, s)
	loadstatsv3.RegisterLoadReportingServiceServer(gs, s)

	var running sync.WaitGroup
	running.Go(func() { s.hub.run(inner) })
	running.Go(func() {
		source := discovery.Source{Addr: cfg.Discovery.Addr}
		source.Run(inner, func(l *membership.List, err error) {
			if err != nil {
				s.log.Warn("roster", "err", err)
			}
			s.hub.told(l, err)
		})
	})
	if e := cfg.ephemeral; e != nil {
		running.Go(func() {
			ephemeral.NewSource(e).Run(inner, func(u ephemeral.Update) {
				if u.Err != nil {
					s.log.Warn("registry", "err", u.Err)
				}
				for _, p := range u.Problems {
					s.log.Warn("registry", "problem", p)
				}
				s.hub.registry(u)
			})
		})
		if e.Register.ID != "" {
			running.Go(func() {
				ephemeral.NewRegistrar(e).Run(inner, func(problem string) { s.log.Warn("registration", "problem", problem) })
			})
		}
	}
	if s.certs != nil {
		running.Go(func() { s.watchFiles(inner) })
	}
	failed := make(chan error, 2)
	running.Go(func() { failed <- gs.Serve(tracked{ln, s}) })
	if admin != nil {
		running.Go(func() { failed <- s.serveAdmin(inner, admin) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		if err == nil {
			err = errors.New("the listener was closed")
		}
	}
	// Proxies keep what they hold and come back elsewhere: nothing is to be waited for.
	s.hub.mu.Lock()
	for st := range s.hub.streams {
		st.kill("the control service ends")
	}
	s.hub.mu.Unlock()
	gs.Stop()
	cancel()
	running.Wait()
	return err
}

// watchFiles reads the certificates again now and then.
func (s *Server) watchFiles(ctx context.Context) {
	t := time.NewTicker(time.Duration(s.hub.cfg().TLS.ReloadS * float64(time.Second)))
	defer t.Stop()
	for {
		s.readCertificates()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) readCertificates() {
	changed, err := s.certs.read()
	switch left := time.Until(s.certs.expires()); {
	case err != nil:
		s.log.Error("certificates not used, the old ones stay", "err", err)
	case left <= 0:
		s.log.Error("the service's certificate HAS EXPIRED: proxies will not connect", "since", -left)
	case left < 24*time.Hour:
		s.log.Warn("the service's certificate expires soon", "in", left)
	case changed:
		s.log.Info("certificates read", "expire", s.certs.expires())
	}
}

// Reload takes over what can change without a restart: certificates, [[node]], and what proxies are
// told by [xds] and the settings' classes. All else that differs is said to need a restart.
func (s *Server) Reload(next *Config) error {
	old := s.hub.cfg()
	for key, same := range map[string]bool{"listen": next.Listen == old.Listen, "admin": next.Admin == old.Admin,
		"service": next.Service == old.Service, "roster": next.Discovery == old.Discovery, "ephemeral": reflect.DeepEqual(next.ephemeral, old.ephemeral), "evidence": next.Evidence == old.Evidence,
		"proxies": next.Proxies == old.Proxies, "tls": next.TLS == old.TLS} {
		if !same {
			s.log.Warn("changed in the configuration, but used only after a restart", "key", key)
		}
	}
	merged := *old
	merged.Nodes, merged.XDS, merged.settings, merged.zones, merged.kinds = next.Nodes, next.XDS, next.settings, next.zones, next.kinds
	if s.certs != nil {
		s.readCertificates()
	}
	done := make(chan error, 1)
	s.hub.post(func() {
		h := s.hub
		h.config.Store(&merged)
		servers := 0
		if h.assigner.HasMembership() {
			servers = len(h.entries())
		}
		if err := h.restate(servers); err != nil {
			h.config.Store(old)
			done <- err
			return
		}
		h.publish(h.clock.Ms(), "")
		done <- nil
	})
	select {
	case err := <-done:
		if err != nil {
			return fmt.Errorf("control: reload: %w", err)
		}
	case <-s.hub.done:
		return errors.New("control: reload: the service ends")
	}
	s.log.Info("configuration read again")
	return nil
}

// codec hands frames on as they are, and leaves all else to the usual one.
type codec struct{ encoding.CodecV2 }

// rawFrame is a marshalled message; many streams may be sending the same bytes.
type rawFrame []byte

func (c codec) Marshal(v any) (mem.BufferSlice, error) {
	if f, ok := v.(rawFrame); ok {
		return mem.BufferSlice{mem.SliceBuffer(f)}, nil
	}
	return c.CodecV2.Marshal(v)
}

// tracked remembers connections by their peer's address, so that one can be closed from outside.
type tracked struct {
	net.Listener
	s *Server
}

type trackedConn struct {
	net.Conn
	s   *Server
	key string
}

func (l tracked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{c, l.s, c.RemoteAddr().String()}
	l.s.conns.Store(t.key, t)
	return t, nil
}

func (c *trackedConn) Close() error {
	c.s.conns.CompareAndDelete(c.key, c)
	return c.Conn.Close()
}

// open makes the stream of a peer.
func (s *Server) open(ctx context.Context, delta bool, send func([]byte) error) *stream {
	var conn net.Conn
	addr := ""
	if p, ok := peer.FromContext(ctx); ok {
		addr = p.Addr.String()
		if c, ok := s.conns.Load(addr); ok {
			conn = c.(net.Conn)
		}
	}
	return newStream(s.hub, delta, conn, addr, send)
}

// ads runs one ADS stream of either protocol; receive returns its requests, each with the node that
// it names, if any.
func (s *Server) ads(ctx context.Context, st *stream, receive func() (*request, *corev3.Node, error)) error {
	cfg := s.hub.cfg()
	if n := s.count.Add(1); n > int64(cfg.Proxies.MaxStreams) {
		s.count.Add(-1)
		s.hub.counts.Refused.Add(1)
		return status.Errorf(codes.ResourceExhausted, "%d proxies are connected, at most %d", n-1, cfg.Proxies.MaxStreams)
	}
	defer s.count.Add(-1)
	r, node, err := receive()
	if err != nil {
		return err
	}
	leaf := leafOf(ctx)
	if err := cfg.allow(leaf, node.GetId()); err != nil {
		s.hub.counts.Refused.Add(1)
		s.log.Warn("proxy refused", "node", clip(node.GetId()), "peer", st.peer, "err", err)
		return err
	}
	if leaf != nil {
		expiry := time.AfterFunc(time.Until(leaf.NotAfter), func() { st.kill("the proxy's certificate has expired") })
		defer expiry.Stop()
	}
	st.node = node.GetId()
	st.features(node)
	st.zone = s.hub.cfg().zone(node.GetLocality().GetZone())
	s.hub.join(st, len(r.versions) == 0 && r.version == "")
	defer s.hub.leave(st)

	requests, failed := make(chan *request, waitingRequests), make(chan error, 1)
	go func() { // ends with the stream's context, at the latest
		for {
			select {
			case requests <- r:
			case <-ctx.Done():
				return
			}
			var again *corev3.Node
			if r, again, err = receive(); err != nil {
				failed <- err
				return
			}
			if id := again.GetId(); id != "" && id != st.node {
				failed <- status.Errorf(codes.PermissionDenied, "the node id changed on a stream from %q to %q", clip(st.node), clip(id))
				return
			}
		}
	}()
	return st.serve(ctx, requests, failed)
}

// features reads what a proxy says it can do.
func (st *stream) features(node *corev3.Node) {
	for _, f := range node.GetClientFeatures() {
		switch f {
		case "xds.config.supports-resource-ttl":
			st.ttl = true
		case "ringtrack.leds":
			st.leds = st.delta
		}
	}
	if v := node.GetMetadata().GetFields()["ringtrack.leds"]; v.GetBoolValue() {
		st.leds = st.delta
	}
}

// zone is the group of a proxy that says it is in a zone: "" for one that the settings do not name,
// so that there are never more groups than zones and one.
func (c *Config) zone(name string) string {
	for _, z := range c.zones {
		if z == name {
			return z
		}
	}
	return ""
}

// StreamAggregatedResources serves ADS, state of the world.
func (s *Server) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	st := s.open(g.Context(), false, func(b []byte) error { return g.SendMsg(rawFrame(b)) })
	return s.ads(g.Context(), st, func() (*request, *corev3.Node, error) {
		m, err := g.Recv()
		if err != nil {
			return nil, nil, end(err)
		}
		return &request{typeURL: m.TypeUrl, nonce: m.ResponseNonce, version: m.VersionInfo, names: m.ResourceNames,
			rejected: m.ErrorDetail != nil, reason: clip(m.ErrorDetail.GetMessage())}, m.Node, nil
	})
}

// DeltaAggregatedResources serves ADS, incremental.
func (s *Server) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	st := s.open(g.Context(), true, func(b []byte) error { return g.SendMsg(rawFrame(b)) })
	return s.ads(g.Context(), st, func() (*request, *corev3.Node, error) {
		m, err := g.Recv()
		if err != nil {
			return nil, nil, end(err)
		}
		return &request{typeURL: m.TypeUrl, nonce: m.ResponseNonce, subscribe: m.ResourceNamesSubscribe,
			unsubscribe: m.ResourceNamesUnsubscribe, versions: m.InitialResourceVersions,
			rejected: m.ErrorDetail != nil, reason: clip(m.ErrorDetail.GetMessage())}, m.Node, nil
	})
}
