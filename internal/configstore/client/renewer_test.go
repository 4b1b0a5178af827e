package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/sharedconfig"
)

// acceptAll is an Applier that adopts every epoch.
type acceptAll struct{}

func (acceptAll) Adopt(context.Context, uint64, *sharedconfig.Config, time.Time, time.Time) error {
	return nil
}
func (acceptAll) Renew(context.Context, time.Time, time.Time) {}

// While no replica answers, the Renewer calls each replica once and then each peer, whichever replica it
// begins with. If no peer answers either, this order repeats.
func TestPeersAreCalledOnceEachReplicaHasFailed(t *testing.T) {
	for start := range 3 {
		for answering := range 3 { // index of the peer that answers; 2: neither of the two does
			t.Run(fmt.Sprintf("from replica %d, peer %d answers", start, answering), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				var called []int
				ctx, cancel := context.WithCancel(t.Context())
				addrs := make([]string, 5)
				for i := range addrs {
					s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						mu.Lock()
						defer mu.Unlock()
						called = append(called, i)
						if len(called) == 10 {
							cancel()
						}
						if i == 3+answering {
							json.NewEncoder(w).Encode(&RenewResponse{LeaseMs: 60_000})
							cancel()
							return
						}
						w.WriteHeader(http.StatusServiceUnavailable)
					}))
					defer s.Close()
					addrs[i] = s.Listener.Addr().String()
				}
				r := New(&Config{Replicas: addrs[:3], Peers: addrs[3:], CallMs: 10_000}, "a", acceptAll{})
				r.target = start
				r.Run(ctx)
				cancel()
				want := []int{start, (start + 1) % 3, (start + 2) % 3, 3, 4}
				if answering == 2 {
					want = append(want, 0, 1, 2, 3, 4)
				} else {
					want = want[:4+answering]
				}
				mu.Lock()
				defer mu.Unlock()
				if !slices.Equal(called, want) {
					t.Errorf("called %v, want %v", called, want)
				}
			})
		}
	}
}

// Without peers the replicas are called in a cycle. With some first replicas the one that had just failed
// used to be called again immediately, which cost the agent the time of one call of its lease.
func TestReplicasAreCalledInTurnWithoutPeers(t *testing.T) {
	for start := range 3 {
		r := New(&Config{Replicas: []string{"a", "b", "c"}}, "agent", acceptAll{})
		r.target = start
		for failures := 1; failures <= 9; failures++ {
			before := r.target
			r.target = r.nextTarget(failures)
			if want := (before + 1) % 3; r.target != want {
				t.Errorf("from replica %d, after %d failures: replica %d is followed by %d, want %d", start, failures, before, r.target, want)
			}
		}
	}
}
