package discovery

import (
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

// A watch that falls silent is opened anew from the version at hand, at once and by the same call of Watch, and what it
// missed is told; no failure is, that would have the module wait. A roster that has a line just then is asked again.
func TestASilentWatchIsOpenedAnew(t *testing.T) {
	for _, refused := range []int{0, 1, maxReopenFailures, maxReopenFailures + 1} {
		t.Run(fmt.Sprint(refused), func(t *testing.T) {
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
				case n >= 2 && n < 2+refused:
					w.WriteHeader(http.StatusServiceUnavailable)
				case n == 2+refused:
					fmt.Fprint(w, `{"version":5,"full":false,"servers":[{"id":"a","state":"draining"}]}`)
				default: // silent: nothing ever comes
					<-r.Context().Done()
				}
			}))
			d := NewClient(t.Context(), s.Listener.Addr().String())
			d.PollFrequently()
			d.minWait, d.maxWait, d.grace = 50*time.Millisecond, 60*time.Millisecond, time.Second
			quiet := 0
			d.OnSilent = func(err error) {
				if quiet++; !strings.Contains(err.Error(), "silent") {
					t.Errorf("%v", err)
				}
			}
			var told []string
			d.OnUpdate = func(l *membership.List, watch bool, err error) {
				switch {
				case err != nil:
					told = append(told, "failed")
				case len(l.Entries) == 1:
					if told = append(told, l.Entries[0].State); l.Revision == 5 {
						d.Close()
					}
				}
			}
			d.Watch(3, false)
			d.Close()
			s.Close()
			want := []string{"up", "draining"}
			if refused > maxReopenFailures {
				want = []string{"up", "failed"}
			}
			if !slices.Equal(told, want) || quiet != 1 {
				t.Errorf("refused %d times: told %v, silent %d times, want %v", refused, told, quiet, want)
			}
			mu.Lock()
			defer mu.Unlock()
			for i, q := range queries {
				if from := min(4, 3+i); !strings.HasPrefix(q, fmt.Sprintf("index=%d&wait=", from)) && i < 2+refused {
					t.Errorf("call %d asked %q", i, q)
				}
			}
		})
	}
}

// What a silent watch misses counts as told 6 s after it fell silent, or 2 s after the wait's end if that is later:
// whatever an agent's turn, it has then had the time to notice and for a new watch's turn at the roster. The replicas'
// waits end one after the other.
func TestWaitsLeaveTheTimeToOpenAnew(t *testing.T) {
	const told, afterWait, turn = 6 * time.Second, 2 * time.Second, 1400 * time.Millisecond
	for _, of := range []int{0, 1, 5, 300} {
		last := time.Duration(0)
		for i := range max(of, 1) {
			d := NewClient(t.Context(), "127.0.0.1:1")
			d.SetPollSlot(i, of)
			wait := d.drawWait()
			if wait < last || wait < minWatchWait || wait > maxWatchWait {
				t.Fatalf("agent %d of %d waits %v, the one before %v", i, of, wait, last)
			}
			if last = wait; wait+watchGrace+turn > max(told, wait+afterWait) {
				t.Errorf("agent %d of %d waits %v", i, of, wait)
			}
		}
	}
}
