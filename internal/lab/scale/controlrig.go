package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/configstore/client"
	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// zoneNames are six zones, three in each of two regions; kindNames are the machine types.
var zoneNames, kindNames = []string{"a1", "a2", "a3", "b1", "b2", "b3"}, []string{"fast"}

// regionOf returns the region of the zone with an index.
func regionOf(zone int) int { return zone / (len(zoneNames) / 2) }

// agentSettings returns the settings of the agent with a discovery poll slot: three classes of its own
// service, endpoint lists polled from one shared discovery service, and the deployed times.
func agentSettings(pollSlot, pollSlots int, pollIntervalMs float64) json.RawMessage {
	return fmt.Appendf(nil, `{"classes":[
{"name":"svc-00","aimMs":200,"giveUpMs":800,"effect":"free","credit":1,"lateShare":0.2},
{"name":"svc-00-keyed","aimMs":300,"giveUpMs":600,"effect":"guarded","group":"all","keyTtlMs":1200,"credit":2,"lateShare":0.2},
{"name":"svc-00-once","aimMs":500,"giveUpMs":1200,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"answerSlackMs":20,"askWithinMs":%v,"coldFrom":0.3,"coldMs":8600,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
"failureDomains":["a1","a2","a3","b1","b2","b3"],"shapes":["fast"],"limits":{"cancelling":true,"connectTimeoutMs":150,"keepaliveMs":5000,
"maxAttempts":3,"maxRetryAfterMs":600,"openCap":10000,"retryAfter":true},"membershipMode":"on_request","objectiveMix":{"whole":1},
"index":%d,"replicasOfMe":%d,"roundMs":5,"weights":"nominal","worthBy":"request"}`, pollIntervalMs, pollSlot, pollSlots)
}

// services is the number of services with a class in the shared configuration.
const services = 82

// configOf returns the configuration of a version: a class per service, an overload factor that differs
// between versions, and another cordon in every second version, so that the server rules change too.
func configOf(version uint64) *sharedconfig.Config {
	b := &sharedconfig.Config{Classes: map[string]sharedconfig.Class{}, OverloadFactor: 1 + float64(version)/1000}
	for i := range services {
		b.Classes[fmt.Sprintf("svc-%02d-keyed", i)] = sharedconfig.Class{Effect: "guarded", DedupScope: "zone", IdempotencyWindowMs: 1000}
	}
	if n := version / 2; n > 0 {
		b.Cordoned = []string{fmt.Sprintf("b-%04d", n%50)}
	}
	return b
}

// renewalObserver counts agents' renewals on the links to the replicas and records which epoch each agent
// has. It sees the renewals as the agents send them.
type renewalObserver struct {
	mu        sync.Mutex
	calls     int64
	immediate int64         // renewals that do not wait for a change, as after a failed one
	per100ms  map[int64]int // renewals in each 100 ms of Unix time
	epochs    map[string][]epochAt
}

type epochAt struct {
	epoch uint64
	at    time.Time
}

func newRenewalObserver() *renewalObserver {
	return &renewalObserver{epochs: map[string][]epochAt{}, per100ms: map[int64]int{}}
}

// observe parses a chunk of sent bytes. A renewal is sent in one write of less than 4 KB, hence in one chunk.
func (o *renewalObserver) observe(b []byte) {
	at := time.Now()
	for {
		_, rest, ok := bytes.Cut(b, []byte(`{"name":"`))
		if !ok {
			return
		}
		name, rest, ok := bytes.Cut(rest, []byte(`"`))
		if !ok {
			return
		}
		_, epochText, ok := bytes.Cut(rest, []byte(`"has":`))
		if !ok {
			return
		}
		end := 0
		for end < len(epochText) && epochText[end] >= '0' && epochText[end] <= '9' {
			end++
		}
		epoch, err := strconv.ParseUint(string(epochText[:end]), 10, 64)
		if err != nil {
			return
		}
		o.mu.Lock()
		o.calls++
		if _, wait, _ := bytes.Cut(epochText, []byte(`"wait_ms":`)); bytes.HasPrefix(wait, []byte("0")) {
			o.immediate++
		}
		o.per100ms[at.UnixMilli()/100]++
		l := o.epochs[string(name)]
		if n := len(l); n == 0 || l[n-1].epoch != epoch {
			o.epochs[string(name)] = append(l, epochAt{epoch, at})
		}
		o.mu.Unlock()
		b = epochText
	}
}

func (o *renewalObserver) count() (calls, immediate int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls, o.immediate
}

// peak returns the largest number of renewals in 100 ms since from.
func (o *renewalObserver) peak(from time.Time) (highest int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for at, n := range o.per100ms {
		if at >= from.UnixMilli()/100 {
			highest = max(highest, n)
		}
	}
	return highest
}

// forget removes the epochs of agents that are restarted.
func (o *renewalObserver) forget(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range names {
		delete(o.epochs, n)
	}
}

// latencies returns how long after from each agent first reported the epoch or a later one, and the agents
// that have not done so.
func (o *renewalObserver) latencies(names []string, epoch uint64, from time.Time) (times []time.Duration, missing []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range names {
		i := slices.IndexFunc(o.epochs[n], func(e epochAt) bool { return e.epoch >= epoch })
		if i < 0 {
			missing = append(missing, n)
			continue
		}
		times = append(times, o.epochs[n][i].at.Sub(from))
	}
	return times, missing
}

// controlTimes are the times with which a rig is configured.
type controlTimes struct {
	pollSlots      int     // number of slots in which agents poll discovery
	pollIntervalMs float64 // interval of discovery polls, over which agents spread their first ones
	leaseMs        float64
	serverRulesMs  float64
	tickMs         float64 // tick of replicas; 0: their default
	syncDelayMs    int     // added to each sync while replicas' disks are slow; 0: they never are
}

// publishTime is the timeout of a publish at one replica. A publish waits for several sequential syncs.
func (t *controlTimes) publishTime() time.Duration {
	return time.Second + 4*time.Duration(t.syncDelayMs)*time.Millisecond
}

// controlRig runs replicas, hollow and real agents, and a stand-in for discovery. All connections between
// them, including heartbeats of replicas, pass through the lab's process. On a machine without a spare core
// that delays them, so new terms of replicas are counted in addition to the latencies of changes.
type controlRig struct {
	*cluster.Cluster
	o               *Options
	dir             string
	discovery       *lab.DiscoveryService
	renewals        *renewalObserver
	lastElectionLog map[string]string // by replica: time of its last log line about an election
	zones           []*hollowZone
	realAgents      []string // names of real agents, in the order of Agents
	times           controlTimes
	n               int    // number of agents and of backends
	extraBackends   int    // backends added by awaitDiscovery
	version         uint64 // last published version
	defect          string
	client          *http.Client
}

// hollowZone is the process with the hollow agents of a zone.
type hollowZone struct {
	p       *cluster.Process
	spec    hollowSpec
	baseRSS int64 // RSS before any agent was started
	names   []string
}

// The defects that can be injected: hollow agents that renew without waiting, and replicas whose event loop
// waits for the disk, as it did before writes moved to a goroutine of their own.
const defectNoWait, defectLoopWaits = "no-wait", "loop-waits"

func newControlRig(ctx context.Context, o *Options, defect string, times controlTimes) (r *controlRig, err error) {
	build := cluster.BuildProduct
	if times.syncDelayMs > 0 {
		build = cluster.Build // only the lab build can slow disks down
	}
	bin, err := build(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "ringtrack-scale")
	if err != nil {
		return nil, err
	}
	r = &controlRig{Cluster: cluster.New(dir, bin, times.leaseMs), o: o, dir: dir, renewals: newRenewalObserver(), lastElectionLog: map[string]string{}, times: times, defect: defect,
		client: &http.Client{Timeout: 10 * time.Second}}
	r.ServerRulesMs, r.TickMs = times.serverRulesMs, times.tickMs
	rig := r // r is nil when the deferred function runs after an error
	defer func() {
		if err != nil {
			rig.stop()
		}
	}()
	if r.discovery, err = lab.NewDiscoveryService(); err != nil {
		return nil, err
	}
	if err := r.AddReplicas(5); err != nil {
		return nil, err
	}
	for _, replica := range r.Replicas {
		if defect == defectLoopWaits {
			replica.Env = append(replica.Env, "RINGTRACK_LAB_DEFECT="+defect)
		}
		if err := replica.Start(); err != nil {
			return nil, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	addrs, err := r.Addrs(len(zoneNames))
	if err != nil {
		return nil, err
	}
	for i, name := range zoneNames {
		z := &hollowZone{spec: hollowSpec{Listen: addrs[i], PollIntervalMs: times.pollIntervalMs, Defect: defect}}
		if z.p, err = r.AddProcess("zone-"+name, addrs[i], false, []string{hollowEnv + "=spec.json"}, "hollow"); err != nil {
			return nil, err
		}
		z.p.Args = []string{self}
		if z.spec.Discovery, err = r.ProxyAddr(z.p.Name, "discovery", r.discovery.Addr); err != nil {
			return nil, err
		}
		for _, replica := range r.Replicas {
			addr, err := r.ProxyAddr(z.p.Name, replica.Name, replica.Addr)
			if err != nil {
				return nil, err
			}
			z.spec.Replicas = append(z.spec.Replicas, addr)
			r.Observe(z.p.Name, replica.Name, r.renewals.observe)
		}
		if err := r.writeSpec(z); err != nil {
			return nil, err
		}
		if err := z.p.Start(); err != nil {
			return nil, err
		}
		r.zones = append(r.zones, z)
	}
	if err := cluster.Until(ctx, "a replica leads", 20*time.Second, func() bool { p, _ := r.Leader(ctx); return p != nil }); err != nil {
		return nil, err
	}
	for _, z := range r.zones {
		if err := cluster.Until(ctx, z.p.Name+" responds", 20*time.Second, func() bool { return r.callZone(z, http.MethodGet, "/state", nil) == nil }); err != nil {
			return nil, fmt.Errorf("%w: %s", err, z.p.Log())
		}
		if err := r.callZone(z, http.MethodPost, "/collect", nil); err != nil {
			return nil, err
		}
		z.baseRSS = z.p.RSS()
	}
	// Publish the first version before any agent starts, so that an agent with a lease always reports an
	// epoch above 0.
	if _, err := r.publish(ctx, r.Replicas); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *controlRig) stop() {
	r.Close()
	if r.discovery != nil {
		r.discovery.Close()
	}
	r.client.CloseIdleConnections()
	os.RemoveAll(r.dir)
}

func (r *controlRig) writeSpec(z *hollowZone) error {
	text, err := json.Marshal(&z.spec)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(z.p.Dir, "spec.json"), text, 0o600)
}

func (r *controlRig) callZone(z *hollowZone, method, path string, out any) error {
	req, err := http.NewRequest(method, "http://"+z.p.Addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", z.p.Name, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// state returns what the hollow agents of a zone received.
func (r *controlRig) state(z *hollowZone) (*hollowState, error) {
	s := &hollowState{}
	return s, r.callZone(z, http.MethodGet, "/state", s)
}

// backendEntry returns the entry of the i-th backend. Nothing is sent to it.
func backendEntry(i int) membership.Entry {
	return membership.Entry{ID: fmt.Sprintf("b-%04d", i), Addr: fmt.Sprintf("127.0.%d.%d:9", 1+i/250, 1+i%250), Zone: zoneNames[i%len(zoneNames)],
		Kind: kindNames[0], State: membership.Up, Weight: 1, Cell: i}
}

// pollSlot returns the poll slot of the i-th agent. Slots are spread evenly for any number of agents.
func (r *controlRig) pollSlot(i int) int { return i * 617 % r.times.pollSlots }

// grow extends the deployment to n agents and n backends and waits until each agent holds a lease on the last
// version. realAgents of the agents are processes of the product.
func (r *controlRig) grow(ctx context.Context, n, realAgents int) error {
	var added []membership.Entry
	for i := r.n; i < n; i++ {
		added = append(added, backendEntry(i))
	}
	r.discovery.Update(added...)
	endpoints := r.discovery.List()
	from := time.Now()
	if len(r.realAgents) == 0 {
		discoveryAddr, err := r.ProxyAddr("reals", "discovery", r.discovery.Addr)
		if err != nil {
			return err
		}
		if err := r.AddAgents(realAgents, &cluster.AgentConfig{
			SettingsOf: func(i int) json.RawMessage {
				return agentSettings(r.pollSlot(i), r.times.pollSlots, r.times.pollIntervalMs)
			},
			Discovery: discoveryAddr, InitialEndpoints: endpoints, OnExpiry: "refuse",
		}); err != nil {
			return err
		}
		for _, a := range r.Agents {
			r.realAgents = append(r.realAgents, a.Name)
			for _, replica := range r.Replicas {
				r.Observe(a.Name, replica.Name, r.renewals.observe)
			}
			if err := a.Start(); err != nil {
				return err
			}
		}
		r.n = realAgents
	}
	for i := r.n; i < n; i++ {
		z := r.zones[i%len(r.zones)]
		name := fmt.Sprintf("h%04d", i)
		z.names = append(z.names, name)
		z.spec.Agents = append(z.spec.Agents, hollowAgentSpec{Name: name, PollSlot: r.pollSlot(i), PollSlots: r.times.pollSlots})
	}
	r.n = n
	for _, z := range r.zones {
		z.spec.CachedEndpoints = endpoints
		if err := r.writeSpec(z); err != nil {
			return err
		}
		if err := r.callZone(z, http.MethodPost, "/start", nil); err != nil {
			return err
		}
	}
	if _, err := r.awaitEpoch(ctx, r.names(nil), sharedconfig.EpochOf(r.version), from, 60*time.Second); err != nil {
		return err
	}
	return r.awaitDiscovery(ctx)
}

// awaitDiscovery waits until every hollow agent follows discovery. An agent starts to do so in its poll slot,
// long after it has the list it was started with. So this adds a draining backend and waits until every agent
// lists it.
func (r *controlRig) awaitDiscovery(ctx context.Context) error {
	e := backendEntry(r.n + r.extraBackends)
	e.ID, e.State = fmt.Sprintf("more-%d", r.extraBackends), membership.Draining
	r.extraBackends++
	r.discovery.Update(e)
	for _, z := range r.zones {
		if len(z.names) == 0 {
			continue
		}
		minListed := 0
		if err := cluster.Until(ctx, z.p.Name+" follows discovery", 60*time.Second, func() bool {
			s, err := r.state(z)
			if err == nil {
				minListed = s.MinListed
			}
			return minListed >= r.n+r.extraBackends
		}); err != nil {
			return fmt.Errorf("%w: an agent lists %d of %d backends; end of the log: %s", err, minListed, r.n+r.extraBackends, tail(z.p.Log(), 1000))
		}
	}
	return nil
}

// tail returns the end of a text, at most limit bytes.
func tail(text string, limit int) string { return text[max(len(text)-limit, 0):] }

// names returns the names of the agents in the zones for which in returns true; nil: of all agents.
func (r *controlRig) names(in func(zone int) bool) (names []string) {
	for i, n := range r.realAgents {
		if in == nil || in(i%len(zoneNames)) {
			names = append(names, n)
		}
	}
	for i, z := range r.zones {
		if in == nil || in(i) {
			names = append(names, z.names...)
		}
	}
	return names
}

// term returns the term of the leader, 0 if no replica reports itself as leader.
func (r *controlRig) term(ctx context.Context) float64 {
	if _, s := r.Leader(ctx); s != nil {
		return float64(s.Term)
	}
	return 0
}

// highestTerm returns the highest term known to any replica. Unlike term it waits for slow replicas.
func (r *controlRig) highestTerm(ctx context.Context) (float64, error) {
	var last atomic.Uint64
	err := cluster.Until(ctx, "a replica reports its term", 30*time.Second, func() bool {
		var calls sync.WaitGroup
		for _, replica := range r.Replicas {
			calls.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				s := &client.Status{}
				if r.Call(callCtx, replica, client.PathStatus, nil, s) != nil {
					return
				}
				for seen := last.Load(); s.Term > seen && !last.CompareAndSwap(seen, s.Term); seen = last.Load() {
				}
			})
		}
		calls.Wait()
		return last.Load() > 0
	})
	return float64(last.Load()), err
}

// logElections logs what the replicas report about elections since the last call and about delays, and
// returns how many elections were started or leaderships given up. This is the replicas' own report, which
// helps to find causes; the test's checks rely on other counts.
func (r *controlRig) logElections(ctx context.Context, when string) (n int) {
	for _, replica := range r.Replicas {
		newest := ""
		for line := range strings.Lines(replica.Log()) {
			if at, _, ok := strings.Cut(line, " level="); ok && strings.Contains(line, `msg="election: `) && at > r.lastElectionLog[replica.Name] {
				newest, n = at, n+1
				r.o.logf("  %s, %s: %s", when, replica.Name, strings.TrimSpace(line))
			}
		}
		r.lastElectionLog[replica.Name] = max(r.lastElectionLog[replica.Name], newest)
		s := &client.Status{}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		if err := r.Call(callCtx, replica, client.PathStatus, nil, s); err != nil {
			r.o.logf("  %s, %s: %v", when, replica.Name, err)
		} else {
			longest := map[string]int{}
			for kind, ms := range s.Loop.LongestMs {
				longest[kind] = int(ms)
			}
			r.o.logf("  %s, %s: leader %s, term %d, %d ticks lost, %d elections started, stepped down %d times, queue at most %d; longest steps since its start, ms: %v",
				when, replica.Name, s.Leader, s.Term, s.Loop.LostTicks, s.Loop.Elections, s.Loop.SteppedDown, s.Loop.Queue, longest)
		}
		cancel()
	}
	return n
}

// replicasReached reports whether the replicas respond and have reached an epoch.
func (r *controlRig) replicasReached(ctx context.Context, replicas []*cluster.Process, epoch uint64) bool {
	for _, replica := range replicas {
		s := &client.Status{}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := r.Call(callCtx, replica, client.PathStatus, nil, s)
		cancel()
		if err != nil || s.Epoch < epoch {
			return false
		}
	}
	return true
}

// awaitEpoch waits until all agents have reported an epoch, and returns their sorted latencies since from.
func (r *controlRig) awaitEpoch(ctx context.Context, agents []string, epoch uint64, from time.Time, within time.Duration) ([]time.Duration, error) {
	var times []time.Duration
	var missing []string
	err := cluster.Until(ctx, fmt.Sprintf("all %d agents have epoch %d", len(agents), epoch), within, func() bool {
		times, missing = r.renewals.latencies(agents, epoch, from)
		return len(missing) == 0
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %d agents do not, among them %v", err, len(missing), missing[:min(len(missing), 3)])
	}
	slices.Sort(times)
	return times, nil
}

// publish publishes the next version, trying the replicas in turn until one accepts it, and returns the time
// at which it started.
func (r *controlRig) publish(ctx context.Context, at []*cluster.Process) (from time.Time, err error) {
	from = time.Now()
	next := r.version + 1
	err = cluster.Until(ctx, "a publish is accepted", 30*time.Second, func() bool {
		for _, replica := range at {
			callCtx, cancel := context.WithTimeout(ctx, r.times.publishTime())
			out, err := r.Publish(callCtx, replica, fmt.Sprintf("v%d", next), r.version, configOf(next))
			cancel()
			if err == nil && out.Number == next {
				r.version = next
				return true
			}
		}
		return false
	})
	return from, err
}

// publishChanges publishes n versions, each once the agents have reported the one before. It returns each
// agent's latencies, sorted per change; with an error, those of the changes before the failed one.
func (r *controlRig) publishChanges(ctx context.Context, n int, at []*cluster.Process, names []string) (latencies changeLatencies, err error) {
	for range n {
		from, err := r.publish(ctx, at)
		if err != nil {
			return latencies, err
		}
		times, err := r.awaitEpoch(ctx, names, sharedconfig.EpochOf(r.version), from, 30*time.Second)
		if err != nil {
			return latencies, err
		}
		latencies = append(latencies, times)
	}
	return latencies, nil
}

// changeLatencies are the sorted latencies of all agents, for each change.
type changeLatencies [][]time.Duration

// slowestAgent returns, sorted, the latency of the slowest agent for each change.
func (l changeLatencies) slowestAgent() (all []time.Duration) {
	for _, times := range l {
		all = append(all, times[len(times)-1])
	}
	slices.Sort(all)
	return all
}

// perAgent returns the sorted latencies of all agents and changes.
func (l changeLatencies) perAgent() []time.Duration {
	all := slices.Concat(l...)
	slices.Sort(all)
	return all
}

// percentile returns the percentile of sorted times, 0 if there are none.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// usageSnapshot is the cumulative usage at one time.
type usageSnapshot struct {
	at                                time.Time
	realCPU, hollowCPU, replicaCPU    time.Duration
	cpuByReplica                      []time.Duration
	realBytes, hollowBytes            int64 // to and from discovery and replicas
	discoveryBytes                    int64
	replicaBytes                      int64 // between replicas
	discoveryCalls                    int
	renewals, immediateRenewals       int64
	realRSS, hollowRSS, maxReplicaRSS int64
	replicaState                      int64
}

func (r *controlRig) takeSnapshot() (u usageSnapshot) {
	u = usageSnapshot{at: time.Now(), discoveryCalls: r.discovery.Calls()}
	u.renewals, u.immediateRenewals = r.renewals.count()
	both := func(a, b string) int64 { return r.BytesSent(a, b) + r.BytesSent(b, a) }
	u.realBytes = both("reals", "discovery")
	u.discoveryBytes = u.realBytes
	for _, a := range r.Agents {
		u.realCPU += a.CPU()
		u.realRSS += a.RSS()
		for _, replica := range r.Replicas {
			u.realBytes += both(a.Name, replica.Name)
		}
	}
	for _, z := range r.zones {
		u.hollowCPU += z.p.CPU()
		u.hollowRSS += z.p.RSS() - z.baseRSS
		u.hollowBytes += both(z.p.Name, "discovery")
		u.discoveryBytes += both(z.p.Name, "discovery")
		for _, replica := range r.Replicas {
			u.hollowBytes += both(z.p.Name, replica.Name)
		}
	}
	for i, replica := range r.Replicas {
		cpu := replica.CPU()
		u.cpuByReplica = append(u.cpuByReplica, cpu)
		u.replicaCPU += cpu
		u.maxReplicaRSS = max(u.maxReplicaRSS, replica.RSS())
		u.replicaState = max(u.replicaState, directorySize(replica.Data))
		for _, other := range r.Replicas[i+1:] {
			u.replicaBytes += both(replica.Name, other.Name)
		}
	}
	return u
}

// directorySize returns the total size of the files in a directory, in bytes.
func directorySize(dir string) (sum int64) {
	filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() {
			if info, err := d.Info(); err == nil {
				sum += info.Size()
			}
		}
		return nil
	})
	return sum
}

// rate is the usage of the deployment during an interval, per second.
type rate struct {
	span                                                  float64 // s
	realCPU, hollowCPU                                    float64 // % of a core per agent
	realKB, hollowKB                                      float64 // KB/s per agent
	realMB, hollowMB                                      float64 // per agent
	replicaCPU, busiestReplicaCPU                         float64 // % of a core: all replicas, the busiest one
	replicaMB, replicaStateKB, replicaKB                  float64
	discoveryCalls, discoveryKB, renewals, agentReplicaKB float64 // per second
}

func (r *controlRig) rate(a, b *usageSnapshot) (x rate) {
	x.span = b.at.Sub(a.at).Seconds()
	realAgents, hollows := float64(len(r.realAgents)), float64(r.n-len(r.realAgents))
	percent := func(d time.Duration) float64 { return 100 * d.Seconds() / x.span }
	kb := func(n int64) float64 { return float64(n) / 1024 / x.span }
	x.realCPU, x.hollowCPU = percent(b.realCPU-a.realCPU)/realAgents, percent(b.hollowCPU-a.hollowCPU)/hollows
	x.realKB, x.hollowKB = kb(b.realBytes-a.realBytes)/realAgents, kb(b.hollowBytes-a.hollowBytes)/hollows
	x.realMB, x.hollowMB = float64(b.realRSS)/realAgents/(1<<20), float64(b.hollowRSS)/hollows/(1<<20)
	x.replicaCPU = percent(b.replicaCPU - a.replicaCPU)
	for i := range b.cpuByReplica {
		x.busiestReplicaCPU = max(x.busiestReplicaCPU, percent(b.cpuByReplica[i]-a.cpuByReplica[i]))
	}
	x.replicaMB, x.replicaStateKB, x.replicaKB = float64(b.maxReplicaRSS)/(1<<20), float64(b.replicaState)/1024, kb(b.replicaBytes-a.replicaBytes)
	x.discoveryCalls, x.renewals = float64(b.discoveryCalls-a.discoveryCalls)/x.span, float64(b.renewals-a.renewals)/x.span
	x.discoveryKB = kb(b.discoveryBytes - a.discoveryBytes)
	x.agentReplicaKB = kb(b.realBytes + b.hollowBytes - b.discoveryBytes - a.realBytes - a.hollowBytes + a.discoveryBytes)
	return x
}
