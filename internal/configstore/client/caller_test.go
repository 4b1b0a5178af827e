package client

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A response that names another call, or none although others of that address do, is not taken for the
// response to a call: a lease would be counted from a request that nobody has granted.
func TestResponseToAnotherCallIsNotAccepted(t *testing.T) {
	for name, test := range map[string]struct {
		named     func(n int, call, previous string) string // the call that the n-th response names
		wantError []bool                                    // of each call
	}{
		"its own":                  {func(_ int, call, _ string) string { return call }, []bool{false, false, false}},
		"the call before":          {func(_ int, _, previous string) string { return previous }, []bool{false, true, true}},
		"none":                     {func(int, string, string) string { return "" }, []bool{false, false, false}},
		"none after the first one": {func(n int, call, _ string) string { return []string{call, "", ""}[n] }, []bool{false, true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			n, previous := 0, ""
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				call := req.Header.Get("Ringtrack-Call")
				if n == 0 {
					previous = call
				}
				w.Header().Set("Ringtrack-Call", test.named(n, call, previous))
				n, previous = n+1, call
				fmt.Fprint(w, `{"lease_ms":1000}`)
			}))
			defer s.Close()
			c := NewCaller()
			for i, wantError := range test.wantError {
				response := &RenewResponse{}
				err := c.Call(t.Context(), s.Listener.Addr().String(), PathRenew, nil, &RenewRequest{}, response)
				if errors.Is(err, ErrOtherCall) != wantError || !wantError && err != nil || (response.LeaseMs == 0) != wantError {
					t.Errorf("call %d: %+v, error %v, want one: %v", i, response, err, wantError)
				}
			}
		})
	}
}

// The responses of a handler name the call.
func TestEchoCalls(t *testing.T) {
	s := httptest.NewServer(EchoCalls(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") })))
	defer s.Close()
	c, addr := NewCaller(), s.Listener.Addr().String()
	if err := c.Call(t.Context(), addr, PathRenew, nil, &RenewRequest{}, nil); err != nil {
		t.Error(err)
	}
	if _, echoes := c.echoing.Load(addr); !echoes {
		t.Error("the response named no call")
	}
}
