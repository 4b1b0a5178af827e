package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// certificates holds the service's certificate and its proxies' authority, read again while it runs.
type certificates struct {
	cfg  TLSConfig
	last [3][]byte
	now  atomic.Pointer[tls.Config]
}

// read reads the files again and returns whether they differ from before. Files that can't be used
// leave what is at hand.
func (c *certificates) read() (bool, error) {
	var text [3][]byte
	for i, f := range []string{c.cfg.Cert, c.cfg.Key, c.cfg.ClientCA} {
		if f == "" {
			continue
		}
		var err error
		if text[i], err = os.ReadFile(f); err != nil {
			return false, fmt.Errorf("tls: %w", err)
		}
	}
	if c.now.Load() != nil && bytes.Equal(text[0], c.last[0]) && bytes.Equal(text[1], c.last[1]) && bytes.Equal(text[2], c.last[2]) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(text[0], text[1])
	if err != nil {
		return false, fmt.Errorf("tls.cert: %w", err)
	}
	t := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
	if c.cfg.ClientCA != "" {
		t.ClientCAs = x509.NewCertPool()
		if !t.ClientCAs.AppendCertsFromPEM(text[2]) {
			return false, fmt.Errorf("tls.client_ca: %s holds no certificate", c.cfg.ClientCA)
		}
		t.ClientAuth = tls.RequireAndVerifyClientCert
	}
	c.last = text
	c.now.Store(t)
	return true, nil
}

// expires is when the service's own certificate does.
func (c *certificates) expires() time.Time {
	if leaf := c.now.Load().Certificates[0].Leaf; leaf != nil {
		return leaf.NotAfter
	}
	return time.Time{}
}

// credentials are for a server whose certificates change: each handshake takes the present ones.
func (c *certificates) credentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			if t := c.now.Load(); t != nil {
				return t, nil
			}
			return nil, errors.New("tls: no certificate at hand")
		}})
}

// leafOf is the certificate that a peer has proven to hold; nil: none.
func leafOf(ctx context.Context) *x509.Certificate {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return nil
	}
	return info.State.VerifiedChains[0][0]
}

// allow tells whether a peer may call itself by a node id: with a certificate, only by an id that a
// [[node]] allows to one of its names or, where there are none of these, by one of its names.
func (c *Config) allow(leaf *x509.Certificate, id string) error {
	if id == "" || len(id) > 256 {
		return status.Errorf(codes.InvalidArgument, "node.id has %d bytes, 1 to 256 are needed", len(id))
	}
	if c.TLS.ClientCA == "" {
		return nil
	}
	if leaf == nil {
		return status.Error(codes.Unauthenticated, "no certificate was verified")
	}
	names := append([]string(nil), leaf.DNSNames...)
	for _, u := range leaf.URIs {
		names = append(names, u.String())
	}
	for _, name := range names {
		if len(c.Nodes) == 0 && name == id {
			return nil
		}
		for i := range c.Nodes {
			if !match(c.Nodes[i].Certificate, name) {
				continue
			}
			for _, p := range c.Nodes[i].IDs {
				if match(p, id) {
					return nil
				}
			}
		}
	}
	return status.Errorf(codes.PermissionDenied, "the certificate's names %q do not allow the node id %q", names, clip(id))
}

func match(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}
