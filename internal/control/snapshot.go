package control

import (
	"fmt"
	"sync"
	"sync/atomic"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// snapshot is everything that the proxies of a group should hold. Its resources are immutable. A stream
// sends what its proxy does not have of the current snapshot, and so never sends an older one after a newer.
type snapshot struct {
	seq          uint64 // of the publication in this process; never sent as a version
	urgentSeq    uint64 // of the last publication with a drain or a removal
	assignment   *assign.Assignment
	endpoints    *resource.RenderedEndpoints
	sets         map[string]*resource.Set // by type URL; endpoints in one complete resource
	byCollection *resource.Set            // endpoints for proxies that use LEDS
	nonces       *nonces

	mu     sync.Mutex
	frames map[frameKey]frame
}

// set returns the resources of a type for streams with or without LEDS.
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

// frame is a marshalled response, the same for all streams that it fits.
type frame struct {
	nonce string
	bytes []byte
	empty bool // the response has nothing that needs to be sent
}

// frameKey identifies a frame of a snapshot by what it changes at the proxy.
type frameKey struct {
	typeURL  string
	delta    bool
	from, to *resource.Set
	name     string // of the single resource or collection in the frame; "": all
	ttl      bool   // resources carry a TTL
	first    bool   // the first frame of its type on the stream, sent even if it is empty
}

// encodeFunc marshals a response with a nonce. empty reports that it need not be sent.
type encodeFunc func(nonce string) (bytes []byte, empty bool)

// sharedFrame returns the frame of a key, which is encoded once for all streams.
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

// newFrame encodes a frame with a nonce of its own.
func (s *snapshot) newFrame(encode encodeFunc) frame {
	f := frame{nonce: s.nonces.next()}
	f.bytes, f.empty = encode(f.nonce)
	return f
}

// nonces are unique over all streams and processes, so that a nonce of an earlier process is never taken for
// one of this process.
type nonces struct {
	prefix string
	n      atomic.Uint64
}

func (n *nonces) next() string { return fmt.Sprintf("%s-%d", n.prefix, n.n.Add(1)) }
