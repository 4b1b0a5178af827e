package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/wire"
)

// Settings are the agents' settings: at most three attempts; the class send has idempotency keys that are
// valid for 1.2 s in all zones.
const Settings = `{"classes":[{"name":"read","aimMs":200,"giveUpMs":600,"effect":"free","credit":1},` +
	`{"name":"send","aimMs":200,"giveUpMs":600,"effect":"guarded","group":"all","keyTtlMs":1200,"credit":2},` +
	`{"name":"order","aimMs":200,"giveUpMs":600,"effect":"single_shot","credit":5}],` +
	`"contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.31,"coldMs":300,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},` +
	`"failureDomains":["east","west","south"],"limits":{"cancelling":true,"connectTimeoutMs":150,"maxAttempts":3,"maxRetryAfterMs":600,"openCap":10000,"retryAfter":true},` +
	`"membershipMode":"on_request","objectiveMix":{"whole":1},"prices":{},"replicasOfMe":1,"roundMs":5,"shapes":["fast"],"weights":"nominal","worthBy":"request"}`

var zones = []string{"east", "west", "south"}

const (
	// requestTimeout is the timeout that each request carries in its header.
	requestTimeout = 600 * time.Millisecond
	// lateAfter is the time beyond the deadline at which a response counts as late.
	lateAfter = 250 * time.Millisecond
	// clientSlack is the time beyond the deadline at which a client gives up.
	clientSlack       = 400 * time.Millisecond
	clientDialTimeout = 100 * time.Millisecond
	clientIdleConns   = 4
	serverLatency     = 2 * time.Millisecond
	// trafficSlack is the Slack of the attempt log.
	trafficSlack = 250 * time.Millisecond
	// requestKeys is the number of different request paths.
	requestKeys = 211
)

// Names of the request classes in Settings.
const (
	classRead  = "read"
	classSend  = "send"
	classOrder = "order"
)

// clientClasses is the sequence of classes that each client cycles through.
var clientClasses = []string{classSend, classOrder, classSend, classRead}

// Traffic consists of test servers, a discovery service that lists them, and a client for each agent.
type Traffic struct {
	Servers   []*lab.Backend
	Discovery *lab.DiscoveryService
	Attempts  *AttemptLog

	// Numbers of requests by result.
	Served, Rejected, Failed, Unanswered, Late atomic.Int64

	wg     sync.WaitGroup
	cancel context.CancelFunc
	closed sync.Once
}

func serverName(i int) string { return fmt.Sprintf("s-%02d", i) }

// NewTraffic starts n servers and their discovery service. StartClients starts the clients.
func NewTraffic(n int) (*Traffic, error) {
	t := &Traffic{Attempts: &AttemptLog{Slack: trafficSlack, Zone: map[string]string{}}}
	var err error
	if t.Attempts.AgentSettings, err = wire.ParseSettings([]byte(Settings)); err != nil {
		return nil, err
	}
	var entries []membership.Entry
	for i := range n {
		id := serverName(i)
		zone := zones[i%len(zones)]
		s, err := lab.NewBackend(id, zone, serverLatency, nil)
		if err != nil {
			return nil, err
		}
		s.OnRequest(func(op string, at time.Time) { t.Attempts.Record(id, op, at) })
		t.Attempts.Zone[id] = zone
		t.Servers = append(t.Servers, s)
		entries = append(entries, s.Entry)
	}
	t.Discovery, err = lab.NewDiscoveryService(entries...)
	return t, err
}

// StartClients starts a client for each agent, which runs until Close. Its pauses between requests average
// pause.
func (t *Traffic) StartClients(ctx context.Context, agents []*Process, pause time.Duration, seed uint64) {
	ctx, t.cancel = context.WithCancel(ctx)
	for i, a := range agents {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		t.wg.Go(func() { t.runClient(ctx, a, pause, rng) })
	}
}

// Close stops the clients, the servers and the discovery service. Further calls do nothing.
func (t *Traffic) Close() {
	t.closed.Do(func() {
		if t.cancel != nil {
			t.cancel()
		}
		t.wg.Wait()
		for _, s := range t.Servers {
			s.Close()
		}
		t.Discovery.Close()
	})
}

func (t *Traffic) runClient(ctx context.Context, agent *Process, pause time.Duration, rng *rand.Rand) {
	dialer := &net.Dialer{Timeout: clientDialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: clientIdleConns,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport, Timeout: requestTimeout + clientSlack}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		t.request(client, agent, n)
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + time.Duration(rng.Int64N(int64(pause)+1))):
		}
	}
}

// request sends the n-th request of a client and counts the result.
func (t *Traffic) request(client *http.Client, agent *Process, n int) {
	start := time.Now()
	resp, err := client.Do(newRequest(agent, n))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	switch elapsed := time.Since(start); {
	case err != nil:
		t.Unanswered.Add(1)
	case elapsed > requestTimeout+lateAfter:
		t.Late.Add(1)
	case resp.StatusCode == http.StatusOK:
		t.Served.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		t.Rejected.Add(1)
	default:
		t.Failed.Add(1)
	}
}

// newRequest returns the n-th request to an agent. Its operation is named AGENT-CLASS-N.
func newRequest(agent *Process, n int) *http.Request {
	class := clientClasses[n%len(clientClasses)]
	op := fmt.Sprintf("%s-%s-%d", agent.Name, class, n)
	key := n % requestKeys
	var req *http.Request
	if class == classRead {
		req, _ = http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/api/a%d?op=%s", agent.Addr, key, op), nil)
	} else {
		req, _ = http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/api/%d", agent.Addr, key), strings.NewReader(op+" "))
	}
	if class == classSend {
		req.Header.Set("Idempotency-Key", op)
		req.GetBody = nil // otherwise net/http retries the request on a broken connection
	}
	req.Header.Set("Request-Id", op)
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	return req
}

// AddAgents adds agents that forward to the servers of the traffic.
func (t *Traffic) AddAgents(c *Cluster, n, peers int, onExpiry string) error {
	return c.AddAgents(n, &AgentConfig{
		Settings:         json.RawMessage(Settings),
		Discovery:        t.Discovery.Addr,
		InitialEndpoints: t.Discovery.List(),
		Peers:            peers,
		OnExpiry:         onExpiry,
	})
}
