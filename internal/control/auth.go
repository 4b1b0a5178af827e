package control

import (
	"context"
	"crypto/x509"
	"path"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// maxNodeIDBytes bounds the length of a node ID.
const maxNodeIDBytes = 256

// peerCertificate returns the verified certificate of the peer in ctx, or nil.
func peerCertificate(ctx context.Context) *x509.Certificate {
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

// authorize returns a status error unless a peer may use a node ID. With client certificates, a [[node]]
// entry must allow the ID for one of the names of the certificate. If there are no entries, the ID must be
// one of the names.
func (c *Config) authorize(cert *x509.Certificate, id string) error {
	if id == "" || len(id) > maxNodeIDBytes {
		return status.Errorf(codes.InvalidArgument, "node.id has %d bytes, 1 to %d are needed", len(id), maxNodeIDBytes)
	}
	if c.TLS.ClientCA == "" {
		return nil
	}
	if cert == nil {
		return status.Error(codes.Unauthenticated, "no certificate was verified")
	}
	names := certificateNames(cert)
	for _, name := range names {
		if len(c.Nodes) == 0 && name == id {
			return nil
		}
		for i := range c.Nodes {
			if c.Nodes[i].allows(name, id) {
				return nil
			}
		}
	}
	return status.Errorf(codes.PermissionDenied, "the certificate's names %q do not allow the node id %q", names, truncateText(id))
}

// certificateNames returns the DNS and URI names of a certificate.
func certificateNames(cert *x509.Certificate) []string {
	names := append([]string(nil), cert.DNSNames...)
	for _, uri := range cert.URIs {
		names = append(names, uri.String())
	}
	return names
}

// allows reports whether the entry allows a certificate with this name to use a node ID.
func (n *NodeConfig) allows(name, id string) bool {
	if !match(n.Certificate, name) {
		return false
	}
	for _, pattern := range n.IDs {
		if match(pattern, id) {
			return true
		}
	}
	return false
}

func match(pattern, name string) bool {
	ok, err := path.Match(pattern, name)
	return ok && err == nil
}
