// Package concurrency tracks the state of one server as seen by one agent: how many concurrent attempts it
// can handle (Limit), whether it is idle by its last load report (LoadReport), and which keys it has likely
// cached (RecentKeys). Decisions about requests are made elsewhere.
//
// It has no I/O, clock, goroutines or randomness: times are arguments, in milliseconds of one monotonic
// clock. Its types are not safe for concurrent use.
package concurrency
