// Package limits decides which requests are served under overload: FairShare divides the served requests
// among tenants, LoadShedder sheds the requests of the lowest priority, QueueTimeout bounds the time in the
// queue.
//
// It has no I/O, clock, goroutines or randomness: times are arguments, in milliseconds of one monotonic
// clock. Its types are not safe for concurrent use.
package limits
