// Package limits decides which requests are served while there are more than the servers can do: FairShare
// divides what is served among tenants, LoadShedder sheds the requests of the lowest priority, QueueTimeout
// bounds the time in the queue.
//
// It has no I/O, clock, goroutines or randomness: times are arguments, in milliseconds of one clock that never
// runs back. Nothing in it is safe for concurrent use.
package limits
