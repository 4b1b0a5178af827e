// Package concurrency knows what a server can take at present: how many attempts of one agent at a time
// (Limit), whether its last load report says that it is idle (LoadReport), and which keys it has likely cached
// (RecentKeys). It decides about no request.
//
// It has no I/O, clock, goroutines or randomness: times are arguments, in milliseconds of one clock that never
// runs back. Nothing in it is safe for concurrent use.
package concurrency
