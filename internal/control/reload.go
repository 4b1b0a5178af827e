package control

import (
	"fmt"
	"reflect"
)

// Reload applies the changes that need no restart: certificates, [[node]], [xds] and the classes of the
// settings. It logs all other changes as requiring a restart. After an error, the previous configuration
// stays in use.
func (s *Server) Reload(next *Config) error {
	old := s.publisher.cfg()
	s.logRestartRequired(old, next)
	merged := *old
	merged.Nodes = next.Nodes
	merged.XDS = next.XDS
	merged.settings = next.settings
	merged.zones = next.zones
	merged.kinds = next.kinds
	if s.certificates != nil {
		s.readCertificates()
	}
	applied := make(chan error, 1)
	s.publisher.post(func() { applied <- s.publisher.reload(&merged) })
	select {
	case err := <-applied:
		if err != nil {
			return fmt.Errorf("control: reload: %w", err)
		}
	case <-s.publisher.done:
		return fmt.Errorf("control: reload: %w", errShuttingDown)
	}
	s.log.Info("configuration reloaded")
	return nil
}

// logRestartRequired logs the changed configuration keys that take effect only after a restart.
func (s *Server) logRestartRequired(old, next *Config) {
	for key, same := range map[string]bool{
		"listen":    next.Listen == old.Listen,
		"admin":     next.Admin == old.Admin,
		"service":   next.Service == old.Service,
		"roster":    next.Discovery == old.Discovery,
		"ephemeral": reflect.DeepEqual(next.ephemeral, old.ephemeral),
		"evidence":  next.Evidence == old.Evidence,
		"proxies":   next.Proxies == old.Proxies,
		"tls":       next.TLS == old.TLS,
	} {
		if !same {
			s.log.Warn("configuration change takes effect only after a restart", "key", key)
		}
	}
}

// reload renders and publishes a configuration. After an error, the previous one stays in use. It must be
// called on the publisher's goroutine.
func (p *publisher) reload(cfg *Config) error {
	old := p.cfg()
	p.config.Store(cfg)
	servers := 0
	if p.assigner.HasMembership() {
		servers = len(p.entries())
	}
	if err := p.renderStatic(servers); err != nil {
		p.config.Store(old)
		return err
	}
	p.publish(p.clock.Ms(), "")
	return nil
}
