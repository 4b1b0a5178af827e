package panics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Recover calls its end function after a panic only, and counts the panic.
func TestRecoverCallsEndAndCounts(t *testing.T) {
	before := Recovered()
	ended := make(chan struct{})
	go func() {
		defer Recover("test", "peer", func() { close(ended) })
		panic("defect")
	}()
	<-ended
	if n := Recovered() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	func() {
		defer Recover("test", "peer", func() { t.Error("end was called without a panic") })
	}()
	if n := Recovered() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
}

// A panic of an HTTP handler closes only its own connection. http.ErrAbortHandler is not counted.
func TestHandlerPanicClosesOnlyItsConnection(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/defect", func(http.ResponseWriter, *http.Request) { panic("defect") })
	mux.HandleFunc("/abort", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mux.HandleFunc("/ok", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	server := httptest.NewServer(Handler("test", mux))
	defer server.Close()
	before := Recovered()
	for path, want := range map[string]bool{"/defect": false, "/abort": false, "/ok": true} {
		response, err := http.Get(server.URL + path)
		if (err == nil) != want {
			t.Errorf("%s: %v", path, err)
		}
		if err == nil {
			response.Body.Close()
		}
	}
	if n := Recovered() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
}
