package core

import (
	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/sharedconfig"
	"ringtrack.example/ringtrack/policy"
)

// maxSeenIDs bounds the ids that are remembered as listed before. Ids first listed beyond it are known only
// while they are listed.
const maxSeenIDs = 1 << 14

// endpointTable holds the listed backends. It is accessed by the loop only.
type endpointTable struct {
	names        membership.Names
	byID         map[string]*Backend      // listed backends, and removed ones with attempts in flight
	byPolicyAddr map[policy.Addr]*Backend // the same backends by the address that the balancer uses
	byAddr       map[string]*Backend      // by host:port, the one that was listed there last
	cordoned     map[string]bool          // by an operator, listed or not; at most upgrade.MaxCordoned
	seen         map[string]bool          // ids that were ever listed, up to maxSeenIDs
	config       *sharedconfig.Config     // nil: no shared configuration
}

func newEndpointTable(zones, machineTypes []string) *endpointTable {
	return &endpointTable{
		names:        membership.NewNames(zones, machineTypes),
		byID:         map[string]*Backend{},
		byPolicyAddr: map[policy.Addr]*Backend{},
		byAddr:       map[string]*Backend{},
		cordoned:     map[string]bool{},
		seen:         map[string]bool{},
	}
}

// getOrCreate returns the backend with the id, creating it if there is none.
func (t *endpointTable) getOrCreate(id string) *Backend {
	if b := t.byID[id]; b != nil {
		return b
	}
	inUse := func(a policy.Addr) bool { return t.byPolicyAddr[a] != nil }
	b := &Backend{id: id, policyAddr: membership.ServerAddr(id, inUse)}
	t.byID[id] = b
	t.byPolicyAddr[b.policyAddr] = b
	t.addSeen(id)
	return b
}

func (t *endpointTable) addSeen(id string) {
	if len(t.seen) < maxSeenIDs {
		t.seen[id] = true
	}
}

// list returns the complete endpoint list, and the ids that were listed before and are not now.
func (t *endpointTable) list(revision uint64) (l membership.List, seen []string) {
	l = membership.List{Revision: revision, Full: true}
	for _, b := range t.byID {
		if !b.removed && b.entry.ID != "" {
			l.Entries = append(l.Entries, b.entry)
		}
	}
	for id := range t.seen {
		if b := t.byID[id]; b == nil || b.removed {
			seen = append(seen, id)
		}
	}
	return l, seen
}

// endpointChanges are the effects of an endpoint list.
type endpointChanges struct {
	endpoints []policy.Endpoint // for the balancer
	closeIdle []*Backend        // their idle connections must be closed
	removed   []*Backend
	named     map[string]bool // the ids of the list
}

// apply applies an endpoint list. Backends that are missing from a complete list are removed.
func (t *endpointTable) apply(l *membership.List, complete bool) (changes endpointChanges) {
	changes.named = make(map[string]bool, len(l.Entries))
	for i := range l.Entries {
		changes.named[l.Entries[i].ID] = true
	}
	for i := range l.Entries {
		if entry := &l.Entries[i]; entry.ID != "" {
			t.applyEntry(entry, &changes)
		}
	}
	if !complete {
		return changes
	}
	for id, b := range t.byID {
		if !changes.named[id] {
			b.unavailable.Store(true)
			b.removed = true
			changes.closeIdle = append(changes.closeIdle, b)
			changes.removed = append(changes.removed, b)
		}
	}
	return changes
}

func (t *endpointTable) applyEntry(entry *membership.Entry, changes *endpointChanges) {
	b := t.getOrCreate(entry.ID)
	restarted := b.removed || entry.StartedMs > b.entry.StartedMs || entry.Addr != "" && b.addr != entry.Addr
	b.entry = *entry
	if entry.Addr != "" {
		t.setAddr(b, entry.Addr)
	}
	if restarted {
		b.incarnation.Add(1)
		changes.closeIdle = append(changes.closeIdle, b)
		b.superseded = false
		t.resolveAddr(b, changes)
	}
	t.report(b, changes)
}

// report derives the state of a backend from its entry, and adds it to the changes.
func (t *endpointTable) report(b *Backend, changes *endpointChanges) {
	e := t.endpoint(b)
	unavailable := isUnavailable(&e)
	b.unavailable.Store(unavailable)
	if unavailable {
		changes.closeIdle = append(changes.closeIdle, b)
	}
	b.removed = e.Health == policy.Removed
	if b.removed {
		changes.removed = append(changes.removed, b)
	}
	changes.endpoints = append(changes.endpoints, e)
}

func (t *endpointTable) setAddr(b *Backend, addr string) {
	if b.addr != addr && t.byAddr[b.addr] == b {
		delete(t.byAddr, b.addr)
	}
	b.addr = addr
}

// resolveAddr makes a backend the one at its address. An address has one process: another backend that is still listed
// there has gone, though no list has said so yet, unless it started later or the same list names both.
func (t *endpointTable) resolveAddr(b *Backend, changes *endpointChanges) {
	other := t.byAddr[b.addr]
	if b.addr == "" || other == b {
		return
	}
	if other == nil || other.removed || other.addr != b.addr || b.entry.State == membership.Removed {
		t.byAddr[b.addr] = b
		return
	}
	switch {
	case other.entry.StartedMs > b.entry.StartedMs:
		b.superseded = true
		return
	case other.entry.StartedMs == b.entry.StartedMs && changes.named[other.id]:
		return // which one is there can't be told
	}
	t.byAddr[b.addr] = b
	other.superseded = true
	t.report(other, changes)
}

// endpoint returns the description of a backend that is passed to the balancer.
func (t *endpointTable) endpoint(b *Backend) policy.Endpoint {
	e := t.names.Policy(&b.entry)
	e.Server = b.policyAddr
	e.Cordoned = t.cordoned[b.id]
	if b.superseded && e.Health == policy.Ready {
		e.Health = policy.Draining
	}
	if t.config != nil {
		e.Cordoned = e.Cordoned || !t.config.Allows(b.id)
		if w := t.config.Servers[b.id].Weight; w > 0 {
			e.Weight = w
		}
	}
	return e
}

// isUnavailable reports whether an endpoint must not get new attempts.
func isUnavailable(e *policy.Endpoint) bool { return e.Health != policy.Ready || e.Cordoned }

// setCordoned records whether an operator has cordoned an id. It returns the backend if it is listed and
// its state has changed, else nil.
func (t *endpointTable) setCordoned(id string, cordoned bool) *Backend {
	before := t.cordoned[id]
	delete(t.cordoned, id)
	if cordoned {
		t.cordoned[id] = true
	}
	b := t.byID[id]
	if b == nil || b.removed || before == cordoned {
		return nil
	}
	e := t.endpoint(b)
	b.unavailable.Store(isUnavailable(&e))
	return b
}

// known reports whether an id is, or ever was, listed or cordoned.
func (t *endpointTable) known(id string) bool {
	return t.byID[id] != nil || t.seen[id] || t.cordoned[id]
}

// forget deletes a removed backend that has no attempt in flight. The balancer has dropped it by then.
func (t *endpointTable) forget(b *Backend) {
	if b.removed && b.inFlight == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byPolicyAddr, b.policyAddr)
		if t.byAddr[b.addr] == b {
			delete(t.byAddr, b.addr)
		}
	}
}

// usable reports whether any backend may get new attempts.
func (t *endpointTable) usable() bool {
	for _, b := range t.byID {
		if !b.unavailable.Load() {
			return true
		}
	}
	return false
}
