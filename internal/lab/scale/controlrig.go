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

// zoneNames are the six zones of two regions, three each; kindNames the kinds of machines.
var zoneNames, kindNames = []string{"a1", "a2", "a3", "b1", "b2", "b3"}, []string{"fast"}

// regionOf is the region of a zone by its number.
func regionOf(zone int) int { return zone / (len(zoneNames) / 2) }

// agentSettings are those of the agent whose turn is index among of: three classes of its own service, lists asked for
// from a discovery that all share, the contract's times.
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

// services is how many services' classes the book of rules has.
const services = 82

// bookOf is the book of a version: a class each service, a mark that differs from version to version, and for every
// other version another ban, so that its word on servers differs too.
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

// askWitness sees agents' asks on their ways to the keepers: it reads who has which stage, and counts. What it sees is the
// word of each agent as it leaves the agent.
type renewalObserver struct {
	mu        sync.Mutex
	calls     int64
	immediate int64         // those that wait for nothing, as one behind a failed one does
	per100ms  map[int64]int // asks in each 100 ms of Unix time
	epochs    map[string][]epochAt
}

type epochAt struct {
	epoch uint64
	at    time.Time
}

func newRenewalObserver() *renewalObserver {
	return &renewalObserver{epochs: map[string][]epochAt{}, per100ms: map[int64]int{}}
}

// saw takes a piece of what was sent. An ask is one write of under 4 KB, so one piece.
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

// peak is the most asks that came in 100 ms since from.
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

// forget forgets what agents have: they are started anew.
func (o *renewalObserver) forget(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range names {
		delete(o.epochs, n)
	}
}

// took is how long behind from each of the agents first said that it has the stage or a later one, but for those that
// are missing.
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

// controlTimes are the times by which the parts of a rig go, ms.
type controlTimes struct {
	pollSlots      int     // agents among which each has its turn at discovery
	pollIntervalMs float64 // the contract's time for a list, over which agents spread their first calls
	leaseMs        float64
	serverRulesMs  float64
	tickMs         float64 // of keepers; 0: their default
	syncDelayMs    int     // what a sync takes more while keepers' disks are slow; 0: they never are
}

// publishTime is for one keeper to answer a publish: it waits for some syncs, one behind the other.
func (t *controlTimes) publishTime() time.Duration {
	return time.Second + 4*time.Duration(t.syncDelayMs)*time.Millisecond
}

// controlRig is keepers, hollow and real agents and a stand-in discovery, every way between them through the lab's own
// process, heartbeats of keepers too: on a machine without a core to spare that delays them, so terms of keepers are
// counted beside the time that changes take.
type controlRig struct {
	*cluster.Cluster
	o               *Options
	dir             string
	discovery       *lab.DiscoveryService
	renewals        *renewalObserver
	lastElectionLog map[string]string // by keeper: the time of the last election that it told of
	zones           []*hollowZone
	realAgents      []string // names of agents that are processes of the product; those of the cluster's, in order
	times           controlTimes
	n               int    // agents, and backends, there are
	extraBackends   int    // backends beside those, which were told to see who hears it
	version         uint64 // the last that was published
	defect          string
	client          *http.Client
}

// hollowZone is a process of the hollow agents of a zone.
type hollowZone struct {
	p       *cluster.Process
	spec    hollowSpec
	baseRSS int64 // RSS without agents
	names   []string
}

// The defects that the lab can seed: hollow agents that ask again at once; keepers whose loop waits for its disk, as it did
// before there was a writer beside it.
const defectNoWait, defectLoopWaits = "no-wait", "loop-waits"

func newControlRig(ctx context.Context, o *Options, defect string, times controlTimes) (r *controlRig, err error) {
	build := cluster.BuildProduct
	if times.syncDelayMs > 0 {
		build = cluster.Build // its disks can be slow
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
	rig := r // r is nil where an error is returned
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
	if err := cluster.Until(ctx, "a keeper leads", 20*time.Second, func() bool { p, _ := r.Leader(ctx); return p != nil }); err != nil {
		return nil, err
	}
	for _, z := range r.zones {
		if err := cluster.Until(ctx, z.p.Name+" answers", 20*time.Second, func() bool { return r.callZone(z, http.MethodGet, "/state", nil) == nil }); err != nil {
			return nil, fmt.Errorf("%w: %s", err, z.p.Log())
		}
		if err := r.callZone(z, http.MethodPost, "/collect", nil); err != nil {
			return nil, err
		}
		z.baseRSS = z.p.RSS()
	}
	// The first version is there before any agent: whoever holds a lease says a stage above 0.
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

// state is what the hollow agents' data paths of a zone were told.
func (r *controlRig) state(z *hollowZone) (*hollowState, error) {
	s := &hollowState{}
	return s, r.callZone(z, http.MethodGet, "/state", s)
}

// entry is the i-th backend; nobody sends to it.
func backendEntry(i int) membership.Entry {
	return membership.Entry{ID: fmt.Sprintf("b-%04d", i), Addr: fmt.Sprintf("127.0.%d.%d:9", 1+i/250, 1+i%250), Zone: zoneNames[i%len(zoneNames)],
		Kind: kindNames[0], State: membership.Up, Weight: 1, Cell: i}
}

// turn is the i-th agent's index, spread evenly however many there are so far.
func (r *controlRig) pollSlot(i int) int { return i * 617 % r.times.pollSlots }

// grow brings the deployment to n agents and as many backends, reals of them processes of the product, and waits until
// each holds a lease on the last version.
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
		if err := r.AddAgents(realAgents, &cluster.AgentConfig{SettingsOf: func(i int) json.RawMessage {
			return agentSettings(r.pollSlot(i), r.times.pollSlots, r.times.pollIntervalMs)
		}, Discovery: discoveryAddr,
			InitialEndpoints: endpoints, OnExpiry: "refuse"}); err != nil {
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

// followed waits until every hollow agent follows discovery: each begins to in its turn, long after it knows the list
// that came with its start. So one more entry is told, a backend that drains, until all count it.
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
			return fmt.Errorf("%w: one knows %d backends of %d; the end of its log: %s", err, minListed, r.n+r.extraBackends, tail(z.p.Log(), 1000))
		}
	}
	return nil
}

// tail is the end of a text.
func tail(text string, limit int) string { return text[max(len(text)-limit, 0):] }

// names are those of all agents of the zones for which in is true; nil: of all.
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

// term is that of the keeper that leads, 0 where none says that it does.
func (r *controlRig) term(ctx context.Context) float64 {
	if _, s := r.Leader(ctx); s != nil {
		return float64(s.Term)
	}
	return 0
}

// lastTerm is the last term that any keeper knows of. Unlike term it waits for keepers that are slow to answer.
func (r *controlRig) highestTerm(ctx context.Context) (float64, error) {
	var last atomic.Uint64
	err := cluster.Until(ctx, "a keeper tells its term", 30*time.Second, func() bool {
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

// elections tells what the keepers say of those that began since it was last called, and what held them up; it returns
// how many keepers began one, or led no more. It is their own word, for a reader who looks for a cause; what is judged is
// counted elsewhere.
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
			r.o.logf("  %s, %s: leader %s, term %d, %d ticks lost, %d elections begun, stepped down %d times, queue at most %d; longest ms since its start: %v",
				when, replica.Name, s.Leader, s.Term, s.Loop.LostTicks, s.Loop.Elections, s.Loop.SteppedDown, s.Loop.Queue, longest)
		}
		cancel()
	}
	return n
}

// up tells whether keepers answer and have a stage.
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

// held waits until all the agents have said that they have a stage, and returns after what time behind from, sorted.
func (r *controlRig) awaitEpoch(ctx context.Context, agents []string, epoch uint64, from time.Time, within time.Duration) ([]time.Duration, error) {
	var times []time.Duration
	var missing []string
	err := cluster.Until(ctx, fmt.Sprintf("all of %d agents have stage %d", len(agents), epoch), within, func() bool {
		times, missing = r.renewals.latencies(agents, epoch, from)
		return len(missing) == 0
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %d are missing, %v first", err, len(missing), missing[:min(len(missing), 3)])
	}
	slices.Sort(times)
	return times, nil
}

// publish publishes the next version at one of the keepers, one after the other until one takes it, and returns when
// that began.
func (r *controlRig) publish(ctx context.Context, at []*cluster.Process) (from time.Time, err error) {
	from = time.Now()
	next := r.version + 1
	err = cluster.Until(ctx, "a publish is taken", 30*time.Second, func() bool {
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

// changes publishes versions, one behind the other, and waits each time until the agents have it; the times are each
// agent's, change by change, sorted; with an error those of the changes before the one that failed.
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

// inForce is how long changes took until each of the agents had them, a sorted list a change.
type changeLatencies [][]time.Duration

// everywhere are the times until the last agent had it, sorted.
func (l changeLatencies) slowestAgent() (all []time.Duration) {
	for _, times := range l {
		all = append(all, times[len(times)-1])
	}
	slices.Sort(all)
	return all
}

// agents are the times of all agents and changes, sorted.
func (l changeLatencies) perAgent() []time.Duration {
	all := slices.Concat(l...)
	slices.Sort(all)
	return all
}

// percentile of sorted times; 0 where there are none.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// counted is what was counted by a moment.
type usageSnapshot struct {
	at                                time.Time
	realCPU, hollowCPU, replicaCPU    time.Duration
	cpuByReplica                      []time.Duration
	realBytes, hollowBytes            int64 // to and from discovery and keepers
	discoveryBytes                    int64
	replicaBytes                      int64 // among keepers
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

// folder is how many bytes the files of a folder have.
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

// rate is what a stretch of time used, a second, of a fleet.
type rate struct {
	span                                                  float64 // s
	realCPU, hollowCPU                                    float64 // % of a core, an agent
	realKB, hollowKB                                      float64 // KB/s, an agent
	realMB, hollowMB                                      float64 // an agent
	replicaCPU, busiestReplicaCPU                         float64 // % of a core: all keepers, the busiest
	replicaMB, replicaStateKB, replicaKB                  float64
	discoveryCalls, discoveryKB, renewals, agentReplicaKB float64 // a second
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
