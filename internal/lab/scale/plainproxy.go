package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab/cluster"
)

// childEnv makes a process of the lab a plain proxy: it names the file of its configuration.
const plainProxyEnv = "RINGTRACK_SCALE_PLAIN_PROXY"

// plainConfig is where a plain proxy listens and the backends behind it.
type plainConfig struct {
	Listen   string
	Backends []string
}

// plainChild runs the process as a plain proxy, if the environment says so, and does not return then.
func runPlainProxyChild() {
	path := os.Getenv(plainProxyEnv)
	if path == "" {
		return
	}
	log.Fatalln("plain proxy:", servePlainProxy(path))
}

// newPlain makes the process of a plain proxy in a folder, which is not started. It has one core, as the agent has.
func newPlainProxy(dir, addr string, backends []string) (*cluster.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(plainConfig{addr, backends})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "plain.json")
	p := &cluster.Process{Name: filepath.Base(dir), Dir: dir, Args: []string{self}, Addr: addr,
		Env: []string{plainProxyEnv + "=" + path, "GOMAXPROCS=1", "GORACE=atexit_sleep_ms=0"}}
	return p, os.WriteFile(path, text, 0o600)
}

// servePlain is what stands beside the agent for comparison: net/http/httputil's reverse proxy over net/http's
// transport, any backend for each call, connections kept for as long as the agent keeps them. It decides nothing, tries
// nothing twice and follows no list.
func servePlainProxy(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var cfg plainConfig
	if err := json.Unmarshal(text, &cfg); err != nil {
		return err
	}
	var dials atomic.Int64
	dialer := net.Dialer{Timeout: callTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: backendIdleTimeout, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			return dialer.DialContext(ctx, network, addr)
		}}
	mux := http.NewServeMux()
	mux.Handle("/", &httputil.ReverseProxy{Transport: transport, Rewrite: func(p *httputil.ProxyRequest) {
		p.Out.URL.Scheme, p.Out.URL.Host = "http", cfg.Backends[rand.IntN(len(cfg.Backends))]
	}})
	mux.HandleFunc("/-/ready", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/-/dials", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, dials.Load()) })
	server := &http.Server{Addr: cfg.Listen, Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return server.ListenAndServe()
}
