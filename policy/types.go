// Package policy implements the load-balancing decisions of one agent, the sidecar of one client: to which
// server and when each request is sent, with which timeout, whether it is retried, and when it is rejected.
//
// It is a state machine without I/O, clock or goroutines. The caller passes in events with the current time,
// in milliseconds of a monotonic clock, and carries out the returned actions in order.
//
// Each rule has its own file. types.go defines the interface to the caller, settings.go validates the
// settings, and balancer.go dispatches events to the rules.
package policy

// Addr identifies a server: four bytes of IP address and two of port. Addresses are compared and ordered;
// otherwise they are opaque here.
type Addr [6]byte

// RequestID identifies one request of the client. A retry by the client is a new request. IDs are never
// reused.
type RequestID uint32

// State is the health of a server as observed by the agent.
type State uint8

// The four states, best first.
const (
	Connected        State = iota // has served requests recently
	Unknown                       // not observed yet
	UnhealthyPending              // the ejection time is over; awaits validation
	Unhealthy                     // ejected
)

// Effect says whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	Idempotent      Effect = "free"        // may run any number of times
	IdempotentByKey Effect = "guarded"     // has a key by which servers in the dedup scope drop repeats
	NonIdempotent   Effect = "single_shot" // must never run twice
)

// DedupScope says which servers drop the repeat of a request with an idempotency key, relative to the server
// that may have run it first.
type DedupScope string

// The scopes a class may have.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// known reports whether the scope is one of the defined constants.
func (d DedupScope) known() bool { return d == ScopeAll || d == ScopeZone || d == ScopeCell }

// Class is one class of requests.
type Class struct {
	Name                string     `json:"name"`
	LatencyObjectiveMs  float64    `json:"aimMs"`
	ObjectiveWorkFactor float64    `json:"aimStretch"` // ms added to the objective per ms of hinted work
	ClientTimeoutMs     float64    `json:"giveUpMs"`
	Effect              Effect     `json:"effect"`
	DedupScope          DedupScope `json:"group"`     // for IdempotentByKey
	IdempotencyWindowMs float64    `json:"keyTtlMs"`  // for IdempotentByKey: how long repeats are dropped
	PriorityWeight      float64    `json:"credit"`    // value of a request served within its objective
	LateCredit          float64    `json:"lateShare"` // fraction of the value that a late answer earns
	Streamed            bool       `json:"streamed"`
}

// Tenant is a customer with a quota of the servers' capacity.
type Tenant struct {
	Name        string  `json:"name"`
	QuotaPerS   float64 `json:"quotaPerS"` // requests per second, over all agents
	QuotaWeight float64 `json:"portion"`   // its share of the served requests
}

// Limits are the restrictions that a deployment places on an agent.
type Limits struct {
	Cancelling       bool    `json:"cancelling"`       // ActionCancel is permitted
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"` // timeout of a connect
	KeepaliveMs      float64 `json:"keepaliveMs"`      // idle connections are closed after this time
	MaxAttempts      int     `json:"maxAttempts"`      // per request
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`  // the Retry-After of each rejection
	HedgedRequests   bool    `json:"parallelTries"`    // two attempts of a request may be open at once
	HealthChecks     bool    `json:"probing"`          // ActionHealthCheck is permitted
	RetryAfter       bool    `json:"retryAfter"`       // clients receive the Retry-After
	MaxOpenRequests  int     `json:"openCap"`          // the event loop rejects more; 0: unlimited
}

// Contract holds the guarantees between servers, discovery and agents.
type Contract struct {
	AnswerSlackMs        float64 `json:"answerSlackMs"`
	PollIntervalMs       float64 `json:"askWithinMs"`  // an agent polls discovery at least this often
	SlowStartMinCapacity float64 `json:"coldFrom"`     // fraction of its capacity that a server starts with
	SlowStartMs          float64 `json:"coldMs"`       // until a server has its full capacity
	DrainGraceMs         float64 `json:"drainGraceMs"` // time to stop sending; agents stop at the update
	OverloadFactor       float64 `json:"fallMultiple"` // overload of a server, by its present capacity
	OverloadWindowMs     float64 `json:"tipAfterMs"`   // duration of that load after which the server fails
}

// Prices are deductions from the objective function, each multiplied by a ratio.
type Prices struct {
	CrossZone    float64 `json:"crossZone"`      // cross-zone attempts per request
	Handshake    float64 `json:"handshake"`      // new connections per request
	Connection   float64 `json:"connection"`     // mean open connections per 100 servers
	LateFailure  float64 `json:"lateFail"`       // value lost after the latency objective had passed
	HealthCheck  float64 `json:"probe"`          // health checks per request
	Waste        float64 `json:"waste"`          // work that served no request, by all work
	EndpointList float64 `json:"membershipMode"` // endpoint list entries sent per 100 requests
}

// Objective holds the weights of the terms of the objective function that the agents maximize.
type Objective struct {
	Total       float64 `json:"whole"`       // all requests
	WorstWindow float64 `json:"worstWindow"` // the 10 seconds in which the least was served in time
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"` // within its quota
}

// ReportFormat says how servers deliver their load reports, and names the values.
type ReportFormat struct {
	Delivery string   `json:"how"`   // "inline", "on_probe" or "off"
	Names    []string `json:"names"` // of the values, at most four
}

// Settings is the configuration of an agent. The JSON keys are part of the wire format.
type Settings struct {
	Classes       []Class      `json:"classes"`
	Tenants       []Tenant     `json:"tenants"`
	Limits        Limits       `json:"limits"`
	Contract      Contract     `json:"contract"`
	Prices        Prices       `json:"prices"`
	Objective     Objective    `json:"objectiveMix"`
	Report        ReportFormat `json:"report"`
	DiscoveryMode string       `json:"membershipMode"` // "pushed" or "on_request"
	Clients       struct {
		MarksRetry bool `json:"marksRetry"` // retries of a client are marked as such
	} `json:"clients"`
	ServerInfo struct {
		CacheKeys bool `json:"warmKeys"` // repeated requests of a key cost less
	} `json:"familyInfo"`
	ReplicaIndex    int     `json:"index"`          // of the agent among the replicas, from 0
	Replicas        int     `json:"replicasOfMe"`   // number of agents that send to the same servers
	OverQuotaWeight float64 `json:"overShareWorth"` // priority factor of a request over its tenant's quota
	BatchIntervalMs float64 `json:"roundMs"`        // minimum time between two deliveries of events
	Weights         string  `json:"weights"`        // "off", "nominal", "rough" or "live"
	PriorityUnit    string  `json:"worthBy"`        // "request" or "work"
	Zone            int     `json:"zone"`

	// LastPoll is the outcome of the last discovery poll of the agent's previous process.
	LastPoll LastPoll `json:"-"`
}

// LastPoll is the outcome of the last discovery poll of a process.
type LastPoll uint8

// The outcomes of a last poll. It is unknown at a first start and when the state directory is lost.
const (
	PollUnknown LastPoll = iota
	PollAnswered
	PollUnanswered
)

// Health is the health of a server according to the endpoint list.
type Health uint8

// The health values of the endpoint list.
const (
	Draining Health = iota
	Ready
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server      Addr
	Zone        int
	Cell        int
	MachineType int
	StartedMs   float64 // time of the latest start; 0: long ago
	Health      Health
	Cordoned    bool // by an operator: it gets no new requests, whatever Health says
	Weight      float64
}

// UpdateKind says how an update changes the endpoint list.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta       UpdateKind = iota // the entries that have changed
	UpdateComplete                      // all entries; servers that are missing are removed
	UpdateCached                        // all entries, from a cache that may be stale
	UpdateFailed                        // a discovery poll failed
	UpdateOtherSource                   // a delta from a source other than discovery
)

// Status is the outcome of an attempt or a health check.
type Status uint16

// The status values, with their codes on the wire.
const (
	OK            Status = 100
	Error         Status = 301
	Rejected      Status = 302 // the server has no capacity and did not run it
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	NotStarted    Status = 307 // it was not sent
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotStarted }

// EventKind says which fields of an Event are set.
type EventKind uint8

// The events, each with the fields of Event that it uses.
const (
	EventRequest            EventKind = iota + 1 // all of the request: Class, Tenant, Key, RemainingMs, ...
	EventAttemptEnded                            // Request, Attempt, Server, Status, LatencyMs, Final, Report
	EventResponseStarted                         // Request, Attempt, Server, LatencyMs: streamed
	EventClientDisconnected                      // Request
	EventEndpointUpdate                          // Update, Endpoints
	EventHealthCheckEnded                        // Server, Status, LatencyMs, Report
	EventTimer                                   // Token
	EventPeerMessage                             // from another agent; no field is used
	EventBodyWritten                             // Request, Attempt, RemainingMs: streamed
	EventDeadlineShortened                       // Request, RemainingMs: less than announced before
)

// Event is an input of one agent's Balancer.
type Event struct {
	Kind         EventKind
	Request      RequestID
	Class        int
	Tenant       int
	Key          uint64 // 0: none
	RemainingMs  float64
	WorkHintMs   float64
	HasWorkHint  bool
	Retry        bool
	StreamedBody bool // the body is forwarded as it arrives; RemainingMs runs from its end
	Attempt      int
	Server       Addr
	Status       Status
	LatencyMs    float64
	Final        bool // the request has ended, whatever the status
	Report       []float32
	Update       UpdateKind
	Endpoints    []Endpoint // neither modified nor retained by the Balancer
	Token        uint32
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	ActionForward        ActionKind = iota + 1 // Request, Server, DurationMs: timeout
	ActionCancel                               // Request, Attempt
	ActionReject                               // Request, DurationMs: Retry-After
	ActionFail                                 // Request
	ActionHealthCheck                          // Server
	ActionTimer                                // DurationMs, Token
	ActionWatchEndpoints                       // subscribe to the endpoint list
	ActionFetchEndpoints                       // fetch the complete endpoint list once
	ActionLog                                  // Text
	ActionCloseIdle                            // Server: close idle connections
)

// Action is an instruction to the caller.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Server     Addr
	Attempt    int
	DurationMs float64
	Token      uint32
	Text       string
	Reason     RejectReason // with ActionReject and ActionFail
}

// Evidence counts the outcomes that other agents saw on a server since the last observation, in attempts.
// Negative numbers, infinities and NaN count as 0.
type Evidence struct {
	Server   Addr
	Served   float64
	Failed   float64 // errors, resets, timeouts, failed connects
	Rejected float64 // the server is running and has no capacity
	Silent   bool    // the failures were timeouts or failed connects, not error answers
}

// View is the state of a listed server.
type View struct {
	Server         Addr
	State          State
	StateSinceMs   float64 // when it entered the state
	StartedMs      float64 // start of its process, listed or assumed; 0: long ago
	Usable         bool    // listed as ready and not cordoned
	Zone           int
	Cell           int
	Weight         float64
	WarmUpFraction float64 // fraction of its capacity by the contract; below 1 in slow start
	LoadShare      float64 // fraction of an even share that it may be sent; below 1 in slow start
	Ejections      int
}
