package control_test

import (
	"os"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// The service's certificate is reloaded while it runs; files that cannot be used change nothing.
func TestServiceCertificateIsReplaced(t *testing.T) {
	a := newAuthority(t)
	f, files := secured(t, a, 2*time.Second) // the first certificate expires soon
	p := f.dial(xdsproxy.Options{Node: "edge-1", Zone: "east", Creds: a.proxy(time.Hour, "edge-1")})
	f.ready(p)
	if err := os.WriteFile(files.Cert, []byte("half-written"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2500 * time.Millisecond) // until it has expired, and the broken file was read
	fails := connect(t, f.Addr, a.proxy(time.Hour, "edge-2"))
	if r, err := tryOpenSotW(t, fails); err == nil {
		r.expectEnd(codes.Unavailable)
	}
	cert, key := a.issue(time.Hour, "service")
	if err := os.WriteFile(files.Key, key, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.Cert, cert, 0o600); err != nil {
		t.Fatal(err)
	}
	late := f.dial(xdsproxy.Options{Node: "edge-3", Zone: "east", Creds: a.proxy(time.Hour, "edge-3")})
	f.ready(late)
	f.drain(0)
	f.await(p, "the drain, on the stream that outlived it", usable("s-000", false))
	if p.Streams.Load() != 1 {
		t.Errorf("the open stream was ended: %s", p.LastError())
	}
}
