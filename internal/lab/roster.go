// Package lab is the stand-in world of the tests, the demo and the long proofs: a roster, a fleet of
// order servers, scripted clients, an xDS proxy, and the ledger of the four rules. All of it is on
// loopback, on ports that the kernel chooses. It is never part of the product, and it never asks the
// product whether it did well: the ledger counts at the stand-ins.
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

// DiscoveryService is a stand-in for the platform's roster: it holds a list and answers fetches and watches as
// the protocol page says.
type DiscoveryService struct {
	Addr string
	// WatchIndexes has the index of each watch call, as long as somebody takes it; it holds 1,000.
	WatchIndexes chan uint64

	server  *http.Server
	ended   chan struct{}
	mu      sync.Mutex
	list    membership.List
	changed map[string]uint64 // revision of each entry's last change
	down    bool
	calls   int
	wake    chan struct{}
	whole   uint64 // watches from before it get the whole list
}

// NewDiscoveryService starts a roster that lists these servers at revision 1.
func NewDiscoveryService(entries ...membership.Entry) (*DiscoveryService, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &DiscoveryService{Addr: ln.Addr().String(), WatchIndexes: make(chan uint64, 1000), ended: make(chan struct{}),
		list: membership.List{Revision: 1, Full: true, Entries: slices.Clone(entries)}, changed: map[string]uint64{}, wake: make(chan struct{})}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() {
		defer close(r.ended)
		r.server.Serve(ln)
	}()
	return r, nil
}

// Close ends the roster and all its connections.
func (r *DiscoveryService) Close() {
	r.server.Close()
	<-r.ended
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
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		r.mu.Lock()
		revision, wake, down := r.list.Revision, r.wake, r.down
		answer := membership.List{Revision: revision}
		switch {
		case index < r.whole:
			answer.Full = true
			answer.Entries = append(answer.Entries, r.list.Entries...)
		case revision > index:
			for _, e := range r.list.Entries {
				if r.changed[e.ID] > index {
					answer.Entries = append(answer.Entries, e)
				}
			}
			for id, at := range r.changed {
				if at > index && !r.lists(id) {
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
		case <-over:
			json.NewEncoder(w).Encode(membership.List{Revision: revision})
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (r *DiscoveryService) lists(id string) bool {
	for i := range r.list.Entries {
		if r.list.Entries[i].ID == id {
			return true
		}
	}
	return false
}

func (r *DiscoveryService) stir() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// List returns the list as it is.
func (r *DiscoveryService) List() membership.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.list
	l.Entries = slices.Clone(l.Entries)
	return l
}

// SetRevision makes the roster count on from a revision.
func (r *DiscoveryService) SetRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision = revision
}

// Set changes or adds an entry and returns the new revision. It is told when Set returns, or at the
// next call of those who do not wait in one.
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
	r.stir()
	return r.list.Revision
}

// Remove takes an entry out; watches are told that it is gone.
func (r *DiscoveryService) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	r.changed[id] = r.list.Revision
	kept := make([]membership.Entry, 0, len(r.list.Entries))
	for _, e := range r.list.Entries {
		if e.ID != id {
			kept = append(kept, e)
		}
	}
	r.list.Entries = kept
	r.stir()
}

// Update changes, adds or (those with the state Removed) takes out many entries at once, and returns the new revision.
func (r *DiscoveryService) Update(entries ...membership.Entry) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	told := make(map[string]bool, len(entries))
	for _, e := range entries {
		told[e.ID] = true
		r.changed[e.ID] = r.list.Revision
	}
	kept := slices.DeleteFunc(slices.Clone(r.list.Entries), func(e membership.Entry) bool { return told[e.ID] })
	for _, e := range entries {
		if e.State != membership.Removed {
			kept = append(kept, e)
		}
	}
	r.list.Entries = kept
	r.stir()
	return r.list.Revision
}

// Replace makes another list of it, told whole.
func (r *DiscoveryService) Replace(entries ...membership.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.Revision++
	r.whole = r.list.Revision
	r.list.Entries = slices.Clone(entries)
	r.stir()
}

// SetDown makes all calls fail, those that wait too, or answers them again.
func (r *DiscoveryService) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.stir()
}

// Calls is the number of calls so far.
func (r *DiscoveryService) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}
