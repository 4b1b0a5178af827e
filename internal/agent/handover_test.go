package agent

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ringtrack.example/ringtrack/internal/upgrade"
)

// At a shutdown with a successor, a process closes its listener at once and each connection with its next
// response, and leaves idle connections open. Without a successor it continues to serve and to accept
// connections.
func TestHandoverClosesConnectionsWithTheirNextResponse(t *testing.T) {
	for _, successor := range []bool{true, false} {
		t.Run(fmt.Sprintf("successor %v", successor), func(t *testing.T) {
			tmp := t.TempDir()
			b := newBackend(t, echo)
			a := startAgent(t, newDiscoveryServer(t, listedBackend("s-1", b.addr)), func(c *Config) {
				dir, err := upgrade.Join(tmp)
				if err != nil {
					t.Fatal(err)
				}
				c.UpgradeDir, c.serveAfterSignal = dir, 3*time.Second
			})
			next, err := upgrade.Join(tmp)
			if err != nil {
				t.Fatal(err)
			}
			defer next.Close() // until then the file is open that says that the process runs
			if successor {
				if err := next.MarkServing(); err != nil {
					t.Fatal(err)
				}
			}
			busy, idle := a.dial(), a.dial()
			br := bufio.NewReader(busy)
			roundTrip := func() *http.Response {
				t.Helper()
				fmt.Fprint(busy, rawOrder("/api/a1", fmt.Sprint(lastID.Add(1)), "Content-Length: 0\r\n", ""))
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Fatalf("response %v, error %v", resp, err)
				}
				io.Copy(io.Discard, resp.Body)
				return resp
			}
			if roundTrip().Close {
				t.Error("the connection is closed before the shutdown")
			}
			a.stop()
			if successor { // the listener closes at once
				for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
					c, err := testClient.Get("http://" + a.addr + "/-/ready")
					if err != nil {
						break
					}
					c.Body.Close()
					if time.Now().After(end) {
						t.Fatal("the listener is not closed")
					}
				}
			}
			if got := roundTrip().Close; got != successor {
				t.Errorf("the connection is closed with its response: %v", got)
			}
			idle.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := idle.Read(make([]byte, 1)); !timedOut(err) {
				t.Errorf("the idle connection does not stay open: %v", err)
			}
			if !successor {
				if status, _, _ := a.roundTrip(newRequest(a.addr, "order", "x")); status != 200 {
					t.Errorf("a request on a new connection: status %d", status)
				}
			}
		})
	}
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
