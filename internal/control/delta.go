package control

import (
	"maps"
	"slices"
	"strings"

	"ringtrack.example/ringtrack/internal/control/resource"
)

// emptySet represents a collection that does not exist.
var emptySet = resource.NewSet()

// pushDelta sends incremental responses, if anything changed for the proxy.
func (s *stream) pushDelta(snap *snapshot, typeURL string, sub *subscription) error {
	if typeURL == resource.LbEndpoint {
		return s.pushCollections(snap, sub)
	}
	current := snap.set(typeURL, s.leds)
	if current == nil {
		return nil
	}
	if sub.wildcard && (sub.wildcardSent != current || sub.nothingSent) {
		if err := s.pushDeltaWildcard(snap, typeURL, sub, current); err != nil {
			return err
		}
	}
	if len(sub.names) == 0 {
		return nil
	}
	sub.nothingSent = false
	return s.pushDeltaByName(snap, typeURL, sub, current)
}

// pushDeltaWildcard sends the changes of all resources of the type.
func (s *stream) pushDeltaWildcard(snap *snapshot, typeURL string, sub *subscription, current *resource.Set) error {
	response := resource.DeltaResponse{TypeURL: typeURL, Version: current.Version, TTLSeconds: s.ttlSeconds(typeURL)}
	first := sub.nothingSent
	var f frame
	if first && len(sub.initialVersions) > 0 {
		withoutNames := func(name string) bool { return !sub.names[name] }
		response.Changed, response.Removed = sub.changesSinceInitial(current, withoutNames)
		f = snap.newFrame(encodeDelta(response, false))
	} else {
		from := sub.wildcardSent
		key := frameKey{typeURL: typeURL, delta: true, from: from, to: current, ttl: response.TTLSeconds > 0, first: first}
		f = s.sharedFrame(snap, sub, key, func(nonce string) ([]byte, bool) {
			response.Changed, response.Removed = current.Diff(from)
			return encodeDelta(response, first)(nonce)
		})
	}
	sub.wildcardSent = current
	sub.nothingSent = false
	sub.initialVersions = nil
	return s.sendFrame(sub, f, current.Version, snap.seq)
}

// pushDeltaByName sends the changes of the subscribed resources. Names that do not exist are reported as
// removed, so that the proxy does not wait for them.
func (s *stream) pushDeltaByName(snap *snapshot, typeURL string, sub *subscription, current *resource.Set) error {
	response := resource.DeltaResponse{TypeURL: typeURL, Version: current.Version, TTLSeconds: s.ttlSeconds(typeURL)}
	for _, name := range slices.Sorted(maps.Keys(sub.names)) {
		r := current.Get(name)
		sent, ok := sub.sentVersions[name]
		switch {
		case r == nil && (!ok || sent != ""):
			sub.sentVersions[name] = ""
			response.Removed = append(response.Removed, name)
		case r != nil && (!ok || sent != r.Version):
			sub.sentVersions[name] = r.Version
			response.Changed = append(response.Changed, r)
		}
	}
	if len(response.Changed)+len(response.Removed) == 0 {
		return nil
	}
	encode := encodeDelta(response, true)
	if len(response.Changed) == 1 && len(response.Removed) == 0 {
		key := frameKey{typeURL: typeURL, delta: true, to: current, name: response.Changed[0].Name, ttl: response.TTLSeconds > 0}
		return s.sendFrame(sub, s.sharedFrame(snap, sub, key, encode), current.Version, snap.seq)
	}
	return s.sendFrame(sub, snap.newFrame(encode), current.Version, snap.seq)
}

// collectionUpdate is a change of a collection that has not been sent on the stream.
type collectionUpdate struct {
	glob     string
	to       *resource.Set
	shrinks  bool
	previous *resource.Set
}

// pushCollections sends the changes of the subscribed collections, one response for each. Collections that
// shrink come last, so that endpoints are added before others are removed.
func (s *stream) pushCollections(snap *snapshot, sub *subscription) error {
	if snap.endpoints == nil {
		return nil // no endpoint list yet: collections must not be reported as empty
	}
	for _, update := range sub.collectionUpdates(snap) {
		f := s.collectionFrame(snap, sub, &update)
		sub.collections[update.glob] = update.to
		if err := s.sendFrame(sub, f, update.to.Version, snap.seq); err != nil {
			return err
		}
	}
	sub.nothingSent = false
	return nil
}

// collectionUpdates returns the changes of the subscribed collections in the order in which they are to be
// sent.
func (sub *subscription) collectionUpdates(snap *snapshot) []collectionUpdate {
	var updates []collectionUpdate
	for glob, previous := range sub.collections {
		current := snap.collection(glob)
		if current == nil {
			current = emptySet
		}
		if current == previous {
			continue
		}
		shrinks := previous != nil && len(current.Names()) < len(previous.Names())
		updates = append(updates, collectionUpdate{glob: glob, to: current, shrinks: shrinks, previous: previous})
	}
	slices.SortFunc(updates, func(a, b collectionUpdate) int {
		if a.shrinks != b.shrinks {
			if a.shrinks {
				return 1
			}
			return -1
		}
		return strings.Compare(a.glob, b.glob)
	})
	return updates
}

// collectionFrame encodes the change of a collection. The first response of a collection is always sent.
func (s *stream) collectionFrame(snap *snapshot, sub *subscription, update *collectionUpdate) frame {
	from, to := update.previous, update.to
	response := resource.DeltaResponse{TypeURL: resource.LbEndpoint, Version: to.Version}
	if from == nil && len(sub.initialVersions) > 0 {
		prefix := strings.TrimSuffix(update.glob, "*")
		inCollection := func(name string) bool { return strings.HasPrefix(name, prefix) }
		response.Changed, response.Removed = sub.changesSinceInitial(to, inCollection)
		return snap.newFrame(encodeDelta(response, true))
	}
	key := frameKey{typeURL: resource.LbEndpoint, delta: true, from: from, to: to, name: update.glob}
	return s.sharedFrame(snap, sub, key, func(nonce string) ([]byte, bool) {
		response.Changed, response.Removed = to.Diff(from)
		return encodeDelta(response, from == nil)(nonce)
	})
}

// changesSinceInitial compares the current set with the resources that the proxy had when the stream opened,
// which may come from another replica. Only names in scope are reported as removed.
func (sub *subscription) changesSinceInitial(
	current *resource.Set, inScope func(name string) bool,
) (changed []*resource.Resource, removed []string) {
	changed = slices.DeleteFunc(current.All(), func(r *resource.Resource) bool {
		return sub.initialVersions[r.Name] == r.Version
	})
	for name := range sub.initialVersions {
		if inScope(name) && current.Get(name) == nil {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// encodeDelta returns an encodeFunc for the response. A response without changes is empty, unless always is
// set.
func encodeDelta(response resource.DeltaResponse, always bool) encodeFunc {
	return func(nonce string) ([]byte, bool) {
		response.Nonce = nonce
		return response.Marshal(), len(response.Changed)+len(response.Removed) == 0 && !always
	}
}

// ttlSeconds returns the TTL of a type's resources on this stream; 0: none.
func (s *stream) ttlSeconds(typeURL string) int {
	if s.supportsTTL && typeURL == resource.Endpoints {
		return s.publisher.cfg().Proxies.HeartbeatS
	}
	return 0
}

// sendHeartbeat renews the TTL of the endpoints that the proxy has.
func (s *stream) sendHeartbeat() error {
	sub := s.subscriptions[resource.Endpoints]
	snap := s.group.current.Load()
	if sub == nil || snap == nil || len(sub.pending) > 0 {
		return nil
	}
	current := snap.set(resource.Endpoints, s.leds)
	response := resource.DeltaResponse{
		TypeURL:    resource.Endpoints,
		TTLSeconds: s.publisher.cfg().Proxies.HeartbeatS,
		Heartbeat:  true,
	}
	for _, name := range slices.Sorted(maps.Keys(sub.names)) {
		if r := current.Get(name); r != nil && sub.sentVersions[name] == r.Version {
			response.Changed = append(response.Changed, r)
		}
	}
	if len(response.Changed) == 0 {
		return nil
	}
	response.Version = current.Version
	return s.sendFrame(sub, snap.newFrame(encodeDelta(response, true)), current.Version, sub.sentSeq)
}
