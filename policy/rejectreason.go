package policy

// RejectReason says which rule ended a request that was not served, rejected or failed.
type RejectReason uint8

// The reasons. Those from ReasonNoTime on are the caller's, for requests that it does not give to the
// Balancer or ends by itself.
const (
	ReasonNone          RejectReason = iota // it was served, or its attempt has failed for good by itself
	ReasonShed                              // load shedding at arrival
	ReasonHintedWork                        // its hinted work cannot fit its objective
	ReasonQueueFull                         // dropped from a full queue
	ReasonQueueTimeout                      // the queue timeout
	ReasonUnsent                            // unsent for too large a part of its time
	ReasonExpectedLate                      // an answer would come too late to count
	ReasonNotRetryable                      // its attempt was not served, and it must not run again
	ReasonRetryBudget                       // the retry budget is spent
	ReasonAttempts                          // its attempts, or its time, are used up
	ReasonNoTime                            // no time was left at its arrival
	ReasonConnections                       // its downstream is at its limit of connections
	ReasonOpenRequests                      // too many requests are open
	ReasonConfigExpired                     // the server rules of the shared configuration have expired
	ReasonDuplicate                         // the id of a request that is open, or that may have run
	ReasonDeadline                          // the deadline timer ended it, which is a bug or a stall
	NumRejectReasons                        // their number
)

// rejectReasonNames are the names in metrics and logs; they do not change.
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
}

// String returns the reason's name in metrics and logs.
func (r RejectReason) String() string { return rejectReasonNames[r] }
