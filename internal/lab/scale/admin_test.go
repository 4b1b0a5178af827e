package scale

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The report has a line for each kind of call and figure, and all values are positive.
func TestAdminReportsAllOperations(t *testing.T) {
	t.Parallel()
	r, err := adminTest.Run(t.Context(), &Options{Seed: 3, Scale: adminTest.Smallest})
	if err != nil {
		t.Fatal(err)
	}
	lines := map[string]Line{}
	for _, l := range r.Lines {
		lines[l.Name] = l
	}
	for _, call := range []string{"health", "figures", "a ban and its lifting"} {
		for _, of := range []string{"processor time", "bytes", "time p50"} {
			l, ok := lines[call+", "+of]
			if !ok || len(l.Points) != len(backendSizes)-1 || l.Measured <= 0 {
				t.Errorf("%s, %s: %+v", call, of, l)
			}
			for _, p := range l.Points {
				if p.Value <= 0 {
					t.Errorf("%s: %+v", l.Name, p)
				}
			}
		}
	}
}

// A call without a response of status 200 is an error, not a measurement.
func TestAdminCallsThatFail(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	s.Config.SetKeepAlivesEnabled(false)
	c := &adminCaller{addr: s.Listener.Addr().String()}
	if err := c.call(http.MethodPut, "/admin/cordon?name=b-1"); err == nil || !strings.Contains(err.Error(), "404") {
		t.Error(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.addr = ln.Addr().String()
	ln.Close()
	if err := c.call(http.MethodGet, "/admin/health"); err == nil {
		t.Error("no error although nothing listens")
	}
}
