package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
	"ringtrack.example/ringtrack/internal/panics"
)

// The rate limit applies when discovery answers every watch without delay.
func TestWatchCallsAreRateLimited(t *testing.T) {
	var calls atomic.Int64
	immediate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer immediate.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	d := NewClient(ctx, immediate.Listener.Addr().String())
	d.OnUpdate = func(*membership.List, bool, error) {}
	from := time.Now()
	d.Watch(1, false)
	maxCalls := callBurst + int64(callsPerSecond*time.Since(from).Seconds()) + 1
	if n := calls.Load(); n < 2 || n > maxCalls {
		t.Errorf("%d calls, want 2 to %d", n, maxCalls)
	}
}

// Discovery with many clients answers late. A client that gives up earlier causes the same work there without
// a result, and calls again.
func TestFetchWaitsForSlowDiscovery(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(1500 * time.Millisecond):
			fmt.Fprint(w, `{"version":7,"full":true,"servers":[]}`)
		case <-r.Context().Done():
		}
	}))
	defer s.Close()
	d := NewClient(t.Context(), s.Listener.Addr().String())
	defer d.Close()
	updated := false
	d.OnUpdate = func(l *membership.List, _ bool, err error) {
		if updated = true; err != nil || l.Revision != 7 {
			t.Errorf("update with list %+v, error %v", l, err)
		}
	}
	if d.Fetch(); !updated {
		t.Error("no update")
	}
}

type panickingTransport struct{}

func (panickingTransport) RoundTrip(*http.Request) (*http.Response, error) { panic("defect") }

// A panic in the code of a call is reported as the error of the call.
func TestPanicIsReportedAsCallError(t *testing.T) {
	d := NewClient(t.Context(), "127.0.0.1:1")
	defer d.Close()
	d.httpClient.Transport = panickingTransport{}
	var got error
	d.OnUpdate = func(_ *membership.List, _ bool, err error) { got = err }
	if d.Fetch(); !errors.Is(got, panics.ErrRecovered) {
		t.Errorf("%v, want %v", got, panics.ErrRecovered)
	}
}
