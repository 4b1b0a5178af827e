package control_test

import (
	"errors"
	"io"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstatsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"

	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// A proxy that half-closes its stream (CloseSend) ends that stream only: a half-closed stream once ended the
// process for all proxies.
func TestHalfClosedStreamEndsAlone(t *testing.T) {
	f := newFixture(t, testEntries(6), nil)
	other := f.dial(xdsproxy.Options{Node: "other", Zone: "east"})
	f.awaitReady(other)
	sotwRequest, deltaRequest := edsRequest("p", "orders"), deltaRequest("p", "orders")
	for name, halfClose := range map[string]func(t *testing.T) error{
		"state of the world, nothing sent": func(t *testing.T) error { return halfCloseSotW(t, f) },
		"state of the world, one request":  func(t *testing.T) error { return halfCloseSotW(t, f, sotwRequest) },
		"state of the world, two requests": func(t *testing.T) error { return halfCloseSotW(t, f, sotwRequest, sotwRequest) },
		"incremental, nothing sent":        func(t *testing.T) error { return halfCloseDelta(t, f) },
		"incremental, one request":         func(t *testing.T) error { return halfCloseDelta(t, f, deltaRequest) },
		"incremental, two requests":        func(t *testing.T) error { return halfCloseDelta(t, f, deltaRequest, deltaRequest) },
		"load reports, nothing sent":       func(t *testing.T) error { return halfCloseLoadStats(t, f) },
		"load reports, one request": func(t *testing.T) error {
			return halfCloseLoadStats(t, f, &loadstatsv3.LoadStatsRequest{Node: node("p")})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				if err := halfClose(t); !errors.Is(err, io.EOF) {
					t.Errorf("the stream ended with %v, want io.EOF", err)
				}
			}
		})
	}
	f.drain(0)
	f.await(other, "the drain", usable("s-000", false))
	if n := other.Streams.Load(); n != 1 {
		t.Errorf("the other proxy opened %d streams, want 1", n)
	}
}

func halfCloseSotW(t *testing.T, f *fixture, requests ...*discoveryv3.DiscoveryRequest) error {
	t.Helper()
	client := openSotW(t, connect(t, f.Addr, nil))
	for _, request := range requests {
		client.send(request)
	}
	if err := client.sotw.CloseSend(); err != nil {
		t.Fatal(err)
	}
	return <-client.ended
}

func halfCloseDelta(t *testing.T, f *fixture, requests ...*discoveryv3.DeltaDiscoveryRequest) error {
	t.Helper()
	client := openDelta(t, connect(t, f.Addr, nil))
	for _, request := range requests {
		client.sendDelta(request)
	}
	if err := client.delta.CloseSend(); err != nil {
		t.Fatal(err)
	}
	return <-client.ended
}

func halfCloseLoadStats(t *testing.T, f *fixture, requests ...*loadstatsv3.LoadStatsRequest) error {
	t.Helper()
	client, err := loadstatsv3.NewLoadReportingServiceClient(connect(t, f.Addr, nil)).StreamLoadStats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, request := range requests {
		if err := client.Send(request); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.CloseSend(); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := client.Recv(); err != nil {
			return err
		}
	}
}
