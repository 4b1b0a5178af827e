package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/credentials"
)

// expiryWarning is the remaining lifetime of the service's certificate below which a warning is logged.
const expiryWarning = 24 * time.Hour

var errNoCertificate = errors.New("tls: no certificate is loaded")

// certificates contains the service's certificate and the authority that issues the certificates of proxies.
// read must not be called concurrently; the other methods may.
type certificates struct {
	cfg     TLSConfig
	files   [3][]byte // content of the certificate, key and authority files at the last read
	current atomic.Pointer[tls.Config]
}

// read reads the files and reports whether they changed. After an error, the previous certificates stay in
// use.
func (c *certificates) read() (changed bool, err error) {
	var files [3][]byte
	for i, name := range []string{c.cfg.Cert, c.cfg.Key, c.cfg.ClientCA} {
		if name == "" {
			continue
		}
		if files[i], err = os.ReadFile(name); err != nil {
			return false, fmt.Errorf("tls: %w", err)
		}
	}
	same := slices.EqualFunc(files[:], c.files[:], bytes.Equal)
	if c.current.Load() != nil && same {
		return false, nil
	}
	pair, err := tls.X509KeyPair(files[0], files[1])
	if err != nil {
		return false, fmt.Errorf("tls.cert: %w", err)
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2"}}
	if c.cfg.ClientCA != "" {
		cfg.ClientCAs = x509.NewCertPool()
		if !cfg.ClientCAs.AppendCertsFromPEM(files[2]) {
			return false, fmt.Errorf("tls.client_ca: %s contains no PEM certificate", c.cfg.ClientCA)
		}
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	c.files = files
	c.current.Store(cfg)
	return true, nil
}

// expiry returns the expiry time of the service's certificate.
func (c *certificates) expiry() time.Time {
	if leaf := c.current.Load().Certificates[0].Leaf; leaf != nil {
		return leaf.NotAfter
	}
	return time.Time{}
}

// credentials returns server credentials that use the current certificate for each handshake.
func (c *certificates) credentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			if cfg := c.current.Load(); cfg != nil {
				return cfg, nil
			}
			return nil, errNoCertificate
		},
	})
}

// watchCertificates reads the certificate files periodically until ctx ends.
func (s *Server) watchCertificates(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(s.publisher.cfg().TLS.ReloadS * float64(time.Second)))
	defer ticker.Stop()
	for {
		s.readCertificates()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readCertificates reads the certificate files and logs errors, changes and an approaching expiry.
func (s *Server) readCertificates() {
	changed, err := s.certificates.read()
	switch left := time.Until(s.certificates.expiry()); {
	case err != nil:
		s.log.Error("certificates not used, the last ones stay in use", "err", err)
	case left <= 0:
		s.log.Error("the service's certificate has expired; proxies cannot open new connections", "since", -left)
	case left < expiryWarning:
		s.log.Warn("the service's certificate expires soon", "in", left)
	case changed:
		s.log.Info("certificates updated", "expire", s.certificates.expiry())
	}
}
