package control_test

import (
	"bytes"
	"os"
	"slices"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// After a reload that changes classes, routes are sent after their new clusters, and the clusters of the
// previous routes are removed later.
func TestReload(t *testing.T) {
	f := newFixture(t, testEntries(3), nil)
	p := f.dial(xdsproxy.Options{Node: "p", Zone: "east", Delta: true})
	f.awaitReady(p)
	next, remove, err := service.Config(f.discovery.Addr, func(c *control.Config) {
		text := bytes.ReplaceAll(service.Settings, []byte(`"order"`), []byte(`"booking"`))
		if err := os.WriteFile(c.Settings, text, 0o600); err != nil {
			t.Fatal(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer remove()
	f.await(p, "all", hasServers(3))
	d := openDelta(t, connect(t, f.Addr, nil))
	d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{Node: node("d"), TypeUrl: resource.Cluster})
	d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: resource.Route, ResourceNamesSubscribe: []string{"orders"}})
	ack := func(m *discoveryv3.DeltaDiscoveryResponse) {
		d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	}
	first := d.receiveDelta()
	ack(first)
	ack(d.receiveDelta())
	if err := f.Server.Reload(next); err != nil {
		t.Fatal(err)
	}
	m := d.receiveDelta()
	if m.TypeUrl != resource.Cluster || len(m.Resources) != 1 || m.Resources[0].Name != "orders/booking" || len(m.RemovedResources) > 0 {
		t.Fatalf("%s: %d resources, %q removed", m.TypeUrl, len(m.Resources), m.RemovedResources)
	}
	d.expectNone(settleTime) // the routes are not sent until their cluster is acknowledged
	ack(m)
	if m = d.receiveDelta(); m.TypeUrl != resource.Route {
		t.Fatalf("got %s, want the routes", m.TypeUrl)
	}
	ack(m)
	if m = d.receiveDelta(); m.TypeUrl != resource.Cluster || !slices.Equal(m.RemovedResources, []string{"orders/order"}) {
		t.Errorf("got %s with %q removed, want the old cluster removed", m.TypeUrl, m.RemovedResources)
	}
	f.await(p, "the new class", func(t *xdsproxy.Table) bool {
		r := t.Route("booking")
		return r != nil && r.Cluster == "orders/booking"
	})
	if tab, _ := p.Table(); len(tab.Shares()) != 3 {
		t.Errorf("the proxy has the endpoints %+v", tab.Endpoints)
	}
}
