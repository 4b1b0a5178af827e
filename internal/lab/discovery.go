// Package lab has the stand-ins of the tests, the demo and the acceptance tests: a discovery service,
// backends, scripted clients and an xDS proxy, and the ledger that checks the four invariants. All of them
// listen on loopback, on ports that the kernel chooses. The package is not part of the product, and results
// never come from the product's own counters: the ledger counts at the stand-ins.
package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// DiscoveryService is a stand-in for the platform's discovery service: it has an endpoint list and answers
// fetches and watches of it.
type DiscoveryService struct {
	Addr string
	// WatchIndexes receives the index of each watch call. It buffers 1,000; further ones are dropped.
	WatchIndexes chan uint64

	server       *http.Server
	stopped      chan struct{}
	mu           sync.Mutex
	list         membership.List
	changed      map[string]uint64 // revision of each entry's last change
	down         bool
	calls        int
	wake         chan struct{} // closed at the next change
	fullRevision uint64        // watches from an index before it get the full list
}

// NewDiscoveryService starts a discovery service that lists these servers at revision 1.
func NewDiscoveryService(entries ...membership.Entry) (*DiscoveryService, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &DiscoveryService{Addr: ln.Addr().String(), WatchIndexes: make(chan uint64, 1000), stopped: make(chan struct{}),
		list: membership.List{Revision: 1, Full: true, Entries: slices.Clone(entries)}, changed: map[string]uint64{}, wake: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() {
		defer close(r.stopped)
		r.server.Serve(ln)
	}()
	return r, nil
}

// Close stops the server and closes all connections.
func (r *DiscoveryService) Close() {
	r.server.Close()
	<-r.stopped
}

func (r *DiscoveryService) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.calls++
	down := r.down
	r.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := req.URL.Query()
	if !q.Has("index") {
		json.NewEncoder(w).Encode(r.List())
		return
	}
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait"))
	select {
	case r.WatchIndexes <- index:
	default:
	}
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		r.mu.Lock()
		revision, wake, down := r.list.Revision, r.wake, r.down
		answer := membership.List{Revision: revision}
		switch {
		case index < r.fullRevision:
			answer.Full = true
			answer.Entries = append(answer.Entries, r.list.Entries...)
		case revision > index:
			for _, e := range r.list.Entries {
				if r.changed[e.ID] > index {
					answer.Entries = append(answer.Entries, e)
				}
			}
			for id, at := range r.changed {
				if at > index && !r.isListed(id) {
					answer.Entries = append(answer.Entries, membership.Entry{ID: id, State: membership.Removed})
				}
			}
		}
		r.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if revision > index || answer.Full {
			json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-wake:
		case <-expired:
			json.NewEncoder(w).Encode(membership.List{Revision: revision})
			return
		case <-req.Context().Done():
			return
		}
	}
}

// isListed reports whether the list has a server. The caller holds r.mu.
func (r *DiscoveryService) isListed(id string) bool {
	for i := range r.list.Entries {
		if r.list.Entries[i].ID == id {
			return true
		}
	}
	return false
}

// wakeWatches makes waiting watch calls look at the list again. The caller holds r.mu.
func (r *DiscoveryService) wakeWatches() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// List returns a copy of the current list.
func (r *DiscoveryService) List() membership.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.list
	l.Entries = slices.Clone(l.Entries)
	return l
}

// SetRevision sets the revision that the next change increments.
func (r *DiscoveryService) SetRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision = revision
}

// Set changes or adds an entry and returns the new revision. Waiting watch calls are answered at once; other
// clients get the change with their next call.
func (r *DiscoveryService) Set(e membership.Entry) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	r.changed[e.ID] = r.list.Revision
	found := false
	for i := range r.list.Entries {
		if r.list.Entries[i].ID == e.ID {
			r.list.Entries[i], found = e, true
		}
	}
	if !found {
		r.list.Entries = append(r.list.Entries, e)
	}
	r.wakeWatches()
	return r.list.Revision
}

// Remove removes an entry; watches receive it with the state Removed.
func (r *DiscoveryService) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	r.changed[id] = r.list.Revision
	remaining := make([]membership.Entry, 0, len(r.list.Entries))
	for _, e := range r.list.Entries {
		if e.ID != id {
			remaining = append(remaining, e)
		}
	}
	r.list.Entries = remaining
	r.wakeWatches()
}

// Update changes, adds or (those with the state Removed) removes several entries in one revision, and returns
// it.
func (r *DiscoveryService) Update(entries ...membership.Entry) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	updated := make(map[string]bool, len(entries))
	for _, e := range entries {
		updated[e.ID] = true
		r.changed[e.ID] = r.list.Revision
	}
	remaining := slices.DeleteFunc(slices.Clone(r.list.Entries), func(e membership.Entry) bool { return updated[e.ID] })
	for _, e := range entries {
		if e.State != membership.Removed {
			remaining = append(remaining, e)
		}
	}
	r.list.Entries = remaining
	r.wakeWatches()
	return r.list.Revision
}

// Replace replaces the list; watches receive the new one as a full list.
func (r *DiscoveryService) Replace(entries ...membership.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	r.fullRevision = r.list.Revision
	r.list.Entries = slices.Clone(entries)
	r.wakeWatches()
}

// SetDown makes all calls fail, including waiting ones, or ends that.
func (r *DiscoveryService) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.wakeWatches()
}

// Calls returns the number of calls received so far.
func (r *DiscoveryService) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}
