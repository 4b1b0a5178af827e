// Package peers implements the balancers of other systems, each from its public description and with the
// documented defaults, with the events and actions of the product's balancer. They are for experiments only
// and no part of the product. Features that are left out are named at each balancer; health checks are left
// out of all.
package peers

import "ringtrack.example/ringtrack/internal/emulator"

// All are all balancers of this package. They do not know the contract and run without the guard; the results
// count their violations.
var All = []emulator.Policy{
	{Name: "random", Unguarded: true, New: Random},
	{Name: "round_robin", Unguarded: true, New: RoundRobin},
	{Name: "least_request", Unguarded: true, New: LeastRequest},
	{Name: "ring_hash", Unguarded: true, New: RingHash},
	{Name: "weighted_rr", Unguarded: true, New: WeightedRoundRobin},
	{Name: "peak_ewma", Unguarded: true, New: PeakEWMA},
	{Name: "gradient", Unguarded: true, New: Gradient},
}
