// Package policy decides, for one agent (a sidecar balancer), where each
// request of its client goes: which server, when, for how long, whether again,
// and when to give up. It is a state machine without I/O: the caller hands in
// events with a clock and carries out the actions that come back, in order.
//
// Each rule has a file of its own. This one holds the interface to the caller.
package policy

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// State is what an agent holds a listed server to be.
type State uint8

// The four states, best first.
const (
	Connected State = iota
	Unknown
	UnhealthyPending
	Unhealthy
)

// Effect tells whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	Idempotent      Effect = "free"        // safe to repeat
	IdempotentByKey Effect = "guarded"     // repeats are dropped within a group of servers, for a time
	NonIdempotent   Effect = "single_shot" // must never run twice
)

// DedupScope tells which servers drop repeats of a guarded request.
type DedupScope string

// The groups a guarded class may have.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

func (d DedupScope) known() bool { return d == ScopeAll || d == ScopeZone || d == ScopeCell }

// Class is one class of requests.
type Class struct {
	Name                string     `json:"name"`
	LatencyObjectiveMs  float64    `json:"aimMs"`
	ObjectiveStretch    float64    `json:"aimStretch"`
	ClientTimeoutMs     float64    `json:"giveUpMs"`
	Effect              Effect     `json:"effect"`
	DedupScope          DedupScope `json:"group"`
	IdempotencyWindowMs float64    `json:"keyTtlMs"`
	PriorityWeight      float64    `json:"credit"`
	LateCredit          float64    `json:"lateShare"`
	Streamed            bool       `json:"streamed"`
}

// Tenant is a customer with a share of what the servers can do.
type Tenant struct {
	Name        string  `json:"name"`
	QuotaPerS   float64 `json:"quotaPerS"`
	QuotaWeight float64 `json:"portion"`
}

// Limits is what a deployment permits an agent.
type Limits struct {
	Cancelling       bool    `json:"cancelling"`
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	KeepaliveMs      float64 `json:"keepaliveMs"`
	MaxAttempts      int     `json:"maxAttempts"`
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
	HedgedRequests   bool    `json:"parallelTries"`
	HealthChecks     bool    `json:"probing"`
	RetryAfter       bool    `json:"retryAfter"`
	MaxOpenRequests  int     `json:"openCap"`
}

// Contract holds the figures of the four rules.
type Contract struct {
	AnswerSlackMs        float64 `json:"answerSlackMs"`
	PollIntervalMs       float64 `json:"askWithinMs"`
	SlowStartMinCapacity float64 `json:"coldFrom"`
	SlowStartMs          float64 `json:"coldMs"`
	DrainGraceMs         float64 `json:"drainGraceMs"`
	OverloadFactor       float64 `json:"fallMultiple"`
	OverloadWindowMs     float64 `json:"tipAfterMs"`
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone    float64 `json:"crossZone"`
	Handshake    float64 `json:"handshake"`
	Connection   float64 `json:"connection"`
	LateFailure  float64 `json:"lateFail"`
	HealthCheck  float64 `json:"probe"`
	Waste        float64 `json:"waste"`
	EndpointList float64 `json:"membershipMode"`
}

// Objective holds the weights of the result's components.
type Objective struct {
	Total       float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// ReportFormat names the values of the servers' load reports.
type ReportFormat struct {
	Delivery string   `json:"how"`
	Names    []string `json:"names"`
}

// Settings is what an agent is told at its start.
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
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	ReplicaIndex    int     `json:"index"`
	Replicas        int     `json:"replicasOfMe"`
	OverQuotaWeight float64 `json:"overShareWorth"`
	BatchIntervalMs float64 `json:"roundMs"`
	Weights         string  `json:"weights"` // "off", "nominal", "rough" or "live"
	PriorityUnit    string  `json:"worthBy"` // "request" or "work"
	Zone            int     `json:"zone"`

	// LastPoll is how the last call to discovery of the agent's process before this one ended.
	LastPoll LastPoll `json:"-"`
}

// LastPoll is how a process's last call to discovery ended.
type LastPoll uint8

// How a last call ended. Nobody knows it of a first start, and of a process whose folder went with it.
const (
	PollUnknown LastPoll = iota
	PollAnswered
	PollUnanswered
)

// Health is what the list says of a server.
type Health uint8

// The list's words.
const (
	Draining Health = iota
	Ready
	Removed
)

// Endpoint is one line of the list of servers.
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

// UpdateKind tells how a list event changes the list at hand.
type UpdateKind uint8

// The kinds of list events.
const (
	UpdateDelta UpdateKind = iota
	UpdateComplete
	UpdateCached
	UpdateFailed
	UpdateOtherSource // changes told by other than discovery, of whose calls it says nothing
)

// Status is how an attempt or a probe ended.
type Status uint16

// The endings.
const (
	OK            Status = 100
	Error         Status = 301
	Rejected      Status = 302
	Timeout       Status = 303
	ConnectFailed Status = 304
	Reset         Status = 305
	Cancelled     Status = 306
	NotStarted    Status = 307
)

// NeverRan tells whether the ending proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotStarted }

// EventKind tells which fields of an Event count.
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
	StreamedBody bool // the body still comes while the request is sent; LeftMs runs from its end
	Attempt      int
	Server       Addr
	Status       Status
	LatencyMs    float64
	Final        bool // the request is finished
	Report       []float32
	Update       UpdateKind
	Endpoints    []Endpoint // not changed and not kept by the Balancer
	Token        uint32
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	ActionForward        ActionKind = iota + 1 // Request, Server, Ms: time-out
	ActionCancel                               // Request, Attempt
	ActionReject                               // Request, Ms: advice
	ActionFail                                 // Request
	ActionHealthCheck                          // Server
	ActionTimer                                // Ms, Token
	ActionWatchEndpoints                       // subscribe to the list
	ActionFetchEndpoints                       // ask for the whole list once
	ActionLog                                  // Text
	ActionCloseIdle                            // Server: close idle connections
)

// Action is something the agent is to do, in the order given.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Server     Addr
	Attempt    int
	DurationMs float64
	Token      uint32
	Text       string
}

// Evidence is what others saw of a server since it was last told, in numbers of attempts.
// What is negative or no number counts as none.
type Evidence struct {
	Server   Addr
	Served   float64
	Failed   float64 // errors, resets, time-outs, failed connects
	Rejected float64 // refused unseen: the server runs and is crowded
	Silent   bool    // the failures are no answers but silence or failed connects
}

// View is what the module holds of a listed server.
type View struct {
	Server              Addr
	State               State
	StateSinceMs        float64 // when it entered the state
	StartedMs           float64 // start of its process, by the list or assumed; 0: long past
	Usable              bool    // listed as ready
	Zone                int
	Cell                int
	Weight              float64
	Capacity            float64 // the part of its capacity that it has by the contract, 1 when warm
	LoadShare           float64 // the part of an even share that it may be sent, 1 when warm
	ConsecutiveFailures int     // failures of late
}
