// Package service starts the product's control service in this process, on loopback, with a stand-in for the
// discovery service.
package service

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"ringtrack.example/ringtrack/internal/control"
	"ringtrack.example/ringtrack/internal/lab"
)

// Settings is the settings file of the lab's fleet.
//
//go:embed settings.json
var Settings []byte

// Service is a replica of the control service.
type Service struct {
	Addr  string // that proxies connect to
	Admin string

	Server *control.Server
	cancel context.CancelFunc
	done   chan error
	file   string
}

// Config returns the configuration of a replica that uses the discovery service at this address, after change
// modified it. The settings are in a temporary file, which remove deletes.
func Config(discoveryAddr string, change func(*control.Config)) (cfg *control.Config, remove func(), err error) {
	f, err := os.CreateTemp("", "settings-*.json")
	if err != nil {
		return nil, nil, err
	}
	remove = func() { os.Remove(f.Name()) }
	_, err = f.Write(Settings)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	cfg = control.DefaultConfig()
	cfg.Listen, cfg.Admin = "127.0.0.1:1", "127.0.0.1:1" // the kernel chooses
	cfg.Settings, cfg.Discovery.Addr = f.Name(), discoveryAddr
	cfg.Proxies.StartupHoldMs = 0
	if change != nil {
		change(cfg)
	}
	if err == nil {
		err = cfg.Check()
	}
	if err != nil {
		remove()
		return nil, nil, err
	}
	return cfg, remove, nil
}

// Start starts a replica that listens at addr; "" lets the kernel choose the port.
func Start(addr, discoveryAddr string, log io.Writer, change func(*control.Config)) (*Service, error) {
	cfg, remove, err := Config(discoveryAddr, change)
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = io.Discard
	}
	s := &Service{file: cfg.Settings, done: make(chan error, 1)}
	if s.Server, err = control.New(cfg, slog.New(slog.NewTextHandler(log, nil))); err != nil {
		remove()
		return nil, err
	}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		remove()
		return nil, err
	}
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		ln.Close()
		remove()
		return nil, err
	}
	s.Addr, s.Admin = ln.Addr().String(), admin.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { s.done <- s.Server.Run(ctx, ln, admin) }()
	return s, nil
}

// StartWith starts a replica that uses a stand-in discovery service.
func StartWith(discovery *lab.DiscoveryService, change func(*control.Config)) (*Service, error) {
	return Start("", discovery.Addr, nil, change)
}

// Close stops the replica.
func (s *Service) Close() error {
	s.cancel()
	err := <-s.done
	os.Remove(s.file)
	return err
}

// Report returns the report of the admin endpoint.
func (s *Service) Report() (*control.Report, error) {
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + s.Admin + "/")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("admin: %s", resp.Status)
	}
	var r control.Report
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return &r, nil
}
