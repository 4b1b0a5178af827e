package roster

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/membership"
)

// A discovery that answers every watch at once is not asked in a tight loop.
func TestDiscoveryIsNotHammered(t *testing.T) {
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer busy.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	d := NewClient(ctx, busy.Listener.Addr().String())
	d.Told = func(*membership.List, bool, error) {}
	from := time.Now()
	d.Watch(1, false)
	most := callBurst + int64(callsPerS*time.Since(from).Seconds()) + 1
	if n := calls.Load(); n < 2 || n > most {
		t.Errorf("%d calls, want 2 to %d", n, most)
	}
}
