package control_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// After a NACK the reason is reported, and the rejected version is not sent again, only newer ones.
func TestNackIsReportedAndNotResent(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	for _, delta := range []bool{false, true} {
		t.Run(fmt.Sprint("delta ", delta), func(t *testing.T) {
			f.t = t
			conn := connect(t, f.Addr, nil)
			id := fmt.Sprint("p-", delta)
			var r *adsClient
			if delta {
				r = openDelta(t, conn)
				r.sendDelta(deltaRequest(id, "orders"))
				m := r.receiveDelta()
				r.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce,
					ErrorDetail: &rpcstatus.Status{Code: 3, Message: "no such thing"}})
			} else {
				r = openSotW(t, conn)
				r.send(edsRequest(id, "orders"))
				r.nack(r.receive(), "no such thing", "orders")
			}
			f.eventually("the reason", func(rep *control.Report) bool {
				return slices.ContainsFunc(rep.Proxies, func(p control.ProxyReport) bool {
					return p.Node == id && strings.Contains(p.Rejected[resource.Endpoints], "no such thing")
				})
			})
			r.expectNone(settleTime)
			f.drain(map[bool]int{false: 1, true: 2}[delta])
			if delta {
				r.receiveDelta()
			} else {
				r.receive()
			}
		})
	}
}

// A proxy that reconnects with versions and nonces of an earlier process is sent the current resources.
func TestReconnectWithOldVersions(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	r := openSotW(t, connect(t, f.Addr, nil))
	req := edsRequest("p", "orders")
	req.VersionInfo, req.ResponseNonce = "an older one", "deadbeef-17"
	r.send(req)
	m := r.receive()
	if _, all := draining(t, m); len(all) != 6 {
		t.Errorf("%d servers, want 6", len(all))
	}
	d := openDelta(t, connect(t, f.Addr, nil))
	q := deltaRequest("d", "orders")
	q.InitialResourceVersions = map[string]string{"orders": "an older one", "removed": "1"}
	q.ResponseNonce = "deadbeef-18"
	d.sendDelta(q)
	dm := d.receiveDelta()
	if len(dm.Resources) != 1 {
		t.Errorf("response %+v, want one resource", dm)
	}
	// A proxy that already has the current version is sent nothing until something changes.
	e := openDelta(t, connect(t, f.Addr, nil))
	q = deltaRequest("e", "orders")
	q.InitialResourceVersions = map[string]string{"orders": dm.Resources[0].Version}
	e.sendDelta(q)
	e.expectNone(settleTime)
	f.drain(0)
	if m := e.receiveDelta(); len(m.Resources) != 1 || m.Resources[0].Version == dm.Resources[0].Version {
		t.Errorf("response %+v, want one resource of a new version", m)
	}
}

// The incremental variant reports a name that does not exist as removed; state of the world cannot express
// that.
func TestNamesThatDoNotExist(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	r := openSotW(t, connect(t, f.Addr, nil))
	r.send(edsRequest("p", "nothing"))
	r.expectNone(settleTime)
	d := openDelta(t, connect(t, f.Addr, nil))
	d.sendDelta(deltaRequest("d", "nothing", "orders"))
	if m := d.receiveDelta(); len(m.Resources) != 1 || !slices.Equal(m.RemovedResources, []string{"nothing"}) {
		t.Errorf("response %+v, want one resource and one removed", m)
	}
}

// A subscription to 10,000 names is served. One more name ends its stream and no other.
func TestManyNames(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	names := []string{"orders"}
	for i := range 9999 {
		names = append(names, fmt.Sprint("name-", i))
	}
	r := openSotW(t, connect(t, f.Addr, nil))
	r.send(edsRequest("p", names...))
	r.receive()
	d := openDelta(t, connect(t, f.Addr, nil))
	d.sendDelta(deltaRequest("d", names...))
	if m := d.receiveDelta(); len(m.RemovedResources) != 9999 {
		t.Errorf("%d names are reported as removed, want 9999", len(m.RemovedResources))
	}
	d.sendDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: resource.Endpoints, ResourceNamesSubscribe: []string{"one more"}})
	d.expectEnd(codes.ResourceExhausted)
	more := openSotW(t, connect(t, f.Addr, nil))
	more.send(edsRequest("q", append(names, "one more")...))
	more.expectEnd(codes.ResourceExhausted)
	r.expectNone(settleTime)
}
