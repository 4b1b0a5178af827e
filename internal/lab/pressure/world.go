package pressure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
)

// backendCount is the number of backends.
const backendCount = 4

// defaultLongestDeadline is the longest deadline of a scenario that names none.
const defaultLongestDeadline = time.Second

// settings are the agent's settings, with the longest deadline of each class in ms.
const settings = `{"classes":[
{"name":"read","aimMs":200,"giveUpMs":%[1]d,"effect":"free","credit":1,"lateShare":0.2},
{"name":"order","aimMs":300,"giveUpMs":%[1]d,"effect":"single_shot","credit":5,"lateShare":0.2}],
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
	var entries []membership.Entry
	b := &backend{work: defaultBackendWork}
	if s.BackendWork > 0 {
		b.work = s.BackendWork
	}
	for i := range backendCount {
		server, err := lab.Accept(b.serve)
		if err != nil {
			return nil, err
		}
		w.closers = append(w.closers, server.Close)
		entries = append(entries, membership.Entry{
			ID: "s-" + strconv.Itoa(i), Addr: server.Addr, Zone: "east", Kind: "big", State: membership.Up, Weight: 1,
		})
	}
	if w.discovery, err = lab.NewDiscoveryService(entries...); err != nil {
		return nil, err
	}
	w.agent, err = newAgent(s, w.dir, map[string]any{
		"discovery": w.discovery.Addr,
		"known":     w.discovery.List(),
		"settings":  json.RawMessage(fmt.Sprintf(settings, s.longestDeadline().Milliseconds())),
	})
	if err != nil {
		return nil, err
	}
	if s.Thrift {
		err = w.configureThrift()
	}
	return w, err
}

// longestDeadline returns the longest deadline of all classes.
func (s *Scenario) longestDeadline() time.Duration {
	if s.LongestDeadline > 0 {
		return s.LongestDeadline
	}
	return defaultLongestDeadline
}

// configureThrift gives the agent a Thrift listener on which no methods but orders and those that hang are listed.
func (w *world) configureThrift() error {
	addr, err := lab.UnusedAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, "thrift.toml")
	text := fmt.Sprintf("listen = %q\nunlisted = \"refuse\"\n"+
		"[[method]]\nname = \"order\"\nclass = \"order\"\n[[method]]\nname = %q\nclass = \"order\"\n", addr, hangMethod)
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
