package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// A watch that gets no response is reopened from its revision, at once and within the same call of Watch, and
// the changes that it missed are reported. No failure is reported, as the caller would back off; calls that
// fail meanwhile are retried.
func TestSilentWatchIsReopened(t *testing.T) {
	for _, rejected := range []int{0, 1, maxReopenFailures, maxReopenFailures + 1} {
		t.Run(fmt.Sprint(rejected), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var queries []string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				n := len(queries)
				queries = append(queries, r.URL.RawQuery)
				mu.Unlock()
				switch {
				case n == 0:
					fmt.Fprint(w, `{"version":4,"full":false,"servers":[{"id":"a","state":"up"}]}`)
				case n >= 2 && n < 2+rejected:
					w.WriteHeader(http.StatusServiceUnavailable)
				case n == 2+rejected:
					fmt.Fprint(w, `{"version":5,"full":false,"servers":[{"id":"a","state":"draining"}]}`)
				default: // never answered
					<-r.Context().Done()
				}
			}))
			d := NewClient(t.Context(), s.Listener.Addr().String())
			d.PollFrequently()
			d.minWait, d.maxWait, d.grace = 50*time.Millisecond, 60*time.Millisecond, time.Second
			silences := 0
			d.OnSilent = func(err error) {
				if silences++; !errors.Is(err, errSilent) {
					t.Errorf("OnSilent was called with another error than errSilent: %v", err)
				}
			}
			var updates []string
			d.OnUpdate = func(l *membership.List, watch bool, err error) {
				switch {
				case err != nil:
					updates = append(updates, "failed")
				case len(l.Entries) == 1:
					if updates = append(updates, l.Entries[0].State); l.Revision == 5 {
						d.Close()
					}
				}
			}
			d.Watch(3, false)
			d.Close()
			s.Close()
			want := []string{"up", "draining"}
			if rejected > maxReopenFailures {
				want = []string{"up", "failed"}
			}
			if !slices.Equal(updates, want) || silences != 1 {
				t.Errorf("rejected %d times: updates %v, silent %d times, want %v", rejected, updates, silences, want)
			}
			mu.Lock()
			defer mu.Unlock()
			for i, q := range queries {
				if from := min(4, 3+i); !strings.HasPrefix(q, fmt.Sprintf("index=%d&wait=", from)) && i < 2+rejected {
					t.Errorf("call %d has the query %q", i, q)
				}
			}
		})
	}
}

// A change that a silent watch misses counts as notified 6 s after the silence began, or 2 s after the end of
// the wait if that is later. A process in any poll slot must have noticed the silence by then and have an
// answer to a new watch. The waits of the processes end one after the other.
func TestWatchWaitsLeaveTimeToReopen(t *testing.T) {
	const (
		notified   = 6 * time.Second
		afterWait  = 2 * time.Second
		reopenTime = 1400 * time.Millisecond
	)
	for _, processes := range []int{0, 1, 5, 300} {
		last := time.Duration(0)
		for i := range max(processes, 1) {
			d := NewClient(t.Context(), "127.0.0.1:1")
			d.SetPollSlot(i, processes)
			wait := d.drawWait()
			if wait < last || wait < minWatchWait || wait > maxWatchWait {
				t.Fatalf("process %d of %d waits %v, the one before %v", i, processes, wait, last)
			}
			if last = wait; wait+watchGrace+reopenTime > max(notified, wait+afterWait) {
				t.Errorf("process %d of %d waits %v, too long to notice a silent watch in time", i, processes, wait)
			}
		}
	}
}
