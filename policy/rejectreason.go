package policy

// RejectReason names the rule that rejected or failed a request that was not served.
type RejectReason uint8

// The reasons. Those from ReasonNoTime on are used by the caller, for requests that it ends itself or does
// not pass to the Balancer.
const (
	ReasonNone          RejectReason = iota // it was served, or its attempt failed with a final status
	ReasonShed                              // load shedding at arrival
	ReasonHintedWork                        // the hinted work cannot finish within the objective
	ReasonQueueFull                         // dropped from a full queue
	ReasonQueueTimeout                      // the queue timeout
	ReasonUnsent                            // unsent for too large a fraction of its time
	ReasonExpectedLate                      // an answer would arrive too late to count
	ReasonNotRetryable                      // its attempt was not served and it must not run again
	ReasonRetryBudget                       // the retry budget is used up
	ReasonAttempts                          // its attempts or its time are used up
	ReasonNoTime                            // no time was left at its arrival
	ReasonConnections                       // the downstream listener is at its connection limit
	ReasonOpenRequests                      // too many requests are open
	ReasonConfigExpired                     // the server rules of the shared configuration have expired
	ReasonDuplicate                         // its id is that of a request that is open or may have run
	ReasonDeadline                          // ended by the deadline timer, which indicates a bug or a stall
	ReasonShutdown                          // it came after a process that shuts down accepts requests
	NumRejectReasons                        // number of reasons
)

// rejectReasonNames are the names in metrics and logs. They are part of that interface and must not change.
var rejectReasonNames = [NumRejectReasons]string{
	ReasonNone:          "none",
	ReasonShed:          "shed",
	ReasonHintedWork:    "hinted_work",
	ReasonQueueFull:     "queue_full",
	ReasonQueueTimeout:  "queue_timeout",
	ReasonUnsent:        "unsent",
	ReasonExpectedLate:  "expected_late",
	ReasonNotRetryable:  "not_retryable",
	ReasonRetryBudget:   "retry_budget",
	ReasonAttempts:      "attempts",
	ReasonNoTime:        "no_time",
	ReasonConnections:   "connections",
	ReasonOpenRequests:  "open_requests",
	ReasonConfigExpired: "config_expired",
	ReasonDuplicate:     "duplicate",
	ReasonDeadline:      "deadline",
	ReasonShutdown:      "shutdown",
}

// String returns the reason's name in metrics and logs.
func (r RejectReason) String() string { return rejectReasonNames[r] }
