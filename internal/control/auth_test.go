package control_test

import (
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
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"

	"ringtrack.example/ringtrack/internal/control"
)

// authority is a certificate authority for tests.
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

// issue returns a PEM certificate and its key, with these DNS or URI names and this validity.
func (a *authority) issue(valid time.Duration, names ...string) (cert, key []byte) {
	a.t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(valid),
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

// proxy returns the credentials of a proxy whose certificate has these names.
func (a *authority) proxy(valid time.Duration, names ...string) credentials.TransportCredentials {
	a.t.Helper()
	cert, key := a.issue(valid, names...)
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

// newTLSFixture returns a fixture with mutual TLS.
func newTLSFixture(t *testing.T, a *authority, valid time.Duration, nodes ...control.NodeConfig) (*fixture, control.TLSConfig) {
	dir := t.TempDir()
	cert, key := a.issue(valid, "service")
	files := control.TLSConfig{Cert: write(t, dir, "cert.pem", cert), Key: write(t, dir, "key.pem", key), ClientCA: write(t, dir, "ca.pem", a.pem), ReloadS: 1}
	return newFixture(t, testEntries(3), func(c *control.Config) { c.TLS, c.Nodes = files, nodes }), files
}

// A proxy may use only the node IDs that its certificate allows.
func TestNodeIDsByCertificate(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	f, _ := newTLSFixture(t, a, time.Hour, control.NodeConfig{Certificate: "spiffe://x/proxy/*", IDs: []string{"edge-*"}})
	open := func(creds credentials.TransportCredentials, id string) *adsClient {
		r := openSotW(t, connect(t, f.Addr, creds))
		r.sotw.Send(edsRequest(id, "orders"))
		return r
	}
	open(a.proxy(time.Hour, "spiffe://x/proxy/1"), "edge-7").receive()
	open(a.proxy(time.Hour, "spiffe://x/proxy/1"), "core-7").expectEnd(codes.PermissionDenied)
	open(a.proxy(time.Hour, "spiffe://x/other/1"), "edge-7").expectEnd(codes.PermissionDenied)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	for name, creds := range map[string]credentials.TransportCredentials{
		"none":      credentials.NewTLS(&tls.Config{RootCAs: pool, NextProtos: []string{"h2"}}),
		"expired":   a.proxy(-time.Minute, "spiffe://x/proxy/1"),
		"untrusted": other.proxy(time.Hour, "spiffe://x/proxy/1"),
	} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, f.Addr, creds)
			r, err := tryOpenSotW(t, conn)
			if err == nil {
				r.sotw.Send(edsRequest("edge-7", "orders"))
				r.expectEnd(codes.Unavailable)
			}
		})
	}
	// Without [[node]] entries, the ID has to be one of the certificate's names.
	withoutNodes, _ := newTLSFixture(t, a, time.Hour)
	r := openSotW(t, connect(t, withoutNodes.Addr, a.proxy(time.Hour, "edge-1")))
	r.send(edsRequest("edge-1", "orders"))
	r.receive()
	r = openSotW(t, connect(t, withoutNodes.Addr, a.proxy(time.Hour, "edge-1")))
	r.sotw.Send(edsRequest("edge-2", "orders"))
	r.expectEnd(codes.PermissionDenied)
}

// A stream is closed when the certificate of its proxy expires.
func TestProxyCertificateExpires(t *testing.T) {
	a := newAuthority(t)
	f, _ := newTLSFixture(t, a, time.Hour)
	// Expiry times have a resolution of 1 s.
	r := openSotW(t, connect(t, f.Addr, a.proxy(3*time.Second, "edge-1")))
	r.send(edsRequest("edge-1", "orders"))
	r.receive()
	r.expectEnd(codes.Unavailable)
}
