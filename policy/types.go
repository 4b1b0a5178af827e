// Package policy is the load balancing of one agent, a sidecar of one client. It decides to which server
// and when each request is sent, with which timeout, whether it is retried, and when it is rejected.
//
// It is a state machine without I/O, clock and goroutines. The caller passes events with the current time,
// in milliseconds of a clock that never runs back, and carries out the actions that are returned, in order.
//
// Each rule has a file of its own. types.go holds the interface to the caller, settings.go the checks of
// the settings, balancer.go the dispatch of events to the rules.
package policy

// Addr names a server: four bytes of address and two of the port. Addresses are compared and ordered, and
// otherwise have no meaning here.
type Addr [6]byte

// RequestID names one request of the client. A retry of the client is a new request. No id is used twice.
type RequestID uint32

// State is the health of a server as the agent sees it.
type State uint8

// The four states, best first.
const (
	Connected        State = iota // it has served lately
	Unknown                       // nothing is known
	UnhealthyPending              // ejected before, and to be validated
	Unhealthy                     // ejected
)

// Effect tells whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	Idempotent      Effect = "free"        // may run any number of times
	IdempotentByKey Effect = "guarded"     // has an idempotency key: servers in scope drop repeats for a time
	NonIdempotent   Effect = "single_shot" // must never run twice
)

// DedupScope tells which servers drop the repeat of a request with an idempotency key, by the server that
// may have run it first.
type DedupScope string

// The scopes a class may have.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// known reports whether the scope is one of those above.
func (d DedupScope) known() bool { return d == ScopeAll || d == ScopeZone || d == ScopeCell }

// Class is one class of requests.
type Class struct {
	Name                string     `json:"name"`
	LatencyObjectiveMs  float64    `json:"aimMs"`
	ObjectiveWorkFactor float64    `json:"aimStretch"` // part of the work hint added to the objective
	ClientTimeoutMs     float64    `json:"giveUpMs"`
	Effect              Effect     `json:"effect"`
	DedupScope          DedupScope `json:"group"`     // of IdempotentByKey
	IdempotencyWindowMs float64    `json:"keyTtlMs"`  // of IdempotentByKey: how long repeats are dropped
	PriorityWeight      float64    `json:"credit"`    // value of a request served in time
	LateCredit          float64    `json:"lateShare"` // part of the value that a late one has
	Streamed            bool       `json:"streamed"`
}

// Tenant is a customer with a quota of what the servers can do.
type Tenant struct {
	Name        string  `json:"name"`
	QuotaPerS   float64 `json:"quotaPerS"` // requests per second of all agents
	QuotaWeight float64 `json:"portion"`   // its part of what is served
}

// Limits is what a deployment permits an agent to do.
type Limits struct {
	Cancelling       bool    `json:"cancelling"`       // ActionCancel is permitted
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"` // a connect that takes longer has failed
	KeepaliveMs      float64 `json:"keepaliveMs"`      // idle connections are closed after it
	MaxAttempts      int     `json:"maxAttempts"`      // of one request
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`  // the Retry-After of each rejection
	HedgedRequests   bool    `json:"parallelTries"`    // two attempts of a request may be open
	HealthChecks     bool    `json:"probing"`          // ActionHealthCheck is permitted
	RetryAfter       bool    `json:"retryAfter"`       // clients get the Retry-After
	MaxOpenRequests  int     `json:"openCap"`          // others are rejected by the event loop; 0: no bound
}

// Contract holds the guarantees between servers, discovery and agents.
type Contract struct {
	AnswerSlackMs        float64 `json:"answerSlackMs"`
	PollIntervalMs       float64 `json:"askWithinMs"`  // an agent polls discovery within it
	SlowStartMinCapacity float64 `json:"coldFrom"`     // part of its capacity that a server starts with
	SlowStartMs          float64 `json:"coldMs"`       // until a server has its full capacity
	DrainGraceMs         float64 `json:"drainGraceMs"` // allowed for stopping; the agent stops at the update
	OverloadFactor       float64 `json:"fallMultiple"` // load that breaks a server, by its present capacity
	OverloadWindowMs     float64 `json:"tipAfterMs"`   // time of such a load after which it breaks
}

// Prices are deductions from the objective, each for a share or a rate.
type Prices struct {
	CrossZone    float64 `json:"crossZone"`      // of attempts that cross zones, by requests
	Handshake    float64 `json:"handshake"`      // of new connections, by requests
	Connection   float64 `json:"connection"`     // of mean open connections, by 100 servers
	LateFailure  float64 `json:"lateFail"`       // of value that was lost after its objective
	HealthCheck  float64 `json:"probe"`          // of health checks, by requests
	Waste        float64 `json:"waste"`          // of work that served nothing, by all work
	EndpointList float64 `json:"membershipMode"` // of list entries sent, by 100 requests
}

// Objective holds the weights of the parts of the objective that the agents serve.
type Objective struct {
	Total       float64 `json:"whole"`       // all requests
	WorstWindow float64 `json:"worstWindow"` // the 10 seconds served worst
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"` // within its quota
}

// ReportFormat says how servers deliver their load reports, and names the values.
type ReportFormat struct {
	Delivery string   `json:"how"`   // "inline", "on_probe" or "off"
	Names    []string `json:"names"` // of the values, at most four
}

// Settings is the configuration of an agent. The keys are those of the wire.
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
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	Servers struct {
		CacheKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	ReplicaIndex    int     `json:"index"`          // of the agent among the replicas, from 0
	Replicas        int     `json:"replicasOfMe"`   // agents that send to the same servers
	OverQuotaWeight float64 `json:"overShareWorth"` // factor of priority over the tenant's quota
	BatchIntervalMs float64 `json:"roundMs"`        // shortest time between two deliveries of events
	Weights         string  `json:"weights"`        // "off", "nominal", "rough" or "live"
	PriorityUnit    string  `json:"worthBy"`        // "request" or "work"
	Zone            int     `json:"zone"`

	// LastPoll is how the last poll of discovery by the agent's former process ended.
	LastPoll LastPoll `json:"-"`
}

// LastPoll is how the last poll of discovery by a process ended.
type LastPoll uint8

// The ends of a last poll. It is unknown at a first start, and where the state directory is lost.
const (
	PollUnknown LastPoll = iota
	PollAnswered
	PollUnanswered
)

// Health is the health of a server by the endpoint list.
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
	StartedMs   float64 // clock time of the latest start; 0: long past
	Health      Health
	Cordoned    bool // an operator wants nothing new there, whatever Health says
	Weight      float64
}

// UpdateKind tells how an update changes the endpoint list.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta       UpdateKind = iota // the entries that have changed
	UpdateComplete                      // all entries; other servers are removed
	UpdateCached                        // all entries, from a cache that may be old
	UpdateFailed                        // a poll of discovery failed
	UpdateOtherSource                   // a delta from elsewhere than discovery
)

// Status is how an attempt or a health check ended.
type Status uint16

// The status values, with their codes on the wire.
const (
	OK            Status = 100
	Error         Status = 301
	Rejected      Status = 302 // the server has no capacity, and did not run it
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	NotStarted    Status = 307 // it was not sent
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotStarted }

// EventKind tells which fields of an Event are set.
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
	EventPeerMessage                             // of another agent; no field is used
	EventBodyWritten                             // Request, Attempt, RemainingMs: streamed
	EventDeadlineShortened                       // Request, RemainingMs: less time than announced before
)

// Event is something that happened to one agent.
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
	Final        bool // the request is finished whatever the status
	Report       []float32
	Update       UpdateKind
	Endpoints    []Endpoint // the Balancer neither changes nor keeps them
	Token        uint32
}

// ActionKind tells which fields of an Action are set.
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

// Action is something the caller is to do.
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

// Evidence is what other agents saw of a server since the last observation, in numbers of attempts.
// Negative numbers, infinities and NaN count as 0.
type Evidence struct {
	Server   Addr
	Served   float64
	Failed   float64 // errors, resets, timeouts, failed connects
	Rejected float64 // the server runs and has no capacity
	Silent   bool    // the failures were timeouts or failed connects, not answers
}

// View is the state of a listed server.
type View struct {
	Server         Addr
	State          State
	StateSinceMs   float64 // when it entered the state
	StartedMs      float64 // start of its process, listed or assumed; 0: long past
	Usable         bool    // listed as ready, and not cordoned
	Zone           int
	Cell           int
	Weight         float64
	WarmUpFraction float64 // part of its capacity that it has by the contract; below 1 in slow start
	LoadShare      float64 // part of an even share that it may be sent; below 1 in slow start
	Ejections      int
}
