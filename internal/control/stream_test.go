package control_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// A proxy that stops reading does not delay updates to the others. Its stream is closed, and it reconnects
// and receives the drain once it reads again.
func TestStalledProxy(t *testing.T) {
	f := newFixture(t, testEntries(300), nil) // more than fits in the flow-control window
	var others []*xdsproxy.Proxy
	for i := range 5 {
		p := f.dial(xdsproxy.Options{Node: fmt.Sprint("healthy-", i), Zone: "east", Delta: i%2 == 0})
		f.awaitReady(p)
		others = append(others, p)
	}
	stalled := f.dial(xdsproxy.Options{Node: "stalled", Zone: "west"})
	f.awaitReady(stalled)
	stalled.Pause(true)
	f.drain(0)
	// The stalled proxy may read one more response before the pause takes effect.
	f.await(others[0], "the first drain", usable("s-000", false))
	for i := 3; i < 30; i += 3 {
		published := time.Now()
		f.drain(i)
		for _, p := range others {
			f.await(p, "a drain", usable(fmt.Sprintf("s-%03d", i), false))
		}
		if took := time.Since(published); took > 250*time.Millisecond {
			t.Errorf("a drain took %v while another proxy was stalled", took)
		}
	}
	f.eventually("the stalled stream closed", func(r *control.Report) bool { return r.Counts["stalled"] >= 1 && r.Counts["ended"] >= 1 })
	stalled.Pause(false)
	f.await(stalled, "the last drain", usable("s-027", false))
	if stalled.Streams.Load() < 2 {
		t.Errorf("the stalled proxy opened %d streams, want at least 2", stalled.Streams.Load())
	}
	f.eventually("no proxy behind", func(r *control.Report) bool {
		return len(r.Proxies) == 6 && !slices.ContainsFunc(r.Proxies, func(p control.ProxyReport) bool { return p.Behind })
	})
}

// While a response is not acknowledged, non-urgent updates are batched, but a drain is sent at once. No later
// response undoes the drain.
func TestDrainDoesNotWaitForAcknowledgements(t *testing.T) {
	f := newFixture(t, testEntries(6), func(c *control.Config) { c.Proxies.AckTimeoutMs = 60_000 })
	r := openSotW(t, connect(t, f.Addr, nil))
	r.send(edsRequest("p", "orders"))
	first := r.receive() // never acknowledged
	for i := range 5 {
		e := testEntries(6)[i]
		e.Weight = 2 + float64(i)
		f.discovery.Set(e)
	}
	f.eventually("the changes published", func(rep *control.Report) bool {
		return rep.Assignments["east"].Endpoints[4].Weight > 5000
	})
	r.expectNone(settleTime)
	drained := f.drain(5)
	second := r.receive()
	if drains, all := draining(t, second); !drains[drained.Addr] || len(all) != 6 {
		t.Errorf("the urgent response does not have the drain: %v", drains)
	}
	// After the old response is acknowledged, nothing older than the drain is sent.
	r.ack(first, "orders")
	for i := range 5 {
		e := testEntries(6)[i]
		e.Weight = 10 + float64(i)
		f.discovery.Set(e)
	}
	r.ack(second, "orders")
	third := r.receive()
	if drains, _ := draining(t, third); !drains[drained.Addr] {
		t.Error("the drain was undone")
	}
	// A NACK of a superseded response is ignored.
	r.nack(first, "too late", "orders")
	r.expectNone(settleTime)
}

// An invalid request (malformed, 60 MB, of an unknown type, with a changed or missing node ID) ends its own
// stream with a specific status code, and no other stream.
func TestBadRequests(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	p := f.dial(xdsproxy.Options{Node: "healthy", Zone: "east"})
	f.awaitReady(p)
	for name, c := range map[string]struct {
		reqs []*discoveryv3.DiscoveryRequest
		code codes.Code
	}{
		"no node":        {[]*discoveryv3.DiscoveryRequest{{TypeUrl: resource.Endpoints}}, codes.InvalidArgument},
		"a long node id": {[]*discoveryv3.DiscoveryRequest{{Node: node(strings.Repeat("x", 300)), TypeUrl: resource.Endpoints}}, codes.InvalidArgument},
		"no type":        {[]*discoveryv3.DiscoveryRequest{{Node: node("p")}}, codes.InvalidArgument},
		"an unknown type": {[]*discoveryv3.DiscoveryRequest{{Node: node("p"), TypeUrl: "type.googleapis.com/none"}},
			codes.InvalidArgument},
		"single endpoints, state of the world": {[]*discoveryv3.DiscoveryRequest{{Node: node("p"), TypeUrl: resource.LbEndpoint}}, codes.InvalidArgument},
		"a node id that changes":               {[]*discoveryv3.DiscoveryRequest{edsRequest("p", "orders"), edsRequest("q", "orders")}, codes.PermissionDenied},
		"60 MB":                                {[]*discoveryv3.DiscoveryRequest{edsRequest("p", strings.Repeat("x", 60<<20))}, codes.ResourceExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			r := openSotW(t, connect(t, f.Addr, nil))
			for _, q := range c.reqs {
				r.sotw.Send(q) // the stream may have ended
			}
			r.expectEnd(c.code)
		})
	}
	t.Run("malformed", func(t *testing.T) { sendMalformed(t, f.Addr) })
	f.drain(0)
	f.await(p, "the drain", usable("s-000", false))
	if p.Streams.Load() != 1 {
		t.Errorf("the other proxy's stream ended: %s", p.LastError())
	}
}

// A proxy beyond the allowed number is rejected with ResourceExhausted.
func TestTooManyProxiesAreRejected(t *testing.T) {
	f := newFixture(t, testEntries(6), func(c *control.Config) { c.Proxies.MaxStreams = 2 })
	for i := range 2 {
		r := openSotW(t, connect(t, f.Addr, nil))
		r.send(edsRequest(fmt.Sprint("p-", i), "orders"))
		r.receive()
	}
	r := openSotW(t, connect(t, f.Addr, nil))
	r.send(edsRequest("p-3", "orders"))
	r.expectEnd(codes.ResourceExhausted)
}
