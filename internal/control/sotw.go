package control

import (
	"maps"
	"slices"

	"ringtrack.example/ringtrack/internal/control/resource"
)

// pushSotW sends a state-of-the-world response, if anything changed for the proxy.
func (s *stream) pushSotW(snap *snapshot, typeURL string, sub *subscription) error {
	current := snap.set(typeURL, false)
	if current == nil {
		return nil
	}
	if sub.wildcard {
		return s.pushSotWWildcard(snap, typeURL, sub, current)
	}
	return s.pushSotWByName(snap, typeURL, sub, current)
}

// pushSotWWildcard sends all resources of the type.
func (s *stream) pushSotWWildcard(snap *snapshot, typeURL string, sub *subscription, current *resource.Set) error {
	if sub.wildcardSent != nil && sub.wildcardSent.Version == current.Version && !sub.resend {
		return nil
	}
	f := s.sharedFrame(snap, sub, frameKey{typeURL: typeURL, to: current}, encodeSotW(typeURL, current.Version, current.All()))
	sub.wildcardSent = current
	return s.sendFrame(sub, f, current.Version, snap.seq)
}

// pushSotWByName sends the subscribed resources that changed, or all subscribed resources for the types whose
// responses have to be complete.
func (s *stream) pushSotWByName(snap *snapshot, typeURL string, sub *subscription, current *resource.Set) error {
	names := slices.Sorted(maps.Keys(sub.names))
	complete := hasWildcard(typeURL)
	var resources []*resource.Resource
	due := false
	for _, name := range names {
		r := current.Get(name)
		sent, ok := sub.sentVersions[name]
		switch {
		case r == nil && sent != "":
			delete(sub.sentVersions, name)
			due = due || complete
		case r != nil && (!ok || sent != r.Version):
			sub.sentVersions[name] = r.Version
			due = true
			resources = append(resources, r)
		case r != nil && complete:
			resources = append(resources, r)
		}
	}
	if !due {
		return nil
	}
	encode := encodeSotW(typeURL, current.Version, resources)
	if len(names) == 1 && len(resources) == 1 {
		key := frameKey{typeURL: typeURL, to: current, name: names[0]}
		return s.sendFrame(sub, s.sharedFrame(snap, sub, key, encode), current.Version, snap.seq)
	}
	return s.sendFrame(sub, snap.newFrame(encode), current.Version, snap.seq)
}

// encodeSotW returns an encodeFunc for a response. The response is sent even if it has no resources.
func encodeSotW(typeURL, version string, resources []*resource.Resource) encodeFunc {
	return func(nonce string) ([]byte, bool) {
		response := resource.Response{TypeURL: typeURL, Version: version, Nonce: nonce, Resources: resources}
		return response.Marshal(), false
	}
}
