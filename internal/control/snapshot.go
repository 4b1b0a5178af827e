package control

import (
	"fmt"
	"sync"
	"sync/atomic"

	"ringtrack.example/ringtrack/internal/control/assign"
	"ringtrack.example/ringtrack/internal/control/resource"
)

// snapshot is all that the proxies of a group are to hold. It is never changed once published; a
// stream sends what of it its proxy does not have, whenever it can, and so never sends an older one
// after a newer one.
type snapshot struct {
	seq        uint64 // counts publications of this process; not told to anybody as a version
	urgent     uint64 // the last publication that told a drain or a server gone
	assignment *assign.Assignment
	servers    *resource.RenderedEndpoints
	sets       map[string]*resource.Set // by type; of servers the whole form
	split      *resource.Set            // of servers for proxies that take them one by one
	nonces     *nonces

	mu     sync.Mutex
	frames map[frameKey]frame
}

// set returns the resources of a type that streams of one kind see.
func (s *snapshot) set(typeURL string, leds bool) *resource.Set {
	if typeURL == resource.Endpoints && leds {
		return s.split
	}
	return s.sets[typeURL]
}

// collection returns the resources under a glob name.
func (s *snapshot) collection(glob string) *resource.Set {
	if s.servers == nil {
		return nil
	}
	return s.servers.Collections[glob]
}

// frame is a marshalled response, the same for all streams that it fits.
type frame struct {
	nonce string
	bytes []byte
	empty bool // there is nothing to tell
}

// frameKey tells frames of a snapshot apart: what it brings a stream from and to.
type frameKey struct {
	typeURL  string
	delta    bool
	from, to *resource.Set
	name     string // of a single resource that is asked for by name, and the version it had
	version  string
}

// shared returns the frame of a key, made once however many streams want it.
func (s *snapshot) shared(key frameKey, make func(nonce string) ([]byte, bool)) frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.frames[key]
	if !ok {
		f.nonce = s.nonces.next()
		f.bytes, f.empty = make(f.nonce)
		s.frames[key] = f
	}
	return f
}

// nonces are unique over all streams and processes, so that one from another life is never taken for
// one of this.
type nonces struct {
	boot string
	n    atomic.Uint64
}

func (n *nonces) next() string { return fmt.Sprintf("%s-%d", n.boot, n.n.Add(1)) }
