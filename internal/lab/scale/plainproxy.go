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

// plainProxyEnv names the configuration file of a plain proxy; a process that has it set runs as one.
const plainProxyEnv = "RINGTRACK_SCALE_PLAIN_PROXY"

// plainConfig configures a plain proxy.
type plainConfig struct {
	Listen   string
	Backends []string
}

// runPlainProxyChild runs the process as a plain proxy and does not return, if the environment says so.
func runPlainProxyChild() {
	path := os.Getenv(plainProxyEnv)
	if path == "" {
		return
	}
	log.Fatalln("plain proxy:", servePlainProxy(path))
}

// newPlainProxy returns the process of a plain proxy without starting it. Like the agent it has one core.
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

// servePlainProxy serves as the baseline that the agent is compared with: net/http/httputil's reverse proxy
// over net/http's transport. It picks a random backend for each call, keeps idle connections as long as the
// agent does, makes no retries and follows no endpoint list.
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
