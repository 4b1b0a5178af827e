// Package peers has the balancers of other systems, each written from its public description with the
// documented defaults, with the same events and actions as the product's balancer. They are for experiments
// only and no part of the product. What a system does beyond that is named at its balancer; none does health
// checks here.
package peers

import "ringtrack.example/ringtrack/internal/emulator"

// All are the balancers by name. None is bound to the contract; the results have the violations of each.
var All = []emulator.Policy{
	{Name: "random", Unguarded: true, New: Random},
	{Name: "round_robin", Unguarded: true, New: RoundRobin},
	{Name: "least_request", Unguarded: true, New: LeastRequest},
	{Name: "ring_hash", Unguarded: true, New: RingHash},
	{Name: "weighted_rr", Unguarded: true, New: WeightedRoundRobin},
	{Name: "peak_ewma", Unguarded: true, New: PeakEWMA},
	{Name: "gradient", Unguarded: true, New: Gradient},
}
