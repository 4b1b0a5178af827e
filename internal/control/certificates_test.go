package control_test

import (
	"os"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// The service reloads its certificate while it runs. Invalid files are ignored, and open streams stay open.
func TestServiceCertificateIsReplaced(t *testing.T) {
	a := newAuthority(t)
	f, files := newTLSFixture(t, a, 2*time.Second) // the first certificate is about to expire
	p := f.dial(xdsproxy.Options{Node: "edge-1", Zone: "east", Creds: a.proxy(time.Hour, "edge-1")})
	f.awaitReady(p)
	if err := os.WriteFile(files.Cert, []byte("half-written"), 0o600); err != nil {
		t.Fatal(err)
	}
	// By then the certificate has expired and the invalid file has been read.
	time.Sleep(2500 * time.Millisecond)
	conn := connect(t, f.Addr, a.proxy(time.Hour, "edge-2"))
	if r, err := tryOpenSotW(t, conn); err == nil {
		r.expectEnd(codes.Unavailable)
	}
	cert, key := a.issue(time.Hour, "service")
	if err := os.WriteFile(files.Key, key, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.Cert, cert, 0o600); err != nil {
		t.Fatal(err)
	}
	newClient := f.dial(xdsproxy.Options{Node: "edge-3", Zone: "east", Creds: a.proxy(time.Hour, "edge-3")})
	f.awaitReady(newClient)
	f.drain(0)
	f.await(p, "the drain, on a stream opened before the certificate expired", usable("s-000", false))
	if p.Streams.Load() != 1 {
		t.Errorf("the open stream was closed: %s", p.LastError())
	}
}
