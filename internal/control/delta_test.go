package control_test

import (
	"strings"
	"testing"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// With LEDS, a drain sends one endpoint and the weights of the localities, whatever the number of servers.
func TestLEDSDrainIsSmall(t *testing.T) {
	f := newFixture(t, testEntries(900), nil)
	d := openDelta(t, connect(t, f.Addr, nil))
	req := deltaRequest("p", "orders")
	req.Node = node("p", "ringtrack.leds")
	d.sendDelta(req)
	m := d.receiveDelta()
	d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	var set endpointv3.ClusterLoadAssignment
	if err := m.Resources[0].Resource.UnmarshalTo(&set); err != nil {
		t.Fatal(err)
	}
	var globs []string
	for _, l := range set.Endpoints {
		globs = append(globs, l.GetLedsClusterLocalityConfig().GetLedsCollectionName())
	}
	if len(globs) != 3 {
		t.Fatalf("collections %q, want 3", globs)
	}
	d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: resource.LbEndpoint, ResourceNamesSubscribe: append(globs, "xdstp://ringtrack/none/*")})
	servers, responses := 0, 0
	for servers < 900 || responses < 4 {
		m := d.receiveDelta()
		servers += len(m.Resources)
		responses++
		d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	}
	ack := func(m *discoveryv3.DeltaDiscoveryResponse) {
		d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	}
	// The endpoint first, since it is urgent; then the weight of its locality.
	receiveTwo := func(what string) (first *discoveryv3.DeltaDiscoveryResponse) {
		t.Helper()
		first = d.receiveDelta()
		ack(first)
		second := d.receiveDelta()
		ack(second)
		if first.TypeUrl != resource.LbEndpoint || second.TypeUrl != resource.Endpoints || proto.Size(first)+proto.Size(second) > 2000 {
			t.Errorf("%s sent %s and %s, %d bytes", what, first.TypeUrl, second.TypeUrl, proto.Size(first)+proto.Size(second))
		}
		return first
	}
	f.drain(450)
	if m = receiveTwo("a drain"); len(m.Resources) != 1 || len(m.RemovedResources) != 0 {
		t.Errorf("a drain sent %d servers, %q removed", len(m.Resources), m.RemovedResources)
	}
	f.discovery.Remove("s-451")
	if m = receiveTwo("a removal"); len(m.Resources) != 0 || len(m.RemovedResources) != 1 || !strings.HasSuffix(m.RemovedResources[0], "/s-451") {
		t.Errorf("a removal sent %d servers, %q removed", len(m.Resources), m.RemovedResources)
	}
}

// Resources with a TTL are renewed before it is over, without their bodies, and only for proxies that support
// it.
func TestHeartbeatsRenewTheTTL(t *testing.T) {
	f := newFixture(t, testEntries(6), func(c *control.Config) { c.Proxies.HeartbeatS = 1 })
	d := openDelta(t, connect(t, f.Addr, nil))
	req := deltaRequest("p", "orders")
	req.Node = node("p", "xds.config.supports-resource-ttl")
	d.sendDelta(req)
	m := d.receiveDelta()
	if m.Resources[0].GetTtl().GetSeconds() != 1 || m.Resources[0].Resource == nil {
		t.Fatalf("resource %+v, want a TTL of 1 s", m.Resources[0])
	}
	for range 2 {
		d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
		m = d.receiveDelta()
		if m.Resources[0].GetTtl().GetSeconds() != 1 || m.Resources[0].Resource != nil {
			t.Errorf("heartbeat %+v, want a TTL of 1 s and no content", m.Resources[0])
		}
	}
	withoutTTL := openDelta(t, connect(t, f.Addr, nil))
	withoutTTL.sendDelta(deltaRequest("q", "orders"))
	if m := withoutTTL.receiveDelta(); m.Resources[0].Ttl != nil {
		t.Errorf("resource %+v, want no TTL", m.Resources[0])
	}
}
