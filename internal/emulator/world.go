package emulator

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ringtrack.example/ringtrack/internal/invariant"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

const (
	// epochMs is the Unix time of the start of a run, in ms.
	epochMs = 1.7e12
	// hashMultiplier is 2^64 divided by the golden ratio. Multiplication by it spreads small numbers over 64
	// bits (Fibonacci hashing).
	hashMultiplier = 0x9e3779b97f4a7c15
	// maxLatencyUs is the maximum latency that the histogram records, in microseconds.
	maxLatencyUs = 120_000_000
	// latencyDigits is the number of significant digits that the histogram keeps.
	latencyDigits = 3
)

// Policy is a load balancing policy; New creates the balancer of one agent from its settings and a seed.
type Policy struct {
	Name string
	// Unguarded balancers may send attempts that break the contract; the invariant checker counts the
	// violations. The product's balancer runs behind the guard of internal/core.
	Unguarded bool
	New       func(policy.Settings, uint64) (Balancer, error)
}

// Product is the balancer that the agent runs.
var Product = Policy{Name: "ringtrack", New: newProduct}

func newProduct(settings policy.Settings, seed uint64) (Balancer, error) {
	return policy.New(settings, seed)
}

// World is the state of a run.
type World struct {
	engine
	scenario *Scenario
	policy   *Policy
	settings policy.Settings // of the first agent; those of the others differ in replica index and zone
	seed     uint64
	servers  []*server
	agents   []*agent
	byAddr   map[policy.Addr]*server
	graph    *graphRun // nil without a graph of services

	checker            invariant.Checker
	unguarded          bool
	violationsByReason map[string]int // attempts that the guard blocked, by violation

	netRng      *rand.Rand
	partitioned []bool // by zone
	answerDelay []Time // added to answers, by the zone that they come from

	discoveryRng       *rand.Rand
	discoveryDownUntil Time // until then no watch event is sent and no call is answered
	discoveryQueue     discoveryQueue

	clientRng     *rand.Rand
	keys          *zipf          // nil: requests have no key
	burst         bool           // a burst is on
	loadFactor    float64        // on the rate of arrivals, during a surge
	quotaAccounts []quotaAccount // by tenant
	operations    uint64         // number of operations that clients started

	totals         Result
	latencies      *hdrhistogram.Histogram // in microseconds
	sampledServers int                     // number of samples in totals.MeanConnections
}

// newRand returns a random source for one part of a run. Each part has its own, so that its number of draws
// does not change the results of other parts.
func newRand(seed uint64, name string, index int) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprint(hash, name, index)
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// Run runs a scenario under a policy and returns the results. Scenario.Check must have accepted the scenario.
// It fails if the policy rejects the settings that follow from the scenario.
func Run(scenario *Scenario, p *Policy, seed uint64) (*Result, error) {
	w, err := newWorld(scenario, p, seed)
	if err != nil {
		return nil, err
	}
	w.run(fromSeconds(scenario.Seconds))
	return w.summarize(), nil
}

func newWorld(scenario *Scenario, p *Policy, seed uint64) (*World, error) {
	w := &World{
		scenario:           scenario,
		policy:             p,
		settings:           scenario.settings(0, 0),
		seed:               seed,
		byAddr:             map[policy.Addr]*server{},
		checker:            invariant.Checker{Rules: invariant.DefaultRules()},
		unguarded:          p.Unguarded,
		violationsByReason: map[string]int{},
		netRng:             newRand(seed, "net", 0),
		partitioned:        make([]bool, scenario.Zones),
		answerDelay:        make([]Time, scenario.Zones),
		discoveryRng:       newRand(seed, "roster", 0),
		discoveryQueue:     discoveryQueue{DiscoveryQueue: scenario.Discovery.Queue},
		clientRng:          newRand(seed, "clients", 0),
		loadFactor:         1,
		quotaAccounts:      scenario.quotaAccounts(),
		totals:             Result{Scenario: scenario.Name, Policy: p.Name, Seed: seed},
		latencies:          hdrhistogram.New(1, maxLatencyUs, latencyDigits),
	}
	if scenario.Load.Keys > 0 {
		w.keys = newZipf(scenario.Load.Keys, scenario.Load.Zipf)
	}
	w.addServers()
	if scenario.graph != nil {
		w.placeGraph()
	}
	for i, placement := range w.agentPlacements() {
		if err := w.addAgent(i, placement); err != nil {
			return nil, err
		}
	}
	for i := range scenario.Faults {
		w.scheduleFault(&scenario.Faults[i])
	}
	w.after(Second, (*connectionSampler)(w), 0)
	if scenario.Load.PerS > 0 {
		w.after(w.nextArrival(), (*arrivals)(w), 0)
	}
	if scenario.Load.Burst > 1 {
		w.scheduleBurst()
	}
	return w, nil
}

func (w *World) addServers() {
	addressInUse := func(a policy.Addr) bool { return w.byAddr[a] != nil }
	for i := range w.scenario.Servers {
		group := &w.scenario.Servers[i]
		for range group.Count {
			n := len(w.servers)
			id := fmt.Sprintf("s-%04d", n)
			s := &server{
				world:      w,
				index:      n,
				addr:       membership.ServerAddr(id, addressInUse),
				zone:       n % w.scenario.Zones,
				service:    i,
				group:      group,
				rng:        newRand(w.seed, "server", n),
				record:     invariant.Server{Name: id},
				errorClass: allClasses,
			}
			w.servers = append(w.servers, s)
			w.byAddr[s.addr] = s
		}
	}
}

// addAgent creates and starts an agent whose endpoint list has all servers of the service that it calls.
func (w *World) addAgent(index int, placement agentPlacement) error {
	g := &agent{
		world:           w,
		index:           index,
		agentPlacement:  placement,
		requests:        map[policy.RequestID]*request{},
		unavailable:     make([]bool, len(w.servers)),
		listed:          make([]bool, len(w.servers)),
		idleConns:       make([]int32, len(w.servers)),
		connIncarnation: make([]uint32, len(w.servers)),
	}
	for _, s := range w.servers {
		if placement.service == allServices || s.service == placement.service {
			g.listed[s.index] = true
			g.initialEndpoints = append(g.initialEndpoints, s.endpoint())
		}
	}
	balancer, err := w.policy.New(g.settings(), w.seed^uint64(index+1)*hashMultiplier)
	if err != nil {
		return fmt.Errorf("%s: %w", w.policy.Name, err)
	}
	g.balancer = balancer
	w.agents = append(w.agents, g)
	if placement.caller != nil {
		placement.caller.downstream = append(placement.caller.downstream, g)
	}
	g.start()
	return nil
}

// unixMs is the current time for balancers.
func (w *World) unixMs() float64 { return epochMs + float64(w.now)/float64(Millisecond) }

// time is the current time for the invariant checker.
func (w *World) time() time.Time { return time.Unix(0, int64(epochMs)*1e6+w.now) }

// warmedUp reports whether the warm-up, which the results leave out, is over.
func (w *World) warmedUp() bool {
	return float64(w.now) >= w.scenario.WarmUpSeconds*float64(Second)
}
