package xdsproxy

import (
	"context"
	"slices"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/anypb"
)

// ledsFeature is the client feature of proxies that take endpoints one by one.
const ledsFeature = "ringtrack.leds"

// stream is an ADS stream of either variant of the protocol. One goroutine uses it.
type stream interface {
	// subscribe replaces the names of a type that the proxy subscribes to.
	subscribe(typeURL string, names []string) error
	receive() (response, error)
	// acknowledge accepts a response, or rejects it where there is a reason.
	acknowledge(r response, reason string) error
}

// response is a response of either variant.
type response struct {
	typeURL   string
	version   string
	nonce     string
	sotw      bool
	resources map[string]*anypb.Any // by name
	versions  map[string]string     // incremental: by name
	removed   []string              // incremental
	size      int                   // in bytes
}

// openStream opens the variant that the options name.
func (p *Proxy) openStream(ctx context.Context) (stream, error) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(p.conn)
	node := &corev3.Node{Id: p.options.Node, Cluster: "lab", Locality: &corev3.Locality{Zone: p.options.Zone}}
	if !p.options.Delta {
		s, err := client.StreamAggregatedResources(ctx)
		if err != nil {
			return nil, err
		}
		return newSotWStream(s, p, node), nil
	}
	s, err := client.DeltaAggregatedResources(ctx)
	if err != nil {
		return nil, err
	}
	if p.options.LEDS {
		node.ClientFeatures = append(node.ClientFeatures, ledsFeature)
	}
	return newDeltaStream(s, p, node), nil
}

// runStream runs one stream to its end.
func (p *Proxy) runStream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.Streams.Add(1)
	s, err := p.openStream(ctx)
	if err != nil {
		return err
	}
	for _, typeURL := range []string{clusterType, listenerType} {
		if err := s.subscribe(typeURL, nil); err != nil {
			return err
		}
	}
	subscribed := map[string][]string{}
	for {
		// Before the first response, resources from an earlier stream already refer to names.
		if err := p.subscribeReferences(s, subscribed); err != nil {
			return err
		}
		p.gate.wait(ctx)
		r, err := s.receive()
		if err != nil {
			return err
		}
		p.Bytes.Add(int64(r.size))
		p.ResponseCount.Add(1)
		if err := s.acknowledge(r, p.handleResponse(&r)); err != nil {
			return err
		}
	}
}

// subscribeReferences subscribes to the names that the cached resources refer to, where they changed.
func (p *Proxy) subscribeReferences(s stream, subscribed map[string][]string) error {
	p.mu.Lock()
	references := p.state.references()
	p.mu.Unlock()
	for typeURL, names := range references {
		if slices.Equal(subscribed[typeURL], names) {
			continue
		}
		subscribed[typeURL] = names
		if err := s.subscribe(typeURL, names); err != nil {
			return err
		}
	}
	return nil
}

// handleResponse applies a response and returns why it is rejected; "" accepts it.
func (p *Proxy) handleResponse(r *response) string {
	if p.options.Reject != nil {
		if reason := p.options.Reject(r.typeURL); reason != "" {
			return reason
		}
	}
	if err := p.apply(r); err != nil {
		return err.Error()
	}
	return ""
}

// rejection is the error detail of a NACK; nil for an ACK.
func rejection(reason string) *rpcstatus.Status {
	if reason == "" {
		return nil
	}
	return &rpcstatus.Status{Code: int32(codes.InvalidArgument), Message: reason}
}
