package assign

import (
	"fmt"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/policy"
)

// maxProblems bounds the problems that are kept of one membership update.
const maxProblems = 16

// server is a listed server.
type server struct {
	entry      membership.Entry
	policyAddr policy.Addr
	evidence   evidenceWindow
}

// UpdateMembership replaces the membership by the complete list of entries, in the form of
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
			// Proxies reject a resource that has one address twice, and with it all other endpoints.
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
	for id, startedMs := range a.starts {
		if !a.inSlowStart(now, startedMs) {
			delete(a.starts, id)
		}
	}
	update := policy.Event{Kind: policy.EventEndpointUpdate, Update: policy.UpdateComplete, Endpoints: endpoints}
	a.balancer.Handle(now, &update, nil)
}

// updateServer records a listed server and returns its endpoint for the balancer.
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
	// A server that is listed again with an older start, or with none, is still in slow start.
	if startedMs, ok := a.starts[entry.ID]; ok && startedMs > endpoint.StartedMs {
		endpoint.StartedMs = startedMs
	}
	if endpoint.StartedMs > 0 && a.inSlowStart(now, endpoint.StartedMs) {
		a.starts[entry.ID] = endpoint.StartedMs
	}
	return endpoint
}

// inSlowStart reports whether a server that started at startedMs is still warming up.
func (a *Assigner) inSlowStart(now, startedMs float64) bool {
	return now-startedMs < a.cfg.Settings.Contract.SlowStartMs
}

func (a *Assigner) anySlowStart(now float64) bool {
	for _, startedMs := range a.starts {
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

// Problems returns which entries of the last membership update could not be used, and why.
func (a *Assigner) Problems() []string { return a.problems }

// HasMembership reports whether any membership update came yet. Until then there is nothing to serve: a
// proxy with an older assignment keeps it, which is better than an empty one.
func (a *Assigner) HasMembership() bool { return a.hasMembership }
