package control

import (
	"fmt"
	"sync"
	"sync/atomic"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// snapshot contains all resources for the proxies of a group. Its resources are immutable. A stream sends the
// resources of the current snapshot that its proxy does not have, so that it never sends older after newer
// ones.
type snapshot struct {
	seq          uint64 // sequence number of the publication in this process; never sent as a version
	urgentSeq    uint64 // sequence number of the last publication with a drain or a removal
	assignment   *assign.Assignment
	endpoints    *resource.RenderedEndpoints
	sets         map[string]*resource.Set // by type URL; the endpoints form one complete resource
	byCollection *resource.Set            // endpoints for proxies that use LEDS
	nonces       *nonces

	mu     sync.Mutex
	frames map[frameKey]frame
}

// set returns the resources of a type, for streams with or without LEDS.
func (s *snapshot) set(typeURL string, leds bool) *resource.Set {
	if typeURL == resource.Endpoints && leds {
		return s.byCollection
	}
	return s.sets[typeURL]
}

// collection returns the endpoints of a collection by its glob name, or nil.
func (s *snapshot) collection(glob string) *resource.Set {
	if s.endpoints == nil {
		return nil
	}
	return s.endpoints.Collections[glob]
}

// frame is a marshalled response, which several streams may share.
type frame struct {
	nonce string
	bytes []byte
	empty bool // the response need not be sent
}

// frameKey identifies a frame of a snapshot by the change that it makes at the proxy.
type frameKey struct {
	typeURL  string
	delta    bool
	from, to *resource.Set
	name     string // name of the single resource or collection in the frame; "": all
	ttl      bool   // the resources have a TTL
	first    bool   // the first frame of its type on the stream, sent even if it is empty
}

// encodeFunc marshals a response with a nonce. empty reports that the response need not be sent.
type encodeFunc func(nonce string) (bytes []byte, empty bool)

// sharedFrame returns the frame for a key, encoded once for all streams.
func (s *snapshot) sharedFrame(key frameKey, encode encodeFunc) frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.frames[key]
	if !ok {
		f = s.newFrame(encode)
		s.frames[key] = f
	}
	return f
}

// newFrame encodes a frame with a new nonce.
func (s *snapshot) newFrame(encode encodeFunc) frame {
	f := frame{nonce: s.nonces.next()}
	f.bytes, f.empty = encode(f.nonce)
	return f
}

// nonces generates nonces that are unique across all streams and processes, so that a nonce of an earlier
// process is never mistaken for one of this process.
type nonces struct {
	prefix string
	n      atomic.Uint64
}

func (n *nonces) next() string { return fmt.Sprintf("%s-%d", n.prefix, n.n.Add(1)) }
