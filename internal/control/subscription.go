package control

import (
	"math"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ringtrack.example/ringtrack/internal/control/resource"
)

const (
	wildcardName = "*"
	// globPrefix and globSuffix identify the name of a collection.
	globPrefix = "xdstp://"
	globSuffix = "/*"
)

// request is a discovery request of either variant of the protocol.
type request struct {
	typeURL  string
	nonce    string // nonce of the response that it answers; "": the first request of its type on the stream
	rejected bool   // a NACK; otherwise an ACK or a change of the subscription
	reason   string // reason of a NACK; may be ""

	// State of the world.
	version string   // version that the proxy has
	names   []string // the complete subscription

	// Incremental.
	subscribe       []string
	unsubscribe     []string
	initialVersions map[string]string // versions that the proxy has, by name; in the first request of a type
}

// withoutResources reports whether the first request of a stream indicates that the proxy has no resources.
func (r *request) withoutResources() bool { return len(r.initialVersions) == 0 && r.version == "" }

// subscription is a stream's subscription to one type.
type subscription struct {
	names    map[string]bool
	wildcard bool
	// initialVersions contains the versions that the proxy had when the stream opened, by name; incremental
	// only.
	initialVersions map[string]string

	wildcardSent *resource.Set // the last set that was sent for the wildcard
	nothingSent  bool          // incremental: no response was sent on this stream
	// sentVersions contains the last version that was sent, by name; "" if the proxy was notified that the
	// resource does not exist.
	sentVersions map[string]string
	collections  map[string]*resource.Set // the last set that was sent, by glob name; nil: none yet

	pending   []pendingResponse // unanswered responses, oldest first
	lastNonce string
	sentSeq   uint64 // the newest publication that was sent or contained nothing to send
	ackedSeq  uint64
	rejected  bool // the last answer was a NACK
	resend    bool // the subscription has grown: send resources even if the publication was sent before
}

func newSubscription(initialVersions map[string]string) *subscription {
	return &subscription{
		names:           map[string]bool{},
		initialVersions: initialVersions,
		nothingSent:     true,
		sentVersions:    map[string]string{},
		collections:     map[string]*resource.Set{},
	}
}

// usedNonce reports whether the nonce is that of an unanswered response or of the last one.
func (sub *subscription) usedNonce(nonce string) bool {
	return nonce == sub.lastNonce ||
		slices.ContainsFunc(sub.pending, func(r pendingResponse) bool { return r.nonce == nonce })
}

// handle processes a request, which may be an ACK or a NACK and may change the subscription.
func (s *stream) handle(r *request) error {
	if !slices.Contains(resource.Types, r.typeURL) || r.typeURL == resource.LbEndpoint && !s.delta {
		return status.Errorf(codes.InvalidArgument, "type %q is not served", truncateText(r.typeURL))
	}
	sub := s.subscriptions[r.typeURL]
	first := sub == nil
	if first {
		sub = newSubscription(r.initialVersions)
		s.subscriptions[r.typeURL] = sub
		if r.typeURL == resource.Endpoints {
			s.subscribedMs.Store(math.Float64bits(s.publisher.clock.Ms()))
		}
	} else if r.nonce != "" {
		current := s.handleAnswer(r, sub)
		if !current && !s.delta {
			return nil // a stale request; the proxy repeats its subscription with a newer nonce
		}
	}
	if s.delta {
		return s.updateSubscription(r, sub, first)
	}
	return s.replaceSubscription(r, sub, first)
}

// replaceSubscription applies a state-of-the-world request, which contains the complete subscription.
func (s *stream) replaceSubscription(r *request, sub *subscription, first bool) error {
	if err := s.checkNames(len(r.names)); err != nil {
		return err
	}
	// For types with a wildcard, an empty list of names means all resources, until a request has listed
	// names.
	implicit := len(r.names) == 0 && (first || sub.wildcard) && hasWildcard(r.typeURL)
	wildcard := implicit || slices.Contains(r.names, wildcardName)
	names := make(map[string]bool, len(r.names))
	for _, name := range r.names {
		if name == wildcardName {
			continue
		}
		names[name] = true
		if !sub.names[name] {
			sub.resend = true
		}
	}
	for name := range sub.sentVersions {
		if !names[name] {
			delete(sub.sentVersions, name) // a later subscription to it sends it again
		}
	}
	if wildcard && !sub.wildcard {
		sub.resend = true
	}
	sub.names = names
	sub.wildcard = wildcard
	return nil
}

// updateSubscription applies an incremental request.
func (s *stream) updateSubscription(r *request, sub *subscription, first bool) error {
	if first && len(r.subscribe) == 0 && hasWildcard(r.typeURL) {
		sub.wildcard = true
	}
	for _, name := range r.subscribe {
		sub.add(name, first)
	}
	for _, name := range r.unsubscribe {
		sub.remove(name)
	}
	if err := s.checkNames(len(sub.names) + len(sub.collections)); err != nil {
		return err
	}
	sub.resend = sub.resend || len(r.subscribe) > 0 || first
	return nil
}

// add subscribes to a name, a collection or the wildcard. A repeated subscription to a name sends its
// resource again.
func (sub *subscription) add(name string, first bool) {
	switch {
	case name == wildcardName:
		sub.wildcard = true
	case strings.HasPrefix(name, globPrefix) && strings.HasSuffix(name, globSuffix):
		if _, ok := sub.collections[name]; !ok {
			sub.collections[name] = nil
		}
	default:
		sub.names[name] = true
		delete(sub.sentVersions, name)
		if version, ok := sub.initialVersions[name]; ok && first {
			sub.sentVersions[name] = version
		}
	}
}

// remove ends the subscription to a name, a collection or the wildcard.
func (sub *subscription) remove(name string) {
	if name == wildcardName {
		sub.wildcard = false
		sub.wildcardSent = nil
		return
	}
	delete(sub.names, name)
	delete(sub.sentVersions, name)
	delete(sub.collections, name)
}

// checkNames returns an error if a subscription has too many names.
func (s *stream) checkNames(n int) error {
	if limit := s.publisher.cfg().Proxies.MaxNames; n > limit {
		return status.Errorf(codes.ResourceExhausted, "subscription has %d names, at most %d are allowed", n, limit)
	}
	return nil
}

// hasWildcard reports whether an empty subscription to a type means all its resources.
func hasWildcard(typeURL string) bool {
	return typeURL == resource.Cluster || typeURL == resource.Listener
}
