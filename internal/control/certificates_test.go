package control_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/control/resource"
	"ringtrack.example/ringtrack/internal/lab/service"
	"ringtrack.example/ringtrack/internal/lab/xdsproxy"
)

// authority signs certificates of the tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return &authority{t, c, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue makes a certificate with these names that is good for so long.
func (a *authority) issue(good time.Duration, names ...string) (cert, key []byte) {
	a.t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(good),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, n := range names {
		if u, err := url.Parse(n); err == nil && u.Scheme != "" {
			c.URIs = append(c.URIs, u)
		} else {
			c.DNSNames = append(c.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	kder, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: kder})
}

// proxy are the credentials of a proxy with these names.
func (a *authority) proxy(good time.Duration, names ...string) credentials.TransportCredentials {
	a.t.Helper()
	cert, key := a.issue(good, names...)
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		a.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return credentials.NewTLS(&tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, NextProtos: []string{"h2"}})
}

func write(t *testing.T, dir, name string, text []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// secured makes a world with mutual TLS.
func secured(t *testing.T, a *authority, good time.Duration, nodes ...control.NodeConfig) (*world, control.TLSConfig) {
	dir := t.TempDir()
	cert, key := a.issue(good, "service")
	files := control.TLSConfig{Cert: write(t, dir, "cert.pem", cert), Key: write(t, dir, "key.pem", key), ClientCA: write(t, dir, "ca.pem", a.pem), ReloadS: 1}
	return newWorld(t, fleet(3), func(c *control.Config) { c.TLS, c.Nodes = files, nodes }), files
}

// A proxy may call itself only what its certificate allows.
func TestNodeIDsByCertificate(t *testing.T) {
	a, stranger := newAuthority(t), newAuthority(t)
	w, _ := secured(t, a, time.Hour, control.NodeConfig{Certificate: "spiffe://x/proxy/*", IDs: []string{"edge-*"}})
	open := func(creds credentials.TransportCredentials, id string) *raw {
		r := openFull(t, connect(t, w.Addr, creds))
		r.full.Send(edsRequest(id, "orders"))
		return r
	}
	open(a.proxy(time.Hour, "spiffe://x/proxy/1"), "edge-7").next()
	open(a.proxy(time.Hour, "spiffe://x/proxy/1"), "core-7").wantEnd(codes.PermissionDenied)
	open(a.proxy(time.Hour, "spiffe://x/other/1"), "edge-7").wantEnd(codes.PermissionDenied)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	for name, creds := range map[string]credentials.TransportCredentials{
		"none":     credentials.NewTLS(&tls.Config{RootCAs: pool, NextProtos: []string{"h2"}}),
		"expired":  a.proxy(-time.Minute, "spiffe://x/proxy/1"),
		"stranger": stranger.proxy(time.Hour, "spiffe://x/proxy/1"),
	} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, w.Addr, creds)
			r, err := openFullErr(t, conn)
			if err == nil {
				r.full.Send(edsRequest("edge-7", "orders"))
				r.wantEnd(codes.Unavailable)
			}
		})
	}
	// Without rules, one of the certificate's own names is needed.
	w2, _ := secured(t, a, time.Hour)
	r := openFull(t, connect(t, w2.Addr, a.proxy(time.Hour, "edge-1")))
	r.ask(edsRequest("edge-1", "orders"))
	r.next()
	r = openFull(t, connect(t, w2.Addr, a.proxy(time.Hour, "edge-1")))
	r.full.Send(edsRequest("edge-2", "orders"))
	r.wantEnd(codes.PermissionDenied)
}

// A stream does not outlive the certificate that opened it.
func TestProxyCertificateExpires(t *testing.T) {
	a := newAuthority(t)
	w, _ := secured(t, a, time.Hour)
	r := openFull(t, connect(t, w.Addr, a.proxy(3*time.Second, "edge-1"))) // whole seconds, as certificates have it
	r.ask(edsRequest("edge-1", "orders"))
	r.next()
	r.wantEnd(codes.Unavailable)
}

// The service's certificate is read again while it runs; files that can't be used change nothing.
func TestServiceCertificateIsReplaced(t *testing.T) {
	a := newAuthority(t)
	w, files := secured(t, a, 2*time.Second) // its first one expires soon
	p := w.dial(xdsproxy.Options{Node: "edge-1", Zone: "east", Creds: a.proxy(time.Hour, "edge-1")})
	w.ready(p)
	if err := os.WriteFile(files.Cert, []byte("half-written"), 0o600); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2500 * time.Millisecond) // until it has expired, and the broken file was looked at
	fails := connect(t, w.Addr, a.proxy(time.Hour, "edge-2"))
	if r, err := openFullErr(t, fails); err == nil {
		r.wantEnd(codes.Unavailable)
	}
	cert, key := a.issue(time.Hour, "service")
	if err := os.WriteFile(files.Key, key, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files.Cert, cert, 0o600); err != nil {
		t.Fatal(err)
	}
	late := w.dial(xdsproxy.Options{Node: "edge-3", Zone: "east", Creds: a.proxy(time.Hour, "edge-3")})
	w.ready(late)
	w.drain(0)
	w.await(p, "the drain, on the stream that outlived it", usable("s-000", false))
	if p.Streams.Load() != 1 {
		t.Errorf("the open stream was ended: %s", p.LastError())
	}
}

// A reload changes classes: the new routes come after their clusters, and the clusters that older
// routes name stay until nobody has these.
func TestReload(t *testing.T) {
	w := newWorld(t, fleet(3), nil)
	p := w.dial(xdsproxy.Options{Node: "p", Zone: "east", Delta: true})
	w.ready(p)
	next, remove, err := service.Config(w.roster.Addr, func(c *control.Config) {
		text := bytes.ReplaceAll(service.Settings, []byte(`"order"`), []byte(`"booking"`))
		if err := os.WriteFile(c.Settings, text, 0o600); err != nil {
			t.Fatal(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer remove()
	w.await(p, "all", holds(3))
	d := openDelta(t, connect(t, w.Addr, nil))
	d.askDelta(&discoveryv3.DeltaDiscoveryRequest{Node: node("d"), TypeUrl: resource.Cluster})
	d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: resource.Route, ResourceNamesSubscribe: []string{"orders"}})
	ack := func(m *discoveryv3.DeltaDiscoveryResponse) {
		d.askDelta(&discoveryv3.DeltaDiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce})
	}
	first := d.nextDelta()
	ack(first)
	ack(d.nextDelta())
	if err := w.Server.Reload(next); err != nil {
		t.Fatal(err)
	}
	m := d.nextDelta()
	if m.TypeUrl != resource.Cluster || len(m.Resources) != 1 || m.Resources[0].Name != "orders/booking" || len(m.RemovedResources) > 0 {
		t.Fatalf("%s: %d resources, %q removed", m.TypeUrl, len(m.Resources), m.RemovedResources)
	}
	d.quiet(while) // the routes wait until the cluster that they name is there
	ack(m)
	if m = d.nextDelta(); m.TypeUrl != resource.Route {
		t.Fatalf("%s came", m.TypeUrl)
	}
	ack(m)
	if m = d.nextDelta(); m.TypeUrl != resource.Cluster || !slices.Equal(m.RemovedResources, []string{"orders/order"}) {
		t.Errorf("%s: %q removed", m.TypeUrl, m.RemovedResources)
	}
	w.await(p, "the new class", func(t *xdsproxy.Table) bool {
		r := t.Route("booking")
		return r != nil && r.Cluster == "orders/booking"
	})
	if tab, _ := p.Table(); len(tab.Parts()) != 3 {
		t.Errorf("holds %+v", tab.Endpoints)
	}
}
