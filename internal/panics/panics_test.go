package panics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A panic of a goroutine that serves one peer ends what that peer waits for, and is counted.
func TestRecoverEndsWhatThePeerWaitsFor(t *testing.T) {
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
		defer Recover("test", "peer", func() { t.Error("ended without a panic") })
	}()
	if n := Recovered() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
}

// A panic of an HTTP handler costs its connection only; an aborted handler is no defect.
func TestHandlerPanicEndsItsConnectionOnly(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/defect", func(http.ResponseWriter, *http.Request) { panic("defect") })
	mux.HandleFunc("/abort", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mux.HandleFunc("/well", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "well") })
	server := httptest.NewServer(Handler("test", mux))
	defer server.Close()
	before := Recovered()
	for path, want := range map[string]bool{"/defect": false, "/abort": false, "/well": true} {
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
