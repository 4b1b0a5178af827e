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

// holder takes up whatever it is granted.
type holder struct{}

func (holder) Adopt(context.Context, uint64, *sharedconfig.Config, time.Time, time.Time) error {
	return nil
}
func (holder) Renew(context.Context, time.Time, time.Time) {}

// An agent that no keeper answers asks each of them once, and then its peers in turn, from whichever keeper it begins;
// while nobody answers it goes round so again and again.
func TestAPeerIsAskedOnceEachKeeperHasFailed(t *testing.T) {
	for start := range 3 {
		for answers := range 3 { // the peer that does; 2: none of the two
			t.Run(fmt.Sprintf("from keeper %d, peer %d answers", start, answers), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				var asked []int
				ctx, cancel := context.WithCancel(t.Context())
				addrs := make([]string, 5)
				for i := range addrs {
					s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						mu.Lock()
						defer mu.Unlock()
						asked = append(asked, i)
						if len(asked) == 10 {
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
				l := New(&Config{Replicas: addrs[:3], Peers: addrs[3:], CallMs: 10_000}, "a", holder{})
				l.target = start
				l.Run(ctx)
				cancel()
				want := []int{start, (start + 1) % 3, (start + 2) % 3, 3, 4}
				if answers == 2 {
					want = append(want, 0, 1, 2, 3, 4)
				} else {
					want = want[:4+answers]
				}
				mu.Lock()
				defer mu.Unlock()
				if !slices.Equal(asked, want) {
					t.Errorf("asked %v, want %v", asked, want)
				}
			})
		}
	}
}
