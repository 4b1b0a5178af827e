package assign

import (
	"fmt"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// maxProblems bounds the number of problems recorded for one membership update.
const maxProblems = 16

// server is a server in the current membership.
type server struct {
	entry      membership.Entry
	policyAddr policy.Addr
	evidence   evidenceWindow
}

// UpdateMembership replaces the membership with a complete list of entries, as returned by
// membership.Set.Entries.
func (a *Assigner) UpdateMembership(now float64, entries []membership.Entry) {
	a.hasMembership = true
	a.dirty = true
	a.problems = nil
	clear(a.byAddr)
	listed := make(map[string]bool, len(entries))
	endpoints := make([]policy.Endpoint, 0, len(entries))
	for i := range entries {
		entry := entries[i]
		if other := a.byAddr[entry.Addr]; other != nil {
			// Proxies reject a resource with a duplicate address, including all its other endpoints.
			a.addProblem(fmt.Sprintf("%s: left out, %s has its address %s", entry.ID, other.entry.ID, entry.Addr))
			continue
		}
		if len(listed) >= MaxServers {
			a.addProblem(fmt.Sprintf("%s: left out, more than %d servers", entry.ID, MaxServers))
			break
		}
		listed[entry.ID] = true
		endpoints = append(endpoints, a.updateServer(now, entry))
	}
	for id, s := range a.servers {
		if !listed[id] {
			delete(a.servers, id)
			delete(a.byPolicyAddr, s.policyAddr)
		}
	}
	for id, startedMs := range a.startTimes {
		if !a.inSlowStart(now, startedMs) {
			delete(a.startTimes, id)
		}
	}
	update := policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateComplete, Endpoints: endpoints}
	a.balancer.Handle(now, &update, nil)
}

// updateServer adds or updates a server and returns its endpoint for the balancer.
func (a *Assigner) updateServer(now float64, entry membership.Entry) policy.Endpoint {
	s := a.servers[entry.ID]
	if s == nil {
		addr := membership.ServerAddr(entry.ID, func(addr policy.Addr) bool { return a.byPolicyAddr[addr] != nil })
		s = &server{policyAddr: addr}
		a.servers[entry.ID] = s
		a.byPolicyAddr[addr] = s
	}
	s.entry = entry
	a.byAddr[entry.Addr] = s
	endpoint := a.names.Policy(&entry)
	endpoint.Server = s.policyAddr
	// A server that returns to the endpoint list with an earlier start time, or without one, stays in slow
	// start.
	if startedMs, ok := a.startTimes[entry.ID]; ok && startedMs > endpoint.StartedMs {
		endpoint.StartedMs = startedMs
	}
	if endpoint.StartedMs > 0 && a.inSlowStart(now, endpoint.StartedMs) {
		a.startTimes[entry.ID] = endpoint.StartedMs
	}
	return endpoint
}

// inSlowStart reports whether a server that started at startedMs is still in slow start.
func (a *Assigner) inSlowStart(now, startedMs float64) bool {
	return now-startedMs < a.cfg.Settings.Contract.SlowStartMs
}

func (a *Assigner) anySlowStart(now float64) bool {
	for _, startedMs := range a.startTimes {
		if a.inSlowStart(now, startedMs) {
			return true
		}
	}
	return false
}

func (a *Assigner) addProblem(text string) {
	if len(a.problems) < maxProblems {
		a.problems = append(a.problems, text)
	}
}

// Problems describes the entries of the last membership update that could not be used.
func (a *Assigner) Problems() []string { return a.problems }

// HasMembership reports whether any membership update has been received. Until then no assignment is served,
// so that a proxy keeps an older assignment instead of replacing it with an empty one.
func (a *Assigner) HasMembership() bool { return a.hasMembership }
