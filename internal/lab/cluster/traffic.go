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

// Settings are what the agents of the rig are made with: three attempts, keys for 1.2 s in all zones.
const Settings = `{"classes":[{"name":"read","aimMs":200,"giveUpMs":600,"effect":"free","credit":1},` +
	`{"name":"send","aimMs":200,"giveUpMs":600,"effect":"guarded","group":"all","keyTtlMs":1200,"credit":2},` +
	`{"name":"order","aimMs":200,"giveUpMs":600,"effect":"single_shot","credit":5}],` +
	`"contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.31,"coldMs":300,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},` +
	`"failureDomains":["east","west","south"],"limits":{"cancelling":true,"connectTimeoutMs":150,"maxAttempts":3,"maxRetryAfterMs":600,"openCap":10000,"retryAfter":true},` +
	`"membershipMode":"on_request","objectiveMix":{"whole":1},"prices":{},"replicasOfMe":1,"roundMs":5,"shapes":["fast"],"weights":"nominal","worthBy":"request"}`

var zones = []string{"east", "west", "south"}

// within is the time that each request has.
const within = 600 * time.Millisecond

// Traffic is servers, a roster and a client beside each agent.
type Traffic struct {
	Servers   []*lab.OrderServer
	Discovery *lab.Roster
	Attempts  *AttemptLog

	Served, Rejected, Failed, Unanswered, Late atomic.Int64

	wg     sync.WaitGroup
	cancel context.CancelFunc
	closed sync.Once
}

// NewTraffic starts n servers and their roster. Clients come with Clients.
func NewTraffic(n int) (*Traffic, error) {
	t := &Traffic{Attempts: &AttemptLog{Slack: 250 * time.Millisecond, Zone: map[string]string{}}}
	var err error
	if t.Attempts.AgentSettings, err = wire.ParseSettings([]byte(Settings)); err != nil {
		return nil, err
	}
	var entries []membership.Entry
	for i := range n {
		id, zone := fmt.Sprintf("s-%02d", i), zones[i%len(zones)]
		s, err := lab.NewOrderServer(id, zone, 2*time.Millisecond, nil)
		if err != nil {
			return nil, err
		}
		s.Saw(func(op string, at time.Time) { t.Attempts.Record(id, op, at) })
		t.Attempts.Zone[id] = zone
		t.Servers = append(t.Servers, s)
		entries = append(entries, s.Entry)
	}
	t.Discovery, err = lab.NewRoster(entries...)
	return t, err
}

// StartClients begins a client for each agent, a request every pause or so, until Close.
func (t *Traffic) StartClients(ctx context.Context, agents []*Process, pause time.Duration, seed uint64) {
	ctx, t.cancel = context.WithCancel(ctx)
	for i, a := range agents {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		t.wg.Go(func() { t.client(ctx, a, pause, rng) })
	}
}

// Close ends clients, servers and roster.
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

func (t *Traffic) client(ctx context.Context, a *Process, pause time.Duration, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: within + 400*time.Millisecond}
	defer client.CloseIdleConnections()
	classes := []string{"send", "order", "send", "read"}
	for n := 0; ctx.Err() == nil; n++ {
		class := classes[n%len(classes)]
		op := fmt.Sprintf("%s-%s-%d", a.Name, class, n)
		from := time.Now()
		var req *http.Request
		if class == "read" {
			req, _ = http.NewRequest(http.MethodGet, "http://"+a.Addr+fmt.Sprintf("/api/a%d?op=%s", n%211, op), nil)
		} else {
			req, _ = http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/api/%d", a.Addr, n%211), strings.NewReader(op+" "))
		}
		if class == "send" {
			req.Header.Set("Idempotency-Key", op)
			// The client's own library would send it once more on a broken connection; each is to be one request.
			req.GetBody = nil
		}
		req.Header.Set("Request-Id", op)
		req.Header.Set("Request-Class", class)
		req.Header.Set("Request-Timeout-Ms", fmt.Sprint(within.Milliseconds()))
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		switch took := time.Since(from); {
		case err != nil:
			t.Unanswered.Add(1)
		case took > within+250*time.Millisecond:
			t.Late.Add(1)
		case resp.StatusCode == http.StatusOK:
			t.Served.Add(1)
		case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
			t.Rejected.Add(1)
		default:
			t.Failed.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + time.Duration(rng.Int64N(int64(pause)+1))):
		}
	}
}

// AddAgents makes agents for the traffic's servers.
func (t *Traffic) AddAgents(c *Cluster, n, peers int, onLapse string) error {
	return c.AddAgents(n, &AgentConfig{Settings: json.RawMessage(Settings), Discovery: t.Discovery.Addr, InitialEndpoints: t.Discovery.List(), Peers: peers, OnExpiry: onLapse})
}

// Ready waits until an agent says that it is.
func Ready(ctx context.Context, a *Process, within time.Duration) error {
	return Until(ctx, a.Name+" is ready", within, func() bool {
		resp, err := http.Get("http://" + a.Addr + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
