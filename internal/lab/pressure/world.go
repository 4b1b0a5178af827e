package pressure

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	backendCount = 4
	// backendWork is how long a backend works on a request.
	backendWork = 10 * time.Millisecond
	// longAnswerBytes is the length of an answer to a request for longPath.
	longAnswerBytes = 4 << 20
	longPath        = "/api/long"
	// mediumAnswerBytes is the length of an answer to a request below mediumPath: one that the agent buffers.
	mediumAnswerBytes = 48 << 10
	mediumPath        = "/api/medium"
)

// settings are the agent's settings.
const settings = `{"classes":[
{"name":"read","aimMs":200,"giveUpMs":1000,"effect":"free","credit":1,"lateShare":0.2},
{"name":"order","aimMs":300,"giveUpMs":1000,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"askWithinMs":1600,"drainGraceMs":250},"failureDomains":["east"],"shapes":["big"],"replicasOfMe":1,
"limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600},
"membershipMode":"on_request","objectiveMix":{"whole":1},"roundMs":5}`

// world is what surrounds the agent of a scenario.
type world struct {
	scenario  *Scenario
	dir       string
	discovery *lab.DiscoveryService
	closers   []func()
	agent     *agentProcess
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func newWorld(s *Scenario) (w *world, err error) {
	w = &world{scenario: s}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "pressure"); err != nil {
		return nil, err
	}
	entries, err := w.startBackends()
	if err != nil {
		return nil, err
	}
	if w.discovery, err = lab.NewDiscoveryService(entries...); err != nil {
		return nil, err
	}
	w.agent, err = newAgent(s, w.dir, map[string]any{
		"discovery": w.discovery.Addr,
		"known":     w.discovery.List(),
		"settings":  json.RawMessage(settings),
	})
	if err != nil {
		return nil, err
	}
	if s.Thrift {
		err = w.configureThrift()
	}
	return w, err
}

// startBackends starts the backends. With Thrift half of them serve that, and the other half HTTP.
func (w *world) startBackends() (entries []membership.Entry, err error) {
	for i := range backendCount {
		id := "s-" + strconv.Itoa(i)
		server := httptest.NewServer(http.HandlerFunc(serveBackend))
		w.closers = append(w.closers, server.Close)
		entries = append(entries, membership.Entry{
			ID: id, Addr: server.Listener.Addr().String(), Zone: "east", Kind: "big", State: membership.Up, Weight: 1,
		})
	}
	return entries, nil
}

// serveBackend answers a request after backendWork.
func serveBackend(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	time.Sleep(backendWork)
	length := 4
	switch {
	case req.URL.Path == longPath:
		length = longAnswerBytes
	case strings.HasPrefix(req.URL.Path, mediumPath):
		length = mediumAnswerBytes
	}
	w.Header().Set("Content-Length", strconv.Itoa(length))
	for part := make([]byte, 64<<10); length > 0; {
		n, err := w.Write(part[:min(length, len(part))])
		if err != nil {
			return
		}
		length -= n
	}
}

// configureThrift gives the agent a Thrift listener on which no method but orders is listed.
func (w *world) configureThrift() error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, "thrift.toml")
	text := fmt.Sprintf("listen = %q\nunlisted = \"refuse\"\n[[method]]\nname = \"order\"\nclass = \"order\"\n", addr)
	w.agent.thriftAddr = addr
	w.agent.env = append(w.agent.env, "PROXY_THRIFT="+file)
	return os.WriteFile(file, []byte(text), 0o600)
}

func (w *world) close() {
	if w.discovery != nil {
		w.discovery.Close()
	}
	for _, closeServer := range w.closers {
		closeServer()
	}
	_ = os.RemoveAll(w.dir)
}
