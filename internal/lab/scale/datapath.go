package scale

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ringtrack.example/ringtrack/internal/lab"
	"ringtrack.example/ringtrack/internal/lab/cluster"
	"ringtrack.example/ringtrack/internal/lab/world"
	"ringtrack.example/ringtrack/internal/membership"
)

const (
	// callsPerS is the rate of calls on each route, changesPerS the rate of changes of the endpoint list.
	callsPerS, changesPerS = 120, 10
	// warmUpCallsPerS and warmUpCallsPerBackend are the rate and the number per backend of the calls before
	// the measurement. They open the connections, which in a deployment were opened by calls long before.
	// Connections opened later replace ones that were idle for backendIdleTimeout.
	warmUpCallsPerS, warmUpCallsPerBackend = 1500, 2
	// routeClients is the number of connections that share a route's calls.
	routeClients = 4
	// maxAddedLatency bounds what an agent may add to the 99th percentile.
	maxAddedLatency = 570 * time.Microsecond
	// maxRatioToPlain bounds the latency of the agent's fastest calls, the quantile fastestQuantile, relative
	// to that of the plain proxy in the same run. Other load on the machine affects both, and these calls
	// least: on a machine with 64 threads for 8 cores quartiles were too noisy.
	maxRatioToPlain, fastestQuantile = 4, 0.05
	// minJudgedScale is the smallest scale at which maxAddedLatency is checked; below it there are too few
	// calls for a p99.
	minJudgedScale = 0.1
	// callTimeout is the timeout of a call, far above the expected latency so that a slow machine fails none.
	callTimeout = 5 * time.Second
	// backendIdleTimeout is the time for which the agent keeps idle connections to backends: half of
	// keepaliveMs.
	backendIdleTimeout = 15 * time.Second
	// readyTimeout is the timeout for a process to become ready.
	readyTimeout = 20 * time.Second
	// maxClientIdle is how long an idle connection of a client may be reused: the agent closes it after 10 s.
	maxClientIdle = 5 * time.Second
	// chainLength is the number of agents in a chain.
	chainLength = 6
	// idleTime, callsTime and changesTime apply to each size, chainTime to the chain, at scale 1.
	idleTime, callsTime, changesTime, chainTime = 7 * time.Second, 18 * time.Second, 6 * time.Second, 20 * time.Second
)

// backendSizes are the numbers of listed backends. Lines are fitted to all but the last, which they predict.
var backendSizes = []int{chainLength, 100, 470, 940}

var dataPathTest = Test{Name: "data-path", Quick: 0.18, Smallest: 0.01, Defect: "backends behind agents respond 20 ms later",
	About: "Latency the agent adds compared with a plain proxy, and its usage, by number of listed backends; a chain of six agents.",
	Run: func(ctx context.Context, o *Options) (*Report, error) {
		d := &dataPath{o: o, r: &Report{Test: "data-path", Seed: o.Seed, Scale: o.Scale}}
		if o.Defect {
			d.defectDelay = 20 * time.Millisecond
		}
		return d.run(ctx)
	}}

// dataPath is one run of the test. Each size, and the chain, has its own processes of the product (built with
// the tag lab, which does not change an agent without the lab's environment variables). Calls are made at a
// steady rate, alternately through the agent, through a plain proxy in its own process, and directly to the
// backends, so that the cost of the machine and the client affects all three alike. Clients, backends and
// discovery run in the lab's process.
type dataPath struct {
	o *Options
	r *Report
	// defectDelay is the injected defect: the additional response time of backends behind the agent.
	defectDelay time.Duration

	c       *cluster.Cluster
	rng     *rand.Rand
	servers []*lab.Backend
	figures sizedFigures
}

// The routes of calls. The identifier of an operation starts with the name of its route, so that a backend
// knows the route.
const (
	viaAgent = iota
	viaPlain
	viaNone
	routeCount
)

var routeNames = [routeCount]string{"agent", "plain", "direct"}

// route is a route and the measurements of its calls.
type route struct {
	addrs         []string        // addresses that clients connect to
	pid           int             // of the process on the route; 0: none
	latencies     []time.Duration // from the first byte written to the last byte read
	calmLatencies []time.Duration // latencies of the half of the calls with the lowest coreWaits
	coreWaits     []time.Duration // time for which threads of process, client and backends waited for a core during a call
	cpuTimes      []time.Duration // processor time of the process during a call
	sendDelays    []time.Duration // delay from the due time of a call to its start, caused by client and machine
	mu            sync.Mutex
	failures      []string // responses to calls that were not served
}

// dial opens a route's connections.
func (r *route) dial() (clients []*world.Client, err error) {
	for i := range routeClients {
		c, err := world.HTTP.Dial(r.addrs[i%len(r.addrs)], 10*time.Minute)
		if err != nil {
			return clients, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// request returns the i-th request of a route. Requests cycle through the classes of effects.
func request(route, i int, key string) *world.Request {
	classes := []struct {
		name   string
		effect lab.Effect
	}{{"read", lab.Idempotent}, {"send", lab.IdempotentByKey}, {"order", lab.NonIdempotent}}
	class := classes[i%len(classes)]
	return &world.Request{Op: fmt.Sprintf("%s-%d", routeNames[route], lastOp.Add(1)), Method: class.name, Effect: class.effect, Key: key, Timeout: callTimeout}
}

// lastOp is the number of the last operation.
var lastOp atomic.Int64

// schedulerTimes returns the processor time of the route's process, and the time that its threads and those
// of client and backends waited for a core.
func (r *route) schedulerTimes() (cpu, wait time.Duration, err error) {
	if _, wait, err = schedulerTimes(os.Getpid()); err != nil || r.pid == 0 {
		return 0, wait, err
	}
	cpu, own, err := schedulerTimes(r.pid)
	return cpu, wait + own, err
}

// call makes the j-th call of a route.
func (r *route) call(j int, c *world.Client, text []byte) (a world.Answer, err error) {
	cpu, wait, err := r.schedulerTimes()
	if err != nil {
		return a, err
	}
	from := time.Now()
	if _, err = c.Write(text); err != nil {
		return a, err
	}
	a, err = c.Read()
	r.latencies[j] = time.Since(from)
	if err != nil {
		return a, err
	}
	cpuThen, waitThen, err := r.schedulerTimes()
	r.cpuTimes[j], r.coreWaits[j] = cpuThen-cpu, waitThen-wait
	return a, err
}

// sortResults sorts the measurements, and selects those of the calmer half of the calls.
func (r *route) sortResults() {
	order := make([]int, len(r.latencies))
	for j := range order {
		order[j] = j
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(r.coreWaits[a], r.coreWaits[b]) })
	r.calmLatencies = nil
	for _, j := range order[:(len(order)+1)/2] {
		r.calmLatencies = append(r.calmLatencies, r.latencies[j])
	}
	for _, times := range [][]time.Duration{r.latencies, r.calmLatencies, r.coreWaits, r.cpuTimes, r.sendDelays} {
		slices.Sort(times)
	}
}

// sendCalls sends n calls on each route at the rate, on new connections, in an open loop. Within each period
// the routes take their turns in random order.
func (d *dataPath) sendCalls(ctx context.Context, all *[routeCount]*route, n int, perS time.Duration) error {
	period := time.Second / perS
	position := d.rng.Perm(routeCount)
	var clients [routeCount][]*world.Client
	defer func() {
		for _, c := range slices.Concat(clients[:]...) {
			c.Close()
		}
	}()
	for i, rt := range all {
		var err error
		if clients[i], err = rt.dial(); err != nil {
			return err
		}
	}
	began := time.Now().Add(period)
	errs := make([]error, routeCount*routeClients)
	var senders sync.WaitGroup
	for i, rt := range all {
		for _, times := range []*[]time.Duration{&rt.latencies, &rt.coreWaits, &rt.cpuTimes, &rt.sendDelays} {
			*times = make([]time.Duration, n)
		}
		rt.failures = nil
		key := fmt.Sprint(d.rng.IntN(211))
		for k, c := range clients[i] {
			senders.Go(func() {
				for j := k; j < n && ctx.Err() == nil; j += routeClients {
					due := began.Add(time.Duration(j)*period + time.Duration(position[i])*period/routeCount)
					r := request(i, j, key+fmt.Sprint(j%31))
					text := world.HTTP.Encode(r)
					time.Sleep(time.Until(due))
					rt.sendDelays[j] = time.Since(due)
					a, err := rt.call(j, c, text)
					if err != nil {
						errs[i*routeClients+k] = fmt.Errorf("scale: %s: %w", r.Op, err)
						return
					}
					if a.Outcome != lab.Served {
						rt.mu.Lock()
						rt.failures = append(rt.failures, fmt.Sprintf("%s: %d %q", r.Op, a.Code, a.Text))
						rt.mu.Unlock()
					}
				}
			})
		}
	}
	senders.Wait()
	for _, rt := range all {
		rt.sortResults()
	}
	return errors.Join(append(errs, ctx.Err())...)
}

// quantile returns the quantile of sorted times, 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func millis(t time.Duration) float64 { return t.Seconds() * 1e3 }

// scaledTime returns a duration at the scale.
func (d *dataPath) scaledTime(t time.Duration) time.Duration {
	return time.Duration(d.o.Scale * float64(t))
}

// scaledCount returns the number of calls or changes in a duration at the scale.
func (d *dataPath) scaledCount(perS float64, t time.Duration, minimum int) int {
	return max(minimum, int(perS*d.scaledTime(t).Seconds()))
}

// backendCounts returns the numbers of listed backends at the scale. They shrink only below a scale of 0.1.
func (o *Options) backendCounts() (out []int) {
	for i, n := range backendSizes {
		out = append(out, max(backendSizes[0]+3*i, int(min(1, 10*o.Scale)*float64(n))))
	}
	return out
}

func (d *dataPath) addShort(format string, args ...any) {
	d.r.Short = append(d.r.Short, fmt.Sprintf(format, args...))
}

func (d *dataPath) run(ctx context.Context) (*Report, error) {
	d.rng = rand.New(rand.NewPCG(d.o.Seed, 0))
	bin, err := cluster.Build(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "data-path")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	d.c = cluster.New(dir, bin, 0)
	defer d.c.Close()
	defer func() {
		for _, s := range d.servers {
			s.Close()
		}
	}()
	sizes := d.o.backendCounts()
	last := sizes[len(sizes)-1]
	if err := d.addBackends(last); err != nil {
		return nil, err
	}
	for i, n := range sizes {
		if i == len(sizes)-1 {
			d.figures.logPredictions(d.o, n)
		}
		if err := d.measureSize(ctx, n); err != nil {
			return nil, err
		}
	}
	d.r.Lines = d.figures.lines()
	if err := d.measureChain(ctx); err != nil {
		return nil, err
	}
	return d.r, nil
}

// addBackends starts n more backends, in the zones of the settings.
func (d *dataPath) addBackends(n int) error {
	for range n {
		i := len(d.servers)
		s, err := lab.NewBackend(fmt.Sprintf("s-%04d", i), []string{"east", "west", "south"}[i%3], 0, nil)
		if err != nil {
			return err
		}
		if d.defectDelay > 0 {
			s.OnRequest(func(op string, _ time.Time) {
				if strings.HasPrefix(op, routeNames[viaAgent]) {
					time.Sleep(d.defectDelay)
				}
			})
		}
		d.servers = append(d.servers, s)
	}
	return nil
}

// dataPathSettings returns the cluster package's settings, changed so that the endpoint list is watched,
// connections are kept alive, and calls and connects have ample time: on a busy machine none fails, and none
// is rejected because others were late.
func dataPathSettings() (json.RawMessage, error) {
	var s map[string]any
	if err := json.Unmarshal([]byte(cluster.Settings), &s); err != nil {
		return nil, err
	}
	s["membershipMode"] = "pushed"
	limits := s["limits"].(map[string]any)
	limits["keepaliveMs"], limits["connectTimeoutMs"] = 2*backendIdleTimeout.Milliseconds(), callTimeout.Milliseconds()
	for _, c := range s["classes"].([]any) {
		class := c.(map[string]any)
		class["aimMs"], class["giveUpMs"] = callTimeout.Milliseconds(), callTimeout.Milliseconds()
	}
	return json.Marshal(s)
}

// runAgent starts an agent that watches a discovery service and has no admin endpoint.
func (d *dataPath) runAgent(name, addr string, discovery *lab.DiscoveryService) (*cluster.Process, error) {
	return startAgent(d.c, name, addr, "", d.o.Seed, discovery)
}

// startAgent starts an agent that watches a discovery service and has its admin endpoint at adminAddr; "": it
// has none.
func startAgent(c *cluster.Cluster, name, addr, adminAddr string, seed uint64, discovery *lab.DiscoveryService) (*cluster.Process, error) {
	p, err := c.AddProcess(name, addr, false, nil, "ringtrack")
	if err != nil {
		return nil, err
	}
	settingsJSON, err := dataPathSettings()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": addr, "discovery": discovery.Addr, "seed": fmt.Sprintf("%x", seed), "admin_addr": adminAddr,
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 4096}, "known": discovery.List(), "settings": settingsJSON})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(p.Dir, "config.json"), text, 0o600); err != nil {
		return nil, err
	}
	p.AdminAddr, p.Env = adminAddr, []string{"PROXY_CONFIG=config.json", "TMPDIR=" + p.Dir}
	return p, p.Start()
}

// startPlainProxy starts a plain proxy.
func (d *dataPath) startPlainProxy(name, addr string, backends []string) (*cluster.Process, error) {
	dir := filepath.Join(d.c.Dir, name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	p, err := newPlainProxy(dir, addr, backends)
	if err != nil {
		return nil, err
	}
	return p, p.Start()
}

// awaitReady waits until all processes are ready.
func awaitReady(ctx context.Context, all ...*cluster.Process) error {
	for _, p := range all {
		if err := cluster.AwaitReady(ctx, p, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// connectionsOpened returns the number of connections that a plain proxy has opened to backends.
func connectionsOpened(p *cluster.Process) (n int64, err error) {
	resp, err := http.Get("http://" + p.Addr + "/-/dials")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil {
		_, err = fmt.Sscan(string(text), &n)
	}
	return n, err
}

// connectionsAccepted and requestsBegun return the numbers of connections and requests that the backends have
// received.
func (d *dataPath) connectionsAccepted() (n int64) {
	for _, s := range d.servers {
		n += s.Accepted()
	}
	return n
}

func (d *dataPath) requestsBegun() (n int64) {
	for _, s := range d.servers {
		n += s.RequestCount()
	}
	return n
}

// measureSize measures an agent with n backends listed: idle, during calls, and while the list changes.
func (d *dataPath) measureSize(ctx context.Context, n int) error {
	d.o.logf("%d backends listed", n)
	var entries []membership.Entry
	var direct []string
	for _, s := range d.servers[:n] {
		entries = append(entries, s.Entry)
		direct = append(direct, s.Entry.Addr)
	}
	discovery, err := lab.NewDiscoveryService(entries...)
	if err != nil {
		return err
	}
	defer discovery.Close()
	addrs, err := d.c.Addrs(2)
	if err != nil {
		return err
	}
	agent, err := d.runAgent(fmt.Sprint("agent-", n), addrs[viaAgent], discovery)
	if err != nil {
		return err
	}
	defer agent.Kill()
	plain, err := d.startPlainProxy(fmt.Sprint("plain-", n), addrs[viaPlain], direct)
	if err != nil {
		return err
	}
	defer plain.Kill()
	if err := awaitReady(ctx, agent, plain); err != nil {
		return err
	}
	pids := []int{agent.PID(), plain.PID()}
	all := [routeCount]*route{viaAgent: {addrs: []string{agent.Addr}, pid: pids[viaAgent]}, viaPlain: {addrs: []string{plain.Addr}, pid: pids[viaPlain]},
		viaNone: {addrs: direct}}
	if err := d.sendCalls(ctx, &all, warmUpCallsPerBackend*n, warmUpCallsPerS); err != nil {
		return err
	}
	// Measure the agent idle.
	idle, err := measureUsage(ctx, pids, func() error { return sleep(ctx, d.scaledTime(idleTime)) })
	if err != nil {
		return err
	}
	d.figures.record(n, "idle", 100*idle[viaAgent].cpuShare(), "% of a core")
	d.figures.record(n, "idle bytes", float64(idle[viaAgent].Bytes)/idle[viaAgent].duration.Seconds(), "B/s")

	// Measure the agent during calls.
	calls := d.scaledCount(callsPerS, callsTime, 16)
	accepted, begun := d.connectionsAccepted(), d.requestsBegun()
	dialled, err := connectionsOpened(plain)
	if err != nil {
		return err
	}
	called, err := measureUsage(ctx, pids, func() error { return d.sendCalls(ctx, &all, calls, callsPerS) })
	if err != nil {
		return err
	}
	now, err := connectionsOpened(plain)
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("%d listed: ", n)
	d.reportLatencies(prefix, &all, 1)
	agentRoute, directRoute := all[viaAgent], all[viaNone]
	for _, q := range []float64{0.5, 0.99} {
		d.figures.record(n, fmt.Sprintf("added p%.0f", 100*q), millis(quantile(agentRoute.latencies, q)-quantile(directRoute.latencies, q)), "ms")
		d.figures.record(n, fmt.Sprintf("added p%.0f, calmer half", 100*q), millis(quantile(agentRoute.calmLatencies, q)-quantile(directRoute.calmLatencies, q)), "ms")
	}
	d.r.add(prefix+"attempts a call, all ways", float64(d.requestsBegun()-begun)/float64(routeCount*calls), "")
	d.r.add(prefix+"agent, connections opened a call", float64(d.connectionsAccepted()-accepted-(now-dialled))/float64(calls), "")
	d.r.add(prefix+"plain, connections opened a call", float64(now-dialled)/float64(calls), "")
	d.reportCost(prefix, called, calls)
	d.figures.record(n, "called at 120/s", 100*called[viaAgent].cpuShare(), "% of a core")
	d.figures.record(n, "bytes a call", float64(called[viaAgent].Bytes)/float64(calls), "B")

	// Measure the agent while the list changes.
	changes := d.scaledCount(changesPerS, changesTime, 1)
	changed, err := measureUsage(ctx, pids, func() error { return d.changeList(ctx, discovery, entries, changes) })
	if err != nil {
		return err
	}
	d.figures.record(n, "10 changes a second", 100*changed[viaAgent].cpuShare(), "% of a core")
	d.figures.record(n, "bytes a change", float64(changed[viaAgent].Bytes)/float64(changes), "B")
	d.figures.record(n, "memory", float64(changed[viaAgent].RSS)/1024, "MB")
	return nil
}

// changeList changes n entries of the list one by one, and returns once the agent has watched beyond the last
// change.
func (d *dataPath) changeList(ctx context.Context, discovery *lab.DiscoveryService, entries []membership.Entry, n int) error {
	for len(discovery.WatchIndexes) > 0 {
		<-discovery.WatchIndexes
	}
	var revision uint64
	began := time.Now()
	for i := range n {
		if err := sleep(ctx, time.Until(began.Add(time.Duration(i)*time.Second/changesPerS))); err != nil {
			return err
		}
		e := &entries[d.rng.IntN(len(entries))]
		e.Weight = 3 - e.Weight // alternates between 1 and 2
		revision = discovery.Set(*e)
	}
	timeout := time.After(readyTimeout)
	for {
		select {
		case index := <-discovery.WatchIndexes:
			if index >= revision {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("scale: the agent does not watch beyond revision %d of the endpoint list", revision)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reportLatencies reports the routes' latencies and checks them against the bounds. hops is the number of
// agents that a call passes.
func (d *dataPath) reportLatencies(prefix string, all *[routeCount]*route, hops int) {
	var added [routeCount]time.Duration
	for i, rt := range all {
		for _, q := range []float64{0.5, 0.99} {
			name := fmt.Sprintf("%s%s p%.0f", prefix, routeNames[i], 100*q)
			d.r.add(name, millis(quantile(rt.latencies, q)), "ms")
			if i != viaNone {
				added[i] = quantile(rt.latencies, q) - quantile(all[viaNone].latencies, q)
				d.r.add(name+" added", millis(added[i]), "ms")
			}
			if rt.pid != 0 {
				d.r.add(name+" added, calmer half", millis(quantile(rt.calmLatencies, q)-quantile(all[viaNone].calmLatencies, q)), "ms")
				d.r.add(name+" of processor time during a call", millis(quantile(rt.cpuTimes, q)), "ms")
			}
			d.r.add(fmt.Sprintf("%s%s, the client late p%.0f", prefix, routeNames[i], 100*q), millis(quantile(rt.sendDelays, q)), "ms")
		}
		if n := len(rt.failures); n > 0 {
			d.addShort("%s%s: %d of %d calls not served, the first: %s", prefix, routeNames[i], n, len(rt.latencies), rt.failures[0])
		}
	}
	ratio := float64(quantile(all[viaAgent].latencies, fastestQuantile)) / float64(max(1, quantile(all[viaPlain].latencies, fastestQuantile)))
	d.r.add(prefix+"agent by plain, fastest calls", ratio, "")
	if ratio > maxRatioToPlain {
		d.addShort("%sthe agent's fastest calls take %.1f times the plain proxy's, %d allowed", prefix, ratio, maxRatioToPlain)
	}
	d.r.add(prefix+"added p99, agent by plain", float64(added[viaAgent])/float64(max(1, added[viaPlain])), "")
	bound := time.Duration(hops) * maxAddedLatency
	d.r.add(prefix+"added p99 by the aim", float64(added[viaAgent])/float64(bound), "")
	if d.o.Scale >= minJudgedScale && added[viaAgent] > bound {
		d.addShort("%sadded p99 %.2f ms, limit %.2f ms; the plain proxy adds %.2f ms", prefix, millis(added[viaAgent]), millis(bound), millis(added[viaPlain]))
	}
}

// reportCost reports what agent and plain proxy used per call, for n calls.
func (d *dataPath) reportCost(prefix string, used []intervalUsage, n int) {
	for i, u := range used {
		d.r.add(prefix+routeNames[i]+", processor time a call", u.CPU.Seconds()*1e6/float64(n), "us")
		d.r.add(prefix+routeNames[i]+", wait for a core a call", u.Wait.Seconds()*1e6/float64(n), "us")
	}
}

// measureChain measures a chain of agents. Each backend calls the next agent, plain proxy or backend,
// depending on the route of the call it serves.
func (d *dataPath) measureChain(ctx context.Context) error {
	const backendsPerAgent = chainLength // backends of each agent
	first := len(d.servers)
	if err := d.addBackends(chainLength * backendsPerAgent); err != nil {
		return err
	}
	addrs, err := d.c.Addrs(2 * chainLength)
	if err != nil {
		return err
	}
	next := nextHop{idle: map[string][]idleConn{}}
	defer next.close()
	var started []*cluster.Process // alternately an agent and a plain proxy
	var pids []int
	var all [routeCount]*route
	for hop := range chainLength {
		servers := d.servers[first+hop*backendsPerAgent:][:backendsPerAgent]
		var entries []membership.Entry
		var backends []string
		for i, s := range servers {
			entries = append(entries, s.Entry)
			backends = append(backends, s.Entry.Addr)
			var to [routeCount]string
			if hop+1 < chainLength {
				to = [routeCount]string{addrs[hop+1], addrs[chainLength+hop+1], d.servers[first+(hop+1)*backendsPerAgent+i].Entry.Addr}
			}
			s.OnRequest(func(op string, _ time.Time) { next.callNext(op, &to, d.defectDelay) })
		}
		if hop == 0 {
			all = [routeCount]*route{viaAgent: {addrs: addrs[:1]}, viaPlain: {addrs: addrs[chainLength : chainLength+1]}, viaNone: {addrs: backends}}
		}
		discovery, err := lab.NewDiscoveryService(entries...)
		if err != nil {
			return err
		}
		defer discovery.Close()
		a, err := d.runAgent(fmt.Sprint("chain-", hop), addrs[hop], discovery)
		if err != nil {
			return err
		}
		defer a.Kill()
		p, err := d.startPlainProxy(fmt.Sprint("chain-plain-", hop), addrs[chainLength+hop], backends)
		if err != nil {
			return err
		}
		defer p.Kill()
		pids, started = append(pids, a.PID(), p.PID()), append(started, a, p)
	}
	if err := awaitReady(ctx, started...); err != nil {
		return err
	}
	if err := d.sendCalls(ctx, &all, warmUpCallsPerBackend*backendsPerAgent, warmUpCallsPerS); err != nil {
		return err
	}
	calls := d.scaledCount(callsPerS, chainTime, 16)
	used, err := measureUsage(ctx, pids, func() error { return d.sendCalls(ctx, &all, calls, callsPerS) })
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("chain of %d: ", chainLength)
	d.reportLatencies(prefix, &all, chainLength)
	prefix += "a hop, "
	var sum [viaNone]intervalUsage
	for i, u := range used {
		sum[i%viaNone].CPU += u.CPU
		sum[i%viaNone].Wait += u.Wait
	}
	d.reportCost(prefix, sum[:], chainLength*calls)
	next.mu.Lock()
	defer next.mu.Unlock()
	if n := len(next.failed); n > 0 {
		d.addShort("chain of %d: %d calls of backends not served, the first: %v", chainLength, n, next.failed[0])
	}
	return nil
}

// nextHop makes the calls of the backends in a chain, over pooled connections.
type nextHop struct {
	mu     sync.Mutex
	idle   map[string][]idleConn
	failed []error
}

// idleConn is an idle connection, and since when it is idle.
type idleConn struct {
	*world.Client
	since time.Time
}

// callNext calls the next hop on the route of an operation; the last backend has none.
func (h *nextHop) callNext(op string, to *[routeCount]string, delay time.Duration) {
	i := slices.IndexFunc(routeNames[:], func(name string) bool { return strings.HasPrefix(op, name) })
	if i < 0 {
		return
	}
	if i == viaAgent {
		time.Sleep(delay)
	}
	if to[i] == "" {
		return
	}
	if err := h.forward(i, to[i]); err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.failed = append(h.failed, fmt.Errorf("%s: %w", op, err))
	}
}

func (h *nextHop) forward(route int, addr string) error {
	h.mu.Lock()
	var c idleConn
	if list := h.idle[addr]; len(list) > 0 {
		c, h.idle[addr] = list[len(list)-1], list[:len(list)-1]
	}
	h.mu.Unlock()
	if c.Client != nil && time.Since(c.since) > maxClientIdle {
		c.Close()
		c.Client = nil
	}
	if c.Client == nil {
		var err error
		if c.Client, err = world.HTTP.Dial(addr, 10*time.Minute); err != nil {
			return err
		}
	}
	n := int(lastOp.Load())
	_, err := c.Write(world.HTTP.Encode(request(route, n, fmt.Sprint(n%211))))
	var a world.Answer
	if err == nil {
		a, err = c.Read()
	}
	if err != nil {
		c.Close()
		return err
	}
	c.since = time.Now()
	h.mu.Lock()
	h.idle[addr] = append(h.idle[addr], c)
	h.mu.Unlock()
	if a.Outcome != lab.Served {
		return fmt.Errorf("response %d %q", a.Code, a.Text)
	}
	return nil
}

func (h *nextHop) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// intervalUsage is what a process used in an interval.
type intervalUsage struct {
	usage
	duration time.Duration
}

// cpuShare returns the processor time as a share of a core.
func (s intervalUsage) cpuShare() float64 { return s.CPU.Seconds() / s.duration.Seconds() }

// measureUsage returns what processes use while f runs.
func measureUsage(ctx context.Context, pids []int, f func() error) ([]intervalUsage, error) {
	before := make([]usage, len(pids))
	var err error
	for i, pid := range pids {
		if before[i], err = readUsage(pid); err != nil {
			return nil, err
		}
	}
	from := time.Now()
	if err := f(); err != nil {
		return nil, err
	}
	out := make([]intervalUsage, len(pids))
	for i, pid := range pids {
		now, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		out[i] = intervalUsage{now.since(before[i]), time.Since(from)}
	}
	return out, ctx.Err()
}

// sleep waits until the time has passed or ctx is done.
func sleep(ctx context.Context, t time.Duration) error {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
	return ctx.Err()
}
