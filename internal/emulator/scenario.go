package emulator

// Scenario describes a run: servers, network, load and faults. All times are virtual.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`
	// Seconds is the length of a run. Results leave out its first WarmUpSeconds.
	Seconds       float64       `toml:"seconds"`
	WarmUpSeconds float64       `toml:"warm_seconds"`
	Zones         int           `toml:"zones"`
	Agents        int           `toml:"agents"`
	Servers       []ServerGroup `toml:"servers"`
	Network       Network       `toml:"net"`
	Load          Load          `toml:"load"`
	Discovery     Discovery     `toml:"roster"`
	Faults        []Fault       `toml:"fault"`
	Classes       []ClassLoad   `toml:"class"`
	Tenants       []Tenant      `toml:"tenant"`
	// FirstAgentFraction is the fraction of the load that is sent to the first agent; the rest is spread over
	// all agents evenly. 0: all agents get the same load.
	FirstAgentFraction float64 `toml:"one_agent"`
	// Graph is a graph of services. It determines servers, agents and the rate of the load.
	Graph *GraphSpec `toml:"graph"`
	graph *Graph
}

// ServerGroup is a number of identical servers, spread over the zones.
type ServerGroup struct {
	Count   int          `toml:"count"`
	Workers int          `toml:"workers"` // requests that a server runs concurrently
	Queue   int          `toml:"queue"`   // maximum queue length; further requests are rejected
	Service Distribution `toml:"service"`
	// LIFO serves the newest request first while the queue is more than half full (adaptive LIFO).
	LIFO   bool    `toml:"lifo"`
	Weight float64 `toml:"weight"`
	// SlowStartMinCapacity is the fraction of its full speed at which a process starts, SlowStartMs the time
	// until it reaches full speed.
	SlowStartMinCapacity float64 `toml:"cold_from"`
	SlowStartMs          float64 `toml:"cold_ms"`
	// OverloadFactor: a server in slow start restarts if the requests of the last second exceed this multiple
	// of its capacity; 0: never.
	OverloadFactor float64  `toml:"fall_multiple"`
	KeyCache       KeyCache `toml:"warm"`
	// Report is the kind of load reports that servers send: "" (correct, up to 0.1 s old), "late" (up to 1.4
	// s old), "none", "some" (only every other server sends them), "frozen" (not updated after the first
	// second), "idle" (utilization 0), "busy" (utilization 1) or "nan" (utilization not a number).
	Report        string  `toml:"report"`
	nestedCallsMs float64 // mean time of a request's nested calls, during which its worker is occupied
}

// Kinds of load reports.
const (
	reportCorrect = ""
	reportLate    = "late"
	reportNone    = "none"
	reportSome    = "some"
	reportFrozen  = "frozen"
	reportIdle    = "idle"
	reportBusy    = "busy"
	reportNaN     = "nan"
)

var reportKinds = map[string]bool{
	reportCorrect: true,
	reportLate:    true,
	reportNone:    true,
	reportSome:    true,
	reportFrozen:  true,
	reportIdle:    true,
	reportBusy:    true,
	reportNaN:     true,
}

// Network is the delay and loss of messages.
type Network struct {
	LocalMs  float64 `toml:"local_ms"`  // one way inside a zone
	CrossMs  float64 `toml:"cross_ms"`  // one way between zones
	JitterMs float64 `toml:"jitter_ms"` // mean of an exponentially distributed addition
	Resets   float64 `toml:"resets"`    // fraction of requests whose connection is reset after they ran
}

// Load is the requests of the clients, in an open loop: arrivals do not wait for answers.
type Load struct {
	PerS float64 `toml:"per_s"` // over all agents
	// Burst is the factor on the rate during a burst (a Markov-modulated Poisson process); 0 or 1: no bursts.
	// A burst lasts BurstMs on average. Between bursts the rate is lower, so that the mean is PerS for
	// factors up to 10.
	Burst   float64 `toml:"burst"`
	BurstMs float64 `toml:"burst_ms"`
	// Swing is the relative amplitude, 0 to 1, of a daily load curve: one cosine period over the run.
	Swing float64 `toml:"swing"`
	Keys  int     `toml:"keys"` // 0: requests have no key
	Zipf  float64 `toml:"zipf"` // exponent of the popularity of keys
	// ImmediateRetry is the fraction of clients that retry at once and ignore Retry-After.
	ImmediateRetry float64 `toml:"rude"`
	// HotKey is the fraction of requests that have the same key.
	HotKey float64 `toml:"hot_key"`
}

// ClassLoad is a class of requests and its share of the load.
type ClassLoad struct {
	Name               string  `toml:"name"`
	Effect             string  `toml:"effect"` // "safe", "keyed" or "unsafe"
	Share              float64 `toml:"share"`  // of the load
	LatencyObjectiveMs float64 `toml:"aim_ms"`
	ClientTimeoutMs    float64 `toml:"give_up_ms"`
	Work               float64 `toml:"work"`  // factor on the service time
	PriorityWeight     float64 `toml:"worth"` // 0: 1, 2 and 5 for safe, keyed and unsafe requests
}

// The effects of classes.
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
)

// Discovery is the discovery service that agents get the endpoint list from.
type Discovery struct {
	LagMs float64        `toml:"lag_ms"` // minimum delay of a watch event; each agent adds a random 0 to LagMs
	Queue DiscoveryQueue `toml:"line"`   // zero: all calls are answered at once
}

// Fault is a fault of servers, agents, clients, the network or the discovery service for some time.
type Fault struct {
	// Kind is one of:
	//   - "drain": graceful shutdown; agents are notified
	//   - "stop": connections are refused
	//   - "dark": servers do not answer
	//   - "restart": a new process at the same address, with slow start
	//   - "slow": Factor times slower
	//   - "slow_some": a Fraction of the requests is Factor times slower
	//   - "errors": a Fraction of the requests of Class fails
	//   - "turn_away": a Fraction of the requests is rejected
	//   - "stalls": a pause of DelayMs every IntervalS
	//   - "partition": Zone is cut off from all others
	//   - "one_way": answers from Zone are delayed by DelayMs
	//   - "roster_down": the discovery service is down
	//   - "surge": Factor times the load
	//   - "kill_agents": agents restart at once, with the endpoint list of the run's start
	Kind           string  `toml:"kind"`
	StartS         float64 `toml:"at_s"`
	DurationS      float64 `toml:"for_s"` // 0: to the end of the run
	ServerFraction float64 `toml:"share"` // fraction of the candidates that is hit, from the first on
	Count          int     `toml:"count"` // overrides ServerFraction; 0: not set
	// TargetZone, TargetService and TargetRack restrict the candidates. They count from 1; 0: no restriction.
	TargetZone    int `toml:"of_zone"`
	TargetService int `toml:"of_service"`
	TargetRack    int `toml:"of_rack"`
	// StaggerS is the time from one server to the next, as in a rolling update; 0: all are hit at once.
	StaggerS  float64 `toml:"every_s"`
	Factor    float64 `toml:"times"`
	Fraction  float64 `toml:"part"`
	Class     string  `toml:"class"` // "": all classes
	Zone      int     `toml:"zone"`  // from 0
	DelayMs   float64 `toml:"ms"`
	IntervalS float64 `toml:"pause_s"`
}

// classIndex returns the index of a class, or -1.
func (s *Scenario) classIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// drawClass returns the class that a random number from 0 to 1 selects.
func (s *Scenario) drawClass(x float64) int {
	class := 0
	for class < len(s.Classes)-1 && x >= s.Classes[class].Share {
		x -= s.Classes[class].Share
		class++
	}
	return class
}

// DefaultClasses returns the classes of a scenario that has none of its own.
func DefaultClasses() []ClassLoad {
	return []ClassLoad{
		{Name: "read", Effect: effectSafe, Share: 0.4, LatencyObjectiveMs: 200, ClientTimeoutMs: 800, Work: 1},
		{Name: "send", Effect: effectKeyed, Share: 0.3, LatencyObjectiveMs: 300, ClientTimeoutMs: 600, Work: 1},
		{Name: "order", Effect: effectUnsafe, Share: 0.3, LatencyObjectiveMs: 500, ClientTimeoutMs: 1200, Work: 1},
	}
}

// Capacity is the requests per second that all servers together can handle after slow start.
func (s *Scenario) Capacity() float64 {
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * max(c.Work, minWork)
	}
	if work == 0 {
		work = 1 // no classes: the same as for the default ones
	}
	total := 0.0
	for _, g := range s.Servers {
		if g.Service.MeanMs > 0 {
			total += float64(g.Count*g.Workers) * 1000 / (g.Service.MeanMs * work)
		}
	}
	return total
}
