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

// acceptAll adopts whatever it is granted.
type acceptAll struct{}

func (acceptAll) Adopt(context.Context, uint64, *sharedconfig.Config, time.Time, time.Time) error {
	return nil
}
func (acceptAll) Renew(context.Context, time.Time, time.Time) {}

// TestPeersAreCalledOnceEachReplicaHasFailed has no replica answer: each is called once and then each peer, from whichever
// replica the Renewer begins; while nobody answers that order repeats.
func TestPeersAreCalledOnceEachReplicaHasFailed(t *testing.T) {
	for start := range 3 {
		for answers := range 3 { // the peer that answers; 2: none of the two
			t.Run(fmt.Sprintf("from replica %d, peer %d answers", start, answers), func(t *testing.T) {
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
						if i == 3+answers {
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
				if answers == 2 {
					want = append(want, 0, 1, 2, 3, 4)
				} else {
					want = want[:4+answers]
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

// Without peers each replica is called in turn: the one that has just failed used to be called again at once, from some
// starts, which cost an agent a call's time of its lease.
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
