package emulator

// Scenario is what a run plays. All times are virtual.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`
	// Seconds is the length of a run, WarmUpSeconds the part at its beginning that results leave out.
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
	// FirstAgentFraction is the part of the load that is sent to the first agent; 0: all agents get the same.
	FirstAgentFraction float64 `toml:"one_agent"`
	// Graph is a graph of services, from which servers, agents and the rate of the load follow.
	Graph *GraphSpec `toml:"graph"`
	graph *Graph
}

// ServerGroup is a number of servers alike, spread over the zones.
type ServerGroup struct {
	Count   int          `toml:"count"`
	Workers int          `toml:"workers"` // requests that run at a time
	Queue   int          `toml:"queue"`   // requests that wait; more are rejected
	Service Distribution `toml:"service"`
	// LIFO serves the newest request first while the queue is more than half full (adaptive LIFO).
	LIFO   bool    `toml:"lifo"`
	Weight float64 `toml:"weight"`
	// SlowStartMinCapacity is the part of its speed at which a process starts, SlowStartMs how long it takes
	// to be warm.
	SlowStartMinCapacity float64 `toml:"cold_from"`
	SlowStartMs          float64 `toml:"cold_ms"`
	// OverloadFactor: a server in slow start that gets more than that many times its capacity over a second
	// restarts; 0: never.
	OverloadFactor float64  `toml:"fall_multiple"`
	KeyCache       KeyCache `toml:"warm"`
	// Report is what servers report of their load: "" (correct, up to 0.1 s old), "late" (up to 1.4 s old),
	// "none", "some" (every other server), "frozen" (as of the first second), "idle" (utilization 0), "busy"
	// (1) or "nan".
	Report        string  `toml:"report"`
	nestedCallsMs float64 // a request's calls of other services, which occupy its worker
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
	JitterMs float64 `toml:"jitter_ms"` // mean of an exponential addition
	Resets   float64 `toml:"resets"`    // part of requests whose connection is reset after they ran
}

// Load is what clients send, in an open loop.
type Load struct {
	PerS float64 `toml:"per_s"` // over all agents
	// Burst is the factor on the rate while a burst is on (a Markov-modulated Poisson process); 0 or 1: none.
	// A burst is on for BurstMs in the mean, and off for as long as keeps the mean rate.
	Burst   float64 `toml:"burst"`
	BurstMs float64 `toml:"burst_ms"`
	// Swing is the amplitude, 0 to 1, of a day's curve of the rate over the length of the run.
	Swing float64 `toml:"swing"`
	Keys  int     `toml:"keys"` // 0: requests have no key
	Zipf  float64 `toml:"zipf"` // exponent of the popularity of keys
	// ImmediateRetry is the part of clients that retry at once and ignore Retry-After.
	ImmediateRetry float64 `toml:"rude"`
	// HotKey is the part of requests that have the same key.
	HotKey float64 `toml:"hot_key"`
}

// ClassLoad is a class of requests and its part of the load.
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

// Discovery is the service that gives agents the endpoint list.
type Discovery struct {
	LagMs float64        `toml:"lag_ms"` // from a change to its watch event, and up to as much again for each agent
	Queue DiscoveryQueue `toml:"line"`   // zero: all calls are answered at once
}

// Fault happens to some servers, or to the network, for a time.
type Fault struct {
	// Kind is one of:
	//   - "drain": graceful shutdown, of which agents are notified
	//   - "stop": connections are refused
	//   - "dark": no answers
	//   - "restart": a new process at the same address, with slow start
	//   - "slow": Factor times slower
	//   - "slow_some": a Fraction of requests is Factor times slower
	//   - "errors": a Fraction of requests of Class fails
	//   - "turn_away": a Fraction of requests is rejected
	//   - "stalls": a pause of DelayMs every IntervalS
	//   - "partition": Zone is cut off from all others
	//   - "one_way": the answers from Zone are DelayMs late
	//   - "roster_down": the discovery service is down
	//   - "surge": Factor times the load
	//   - "kill_agents": agents restart at once, with the endpoint list of the run's start
	Kind           string  `toml:"kind"`
	StartS         float64 `toml:"at_s"`
	DurationS      float64 `toml:"for_s"` // 0: to the end of the run
	ServerFraction float64 `toml:"share"` // of the candidates, from the first on
	Count          int     `toml:"count"` // in place of ServerFraction
	// TargetZone, TargetService and TargetRack restrict the candidates; all count from 1, and 0 is no
	// restriction.
	TargetZone    int `toml:"of_zone"`
	TargetService int `toml:"of_service"`
	TargetRack    int `toml:"of_rack"`
	// StaggerS is the time between two servers, as in a rolling update; 0: all are hit at once.
	StaggerS  float64 `toml:"every_s"`
	Factor    float64 `toml:"times"`
	Fraction  float64 `toml:"part"`
	Class     string  `toml:"class"` // "": all
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

// drawClass returns the class of a request by a number from 0 to 1.
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

// Capacity is the requests per second that all servers can handle when warm.
func (s *Scenario) Capacity() float64 {
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * max(c.Work, minWork)
	}
	if work == 0 {
		work = 1 // of the default classes
	}
	total := 0.0
	for _, g := range s.Servers {
		if g.Service.MeanMs > 0 {
			total += float64(g.Count*g.Workers) * 1000 / (g.Service.MeanMs * work)
		}
	}
	return total
}
